/*
 * replicaset.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "replicaset.h"

#include "levelling.h"
#include "weightsgoal.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Loom {

namespace {

// An agent speaks several times a second; older reports say little.
constexpr Milliseconds sLoadValid{1'500};
// Two reports missed: whatever is sent to that box may lie there for long.
constexpr Milliseconds sLoadSilence{350};
// After a refusal, and after a failure in a row, doubled with each up to the most.
constexpr Milliseconds sRefusalPause{100};
constexpr Milliseconds sFailurePause{250};
constexpr Milliseconds sMostPause{4'000};
// A replica whose record lapsed while the store was away may come back within
// two seconds of the store's return. One that leaves for good must get nothing
// after its draining time, whatever the store did before: this much earlier
// its use ends.
constexpr Milliseconds sDrainMargin{500};
constexpr double sSmoothing = 0.15;
// A replica that fails this share of its requests gets only what the others cannot take.
constexpr double sGreyShare = 0.25;
// The way to another data centre and back, and what its bytes cost. Milliseconds.
constexpr double sFarTollMs = 45;
// Requests and events wait on its link. Milliseconds.
constexpr double sSlowLinkTollMs = 200;
// A request that fails has to be sent again, or is lost.
constexpr double sFailureTollMs = 500;
// Slower than the fastest by this factor is not noise of the requests' sizes.
constexpr double sSlowFactor = 2.5;
constexpr double sSlowEngineFactor = 4;
// Stricter, where being late breaks a promise: twice the fastest is suspicious.
constexpr double sLateFactor = 2;
// So long before a replica's weights may begin nothing more, what is sent there
// must begin in time for sure: longer than requests wait at full replicas.
constexpr Milliseconds sOverSoon{2'700};
// So long before it, the least doubt counts.
constexpr Milliseconds sOverNow{1'300};
// Request and connection on their way to a replica that may be under load.
constexpr double sWayMs = 400;
constexpr double sSoonMs = 250;
constexpr Milliseconds sLoadFresh{150};
// Requests that a plain replica may hold beyond its slots before others are refused.
constexpr double sPlainQueue = 1.0;
constexpr Milliseconds sPlainComeBack{100};
// More than a new connection takes: the caller tried before.
constexpr Milliseconds sHasWaited{50};
constexpr Milliseconds sLeastComeBack{150};
constexpr Milliseconds sMostComeBack{1'500};
// Replicas looked at for one request: enough to level their loads, and so few
// that a choice costs the same among thousands.
constexpr std::size_t sSample = 16;
// How far back the rate of calls reaches.
constexpr double sCallsHalfMs = 1'000;
// From the look at an engine until its report is read here, and a request's way
// there: what was sent in this time before a report is not counted in it.
constexpr Milliseconds sReportLag{15};
// Reports are taken to come at least this often, before any gap was seen.
constexpr double sUsualGapMs = 100;
// A goal that fewer calls have does not bound the others.
constexpr double sFairPart = 0.05;
// The least that is spread, so that the best replica gets nearly all.
constexpr double sLeastLevelled = 0.01;
constexpr double sRandomSteps = 2147483648.0;
// Parts the draws of the choice from those of the sample; any number does.
constexpr std::uint64_t sOtherDraws = 0x9e3779b97f4a7c15ULL;
// Waiting requests that a resumed stream may find at a replica, as a part of its
// slots: about a second's work.
constexpr double sResumedQueue = 0.6;
// A caller's way here and back on a new connection.
constexpr double sReturnMs = 30;
// Sooner, a caller that returns would find what it found before.
constexpr double sLeastReturnMs = 40;
// A refused request comes back when a few turns are over.
constexpr double sComeBackFactor = 4;
// Part of the goal that may be planned with; the rest is for what is not known.
constexpr double sGoalUsed = 0.85;

} // namespace

std::uint64_t Replica::weightsVersion() const
{
    return load ? load->weightsVersion : record.weightsVersion;
}

// A replica that starts again keeps its address and takes a new id. The record
// of its earlier life stays in the store until it has been silent for a while.
void ReplicaSet::retireEarlierLives(const ReplicaRecord &record, Instant now)
{
    for (auto &[id, other] : mReplicas) {
        const bool isSameAddress = id != record.id && other.record.address == record.address;
        if (!isSameAddress) {
            continue;
        }
        if (other.record.offset < record.offset) {
            replaced(id, now);
        } else if (other.goneAt == Instant()) {
            replaced(record.id, now);
        }
    }
}

void ReplicaSet::replaced(std::string_view id, Instant now)
{
    const auto it = mReplicas.find(id);
    if (it != mReplicas.end() && (it->second.goneAt == Instant() || it->second.goneAt > now)) {
        it->second.goneAt = now;
    }
}

void ReplicaSet::put(const ReplicaRecord &record, Instant now)
{
    Replica &replica = mReplicas[record.id];
    const bool wasDraining = replica.record.isDraining;
    replica.record = record;
    replica.record.isDraining = record.isDraining || wasDraining;
    replica.goneAt = Instant();
    retireEarlierLives(record, now);
}

void ReplicaSet::remove(std::string_view id, bool trusted, Instant now)
{
    const auto it = mReplicas.find(id);
    if (it == mReplicas.end() || it->second.goneAt != Instant()) {
        return;
    }
    it->second.goneAt = trusted ? now : now + std::max(Milliseconds(0), mDrainTime - sDrainMargin);
}

void ReplicaSet::report(std::string_view address, const ReplicaLoad &load, Instant now)
{
    for (auto &[id, replica] : mReplicas) {
        if (replica.record.address == address) {
            if (replica.load) {
                const double gap
                    = std::chrono::duration<double, std::milli>(now - replica.loadAt).count();
                replica.reportGapMs
                    += (replica.reportGapMs == 0 ? 1.0 : sSmoothing) * (gap - replica.reportGapMs);
            }
            replica.load = load;
            replica.loadAt = now;
            std::erase_if(replica.startedLately,
                          [&](Instant began) { return began < now - sReportLag; });
            replica.startedSince = static_cast<std::uint32_t>(replica.startedLately.size());
            replica.endedSince = 0;
        }
    }
}

void ReplicaSet::reportLost(std::string_view address)
{
    for (auto &[id, replica] : mReplicas) {
        if (replica.record.address == address) {
            replica.load.reset();
        }
    }
}

bool ReplicaSet::isUsable(const Replica &replica, const ReplicaQuery &query, Instant now)
{
    if (replica.record.service != query.service || replica.record.isDraining) {
        return false;
    }
    if (replica.goneAt != Instant() && replica.goneAt <= now) {
        return false;
    }
    if (replica.avoidedUntil > now) {
        return false;
    }
    const bool isExcluded
        = std::ranges::find(query.excluded, replica.record.id) != query.excluded.end();
    if (isExcluded) {
        return false;
    }
    if (query.engine == nullptr) {
        return true;
    }
    const bool isFresh = replica.load && now - replica.loadAt <= sLoadValid;
    if (isFresh && !replica.load->isAccepting) {
        return false;
    }
    const std::uint64_t version = replica.weightsVersion();
    return version != 0 && version >= query.leastVersion;
}

double ReplicaSet::fastestAnswerMs(const ReplicaQuery &query, Instant now) const
{
    double fastest = 0;
    for (const auto &[id, replica] : mReplicas) {
        const bool counts = replica.answerMs > 0 && isUsable(replica, query, now);
        if (counts && (fastest == 0 || replica.answerMs < fastest)) {
            fastest = replica.answerMs;
        }
    }
    return fastest;
}

bool ReplicaSet::isSlow(const Replica &replica, const ReplicaQuery &query, double fastestMs)
{
    // Engines answer later the fuller they are; their load is looked at by itself.
    const double factor = query.engine == nullptr ? sSlowFactor : sSlowEngineFactor;
    return fastestMs > 0 && replica.answerMs > fastestMs * factor;
}

// Patient requests of all gateways that wait at the replica; they delay nobody else.
std::uint32_t ReplicaSet::patientRequests(const Replica &replica, Instant now)
{
    std::uint32_t told = 0;
    if (replica.load && now - replica.loadAt <= sLoadValid) {
        told = std::min(replica.load->waitingPatient, replica.load->waiting);
    }
    return std::max(told, replica.patientWaiting);
}

// What the agent said, corrected by what this gateway did since. Without its
// agent, the others are taken to send as much as this gateway.
EngineWork ReplicaSet::workOf(const Replica &replica, const ReplicaQuery &query, Instant now) const
{
    EngineWork work;
    if (!replica.load || now - replica.loadAt > sLoadValid) {
        const double all = std::max<std::uint32_t>(query.entries, 1);
        work.unread = replica.awaiting * all;
        work.running = (replica.inFlight - std::min(replica.awaiting, replica.inFlight)) * all;
        return work;
    }
    const ReplicaLoad &load = *replica.load;
    work.pace = std::max(1.0, load.pace);
    work.running = std::max(0.0, load.running - static_cast<double>(replica.endedSince));
    work.unread = load.waiting + replica.startedSince;
    return work;
}

ReplicaSet::Offer ReplicaSet::engineOffer(const Replica &replica, const ReplicaQuery &query,
                                          Instant now) const
{
    const EngineModel model(*query.engine);
    const double slots = std::max<std::uint32_t>(replica.record.slots, 1);
    EngineWork work = workOf(replica, query, now);
    const double all = work.running + work.unread;
    work.unread = std::max(0.0, work.unread - patientRequests(replica, now));
    Offer offer;
    offer.load = (work.running + work.unread) / slots;
    offer.answer = model.firstEvent(work, query.promptTokens);
    offer.cost = offer.answer;
    const bool isFull = work.running + work.unread >= slots;
    offer.step = isFull ? model.turn() : model.read(query.engine->usualPrompt);
    const double goal = static_cast<double>((query.goal - query.waited).count()) * sGoalUsed;
    if (replica.load && replica.load->isLinkSlow) {
        offer.cost += sSlowLinkTollMs;
    }
    offer.isPrompt = offer.answer <= goal;
    // What is asked for with a longer goal would otherwise take all the room.
    const double idle = model.firstEvent({}, 0);
    const double shortest = std::max<double>(shortestGoal(query.service).count(), 2 * idle);
    offer.room = model.room(work, 0, std::min(goal, shortest * sGoalUsed));
    offer.freePlaces = std::max(0.0, slots - all);
    const double places = query.isResumed ? slots * (1 + sResumedQueue) : slots;
    offer.isOpen = all + 1 <= places;
    return offer;
}

ReplicaSet::Offer ReplicaSet::plainOffer(const Replica &replica, const ReplicaQuery &query)
{
    const double slots = std::max<std::uint32_t>(replica.record.slots, 1);
    Offer offer;
    offer.load = replica.inFlight / slots;
    offer.answer = std::max(replica.answerMs, 1.0) * (1 + offer.load);
    offer.cost = offer.answer;
    const double queue = query.waited > sHasWaited ? 2 * sPlainQueue : sPlainQueue;
    offer.isPrompt = offer.load < 1 + queue;
    return offer;
}

ReplicaSet::Offer ReplicaSet::offerOf(const Replica &replica, const ReplicaQuery &query,
                                      double fastestMs, Instant now) const
{
    Offer offer
        = query.engine == nullptr ? plainOffer(replica, query) : engineOffer(replica, query, now);
    if (replica.record.dataCentre != query.dataCentre) {
        offer.cost += sFarTollMs;
    }
    if (isSlow(replica, query, fastestMs)) {
        offer.cost += replica.answerMs;
    }
    if (replica.failureRate > sGreyShare) {
        offer.cost += replica.failureRate * sFailureTollMs;
    }
    return offer;
}

// Whether a request that is sent now surely begins before the replica's weights
// are over. With little time left, nothing may say that its way or its wait is
// long, and what is known must be fresh.
bool ReplicaSet::beginsInTime(const Replica &replica, const ReplicaQuery &query, double fastestMs,
                              Instant now) const
{
    const auto over = query.weights->overAt(query.model, replica.weightsVersion());
    if (!over || *over - now >= sOverSoon) {
        return true;
    }
    const bool isHeard = replica.load && now - replica.loadAt <= sLoadSilence;
    if (!isHeard || replica.load->isLinkSlow || replica.failures > 0) {
        return false;
    }
    const double left = std::chrono::duration<double, std::milli>(*over - now).count();
    const double answer = engineOffer(replica, query, now).answer;
    if (left > sOverNow.count()) {
        return answer * sLateFactor + sWayMs <= left;
    }
    const bool wasLate = fastestMs > 0 && replica.answerMs > fastestMs * sLateFactor;
    return now - replica.loadAt <= sLoadFresh && !wasLate && answer <= sSoonMs;
}

std::vector<const Replica *> ReplicaSet::usableFor(const ReplicaQuery &query, double fastestMs,
                                                   Instant now) const
{
    std::vector<const Replica *> usable;
    std::vector<const Replica *> silent;
    for (const auto &[id, replica] : mReplicas) {
        const bool isBound = query.engine != nullptr && query.weights != nullptr;
        if (!isUsable(replica, query, now)
            || (isBound && !beginsInTime(replica, query, fastestMs, now))) {
            continue;
        }
        // Its agent speaks several times a second: the box may stand still.
        const bool isSilent = replica.load && now - replica.loadAt > sLoadSilence;
        (isSilent ? silent : usable).push_back(&replica);
    }
    return usable.empty() ? silent : usable;
}

namespace {

// A generator of choices; its quality does not matter.
std::uint64_t nextRandom(std::uint64_t &state)
{
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return state >> 33;
}

// From 0 up to 1.
double unitRandom(std::uint64_t &state)
{
    return static_cast<double>(nextRandom(state)) / sRandomSteps;
}

// Moves @p count random ones to the front.
void shuffleFront(std::vector<const Replica *> &replicas, std::size_t count, std::uint64_t random)
{
    std::uint64_t state = random;
    for (std::size_t i = 0; i < count && i + 1 < replicas.size(); ++i) {
        const std::size_t other = i + nextRandom(state) % (replicas.size() - i);
        std::swap(replicas[i], replicas[other]);
    }
}

} // namespace

void ReplicaSet::noteCall(std::string_view service, Milliseconds goal, Instant now)
{
    RecentCalls &calls = mCalls.try_emplace(std::string(service)).first->second;
    const double ms = std::chrono::duration<double, std::milli>(now - calls.at).count();
    const double kept = std::exp2(-ms / sCallsHalfMs);
    calls.count = calls.count * kept + 1;
    for (auto &[other, count] : calls.byGoal) {
        count *= kept;
    }
    calls.byGoal[goal] += 1;
    calls.at = now;
}

// The shortest goal that a fair part of the calls has.
Milliseconds ReplicaSet::shortestGoal(std::string_view service) const
{
    const auto it = mCalls.find(service);
    if (it == mCalls.end()) {
        return Milliseconds::max();
    }
    for (const auto &[goal, count] : it->second.byGoal) {
        if (goal.count() > 0 && count > it->second.count * sFairPart) {
            return goal;
        }
    }
    return Milliseconds::max();
}

double ReplicaSet::callsPerMs(std::string_view service, Instant now) const
{
    const auto it = mCalls.find(service);
    if (it == mCalls.end()) {
        return 0;
    }
    const double ms = std::chrono::duration<double, std::milli>(now - it->second.at).count();
    const double kept = it->second.count * std::exp2(-ms / sCallsHalfMs);
    // A steady rate r adds up to r x half-life / ln 2.
    return kept * std::numbers::ln2 / sCallsHalfMs;
}

// All gateways know the same loads, each a little old. If everyone took the
// best replica, one that has a place free would get all requests until its next
// report. So the requests that are expected until then are spread as would
// level the loads, and each goes to one replica by chance, in that proportion.
const ReplicaSet::Candidate *ReplicaSet::pickLevelled(std::span<const Candidate> candidates,
                                                      double requests, double random)
{
    std::vector<LevelledPlace> places;
    places.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        places.push_back({candidate.offer.cost, std::max(candidate.offer.step, 1.0)});
    }
    const std::vector<double> shares = levelShares(places, requests);
    double left = requests * random;
    const Candidate *last = nullptr;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (shares[index] <= 0) {
            continue;
        }
        last = &candidates[index];
        left -= shares[index];
        if (left < 0) {
            break;
        }
    }
    return last;
}

ReplicaChoice ReplicaSet::choose(const ReplicaQuery &query, Instant now) const
{
    const double fastest = fastestAnswerMs(query, now);
    std::vector<const Replica *> usable = usableFor(query, fastest, now);
    shuffleFront(usable, usable.size(), query.random);
    const std::size_t sample = query.engine == nullptr ? usable.size() : sSample;
    std::vector<Candidate> prompt;
    std::vector<Candidate> patient;
    double leastLoad = -1;
    double gaps = 0;
    double room = 0;
    double freePlaces = 0;
    std::size_t looked = 0;
    for (const Replica *replica : usable) {
        if (looked >= sample && !prompt.empty()) {
            break;
        }
        ++looked;
        const Offer offer = offerOf(*replica, query, fastest, now);
        gaps += replica->reportGapMs > 0 ? replica->reportGapMs : sUsualGapMs;
        room += offer.room;
        freePlaces += offer.freePlaces;
        leastLoad = leastLoad < 0 ? offer.load : std::min(leastLoad, offer.load);
        if (offer.isPrompt) {
            prompt.push_back({replica, offer});
        }
        if (offer.isOpen) {
            patient.push_back({replica, offer});
        }
    }
    double expected = sLeastLevelled;
    if (query.engine != nullptr && looked > 0) {
        // Calls at all gateways until the next reports, for the part that was looked at.
        const double horizon = gaps + static_cast<double>(looked) * sReportLag.count();
        const double calls = callsPerMs(query.service, now) * std::max(query.entries, 1U) * horizon
            / static_cast<double>(usable.size());
        expected = std::max(expected, calls);
    }
    std::uint64_t state = query.random ^ sOtherDraws;
    const double chance = unitRandom(state);
    const bool isPrompt = !prompt.empty() && (query.engine == nullptr || chance * expected < room);
    const bool isPatient = !isPrompt && (query.isResumed || freePlaces > expected);
    const std::vector<Candidate> &candidates = isPrompt ? prompt : patient;
    if ((isPrompt || isPatient) && !candidates.empty()) {
        const Candidate *chosen = pickLevelled(candidates, expected, unitRandom(state));
        const auto age = chosen->replica->load
            ? std::chrono::duration_cast<Milliseconds>(now - chosen->replica->loadAt)
            : Milliseconds(-1);
        // Nobody overtakes a resumed stream, however late it is.
        return ChosenReplica{chosen->replica->record.id, isPatient && !query.isResumed,
                             chosen->offer.load, age, chosen->offer.answer};
    }
    if (usable.empty()) {
        const auto known = std::ranges::count_if(mReplicas, [&](const auto &item) {
            return item.second.record.service == query.service;
        });
        return NoneUsable{static_cast<std::uint32_t>(known)};
    }
    return AllBusy{comeBack(query, leastLoad), leastLoad};
}

// Who can still make it is told to come back within the goal, once: places turn
// up all the time. Others come back when a few turns are over. Those who are
// refused together should not return together.
Milliseconds ReplicaSet::comeBack(const ReplicaQuery &query, double leastLoad)
{
    if (query.engine == nullptr) {
        return sPlainComeBack;
    }
    const EngineModel model(*query.engine);
    const double random = static_cast<double>(query.random % 1024) / 1024;
    const double left = static_cast<double>((query.goal - query.waited).count()) * sGoalUsed
        - model.firstEvent({}, query.promptTokens) - sReturnMs;
    if (left >= sLeastReturnMs) {
        return Milliseconds(
            static_cast<std::int64_t>(sLeastReturnMs + (left - sLeastReturnMs) * random));
    }
    const double over = std::max(0.0, leastLoad - 1) * query.engine->slots;
    const double wait = (over + 1) * model.turn() * sComeBackFactor;
    const Milliseconds after(static_cast<std::int64_t>(wait * (0.75 + 0.5 * random)));
    return std::clamp(after, sLeastComeBack, sMostComeBack);
}

void ReplicaSet::began(std::string_view id, bool isPatient, Instant now)
{
    const auto it = mReplicas.find(id);
    if (it == mReplicas.end()) {
        return;
    }
    Replica &replica = it->second;
    ++replica.inFlight;
    ++replica.startedSince;
    replica.startedLately.push_back(now);
    ++replica.awaiting;
    replica.patientWaiting += isPatient ? 1 : 0;
}

void ReplicaSet::stopAwaiting(Replica &replica, bool isPatient)
{
    if (replica.awaiting > 0) {
        --replica.awaiting;
    }
    if (isPatient && replica.patientWaiting > 0) {
        --replica.patientWaiting;
    }
}

void ReplicaSet::answerBegan(std::string_view id, bool isPatient, Microseconds took)
{
    const auto it = mReplicas.find(id);
    if (it == mReplicas.end()) {
        return;
    }
    stopAwaiting(it->second, isPatient);
    if (isPatient) {
        return; // its time says nothing of the replica
    }
    const double ms = std::chrono::duration<double, std::milli>(took).count();
    double &mean = it->second.answerMs;
    mean += (mean == 0 ? 1.0 : sSmoothing) * (ms - mean);
}

void ReplicaSet::answerMissed(std::string_view id, bool isPatient)
{
    const auto it = mReplicas.find(id);
    if (it != mReplicas.end()) {
        stopAwaiting(it->second, isPatient);
    }
}

void ReplicaSet::ended(std::string_view id, ReplicaOutcome outcome, Instant now)
{
    const auto it = mReplicas.find(id);
    if (it == mReplicas.end()) {
        return;
    }
    Replica &replica = it->second;
    if (replica.inFlight > 0) {
        --replica.inFlight;
        ++replica.endedSince;
    }
    if (outcome == ReplicaOutcome::Abandoned) {
        return;
    }
    const bool failed = outcome != ReplicaOutcome::Answered && outcome != ReplicaOutcome::Refused;
    replica.failureRate += sSmoothing * ((failed ? 1.0 : 0.0) - replica.failureRate);
    if (outcome == ReplicaOutcome::Answered) {
        replica.failures = 0;
        return;
    }
    if (outcome == ReplicaOutcome::Refused) {
        replica.avoidedUntil = std::max(replica.avoidedUntil, now + sRefusalPause);
        return;
    }
    if (outcome == ReplicaOutcome::Failed) {
        return;
    }
    ++replica.failures;
    const auto doubled = sFailurePause * (1LL << std::min<std::uint32_t>(replica.failures - 1, 10));
    replica.avoidedUntil
        = std::max(replica.avoidedUntil, now + std::min<Milliseconds>(doubled, sMostPause));
}

const Replica *ReplicaSet::find(std::string_view id) const
{
    const auto it = mReplicas.find(id);
    return it == mReplicas.end() ? nullptr : &it->second;
}

void ReplicaSet::sweep(Instant now)
{
    std::erase_if(mReplicas, [&](const auto &item) {
        const Replica &replica = item.second;
        return replica.goneAt != Instant() && replica.goneAt <= now && replica.inFlight == 0;
    });
}

} // namespace Loom
