/*
 * replicaset.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "replicaset.h"

#include "choicerandom.h"
#include "retryadvice.h"
#include "sendpermits.h"
#include "waterfill.h"

#include <algorithm>

namespace Loom {

namespace {

// After a refusal, and after a failure in a row, doubled with each up to the most.
constexpr Milliseconds sRefusalBackoff{100};
constexpr Milliseconds sMinFailureBackoff{250};
constexpr Milliseconds sMaxFailureBackoff{4'000};
// A replica whose record lapsed while the store was away may come back within
// two seconds of the store's return. One that leaves for good must get nothing
// after its draining time, whatever the store did before: this much earlier
// its use ends.
constexpr Milliseconds sDrainMargin{500};
constexpr double sSmoothingWeight = 0.15;
// Replicas looked at for one request: enough to level their loads, and so few
// that a choice costs the same among thousands.
constexpr std::size_t sMaxExamined = 16;
// From the look at an engine until its report is read here, and a request's way
// there: what was sent in this time before a report is not counted in it.
constexpr Milliseconds sReportLag{15};
// Reports are taken to come at least this often, before any gap was seen.
constexpr double sDefaultReportIntervalMs = 100;
// The least that is spread, so that the best replica gets nearly all.
constexpr double sMinExpectedCalls = 0.01;
// Of the calls that could be in time, refused of late: more is no bad luck of the few
// replicas that one call looks at.
constexpr double sOverloadRefusalRatio = 0.05;
// Parts the draws of the choice from those of the sample; any number does.
constexpr std::uint64_t sSelectionSeedMask = 0x9e3779b97f4a7c15ULL;

} // namespace

// A replica that starts again keeps its address and takes a new id. The record
// of its earlier life stays in the store until it has been silent for a while.
void ReplicaSet::retireEarlierIncarnations(const ReplicaRecord &record, Instant now)
{
    for (auto &[id, other] : mReplicas) {
        const bool isSameAddress = id != record.id && other.record.address == record.address;
        if (!isSameAddress) {
            continue;
        }
        if (other.record.offset < record.offset) {
            replaced(id, now);
        } else if (other.removedAt == Instant()) {
            replaced(record.id, now);
        }
    }
}

void ReplicaSet::replaced(std::string_view id, Instant now)
{
    const auto it = mReplicas.find(id);
    if (it != mReplicas.end()
        && (it->second.removedAt == Instant() || it->second.removedAt > now)) {
        it->second.removedAt = now;
    }
}

void ReplicaSet::put(const ReplicaRecord &record, Instant now)
{
    const auto [it, isNew] = mReplicas.try_emplace(record.id);
    Replica &replica = it->second;
    // What was known of an earlier life holds no more: its weights, its load, that it
    // was leaving. Kept, a replica that drained and came back would stand empty for good.
    const bool isOther = record.isOtherIncarnation(replica.record);
    if (isOther) {
        keepNotices(replica, now);
        replica = Replica();
    }
    if (isNew || isOther) {
        replica.notices = mRetained.take(record.id, record.born);
    }
    const bool wasDraining = replica.record.isDraining;
    // Within one life versions only rise: one that is new in the record is newer
    // than the agent's last word, too.
    const bool hasNewer = record.weightsVersion > replica.record.weightsVersion;
    if (hasNewer && replica.load) {
        replica.load->weightsVersion
            = std::max(replica.load->weightsVersion, record.weightsVersion);
    }
    replica.record = record;
    replica.record.isDraining = record.isDraining || wasDraining;
    replica.removedAt = Instant();
    retireEarlierIncarnations(record, now);
}

void ReplicaSet::unreadable(std::string_view id, Instant now)
{
    replaced(id, now);
}

void ReplicaSet::remove(std::string_view id, bool trusted, Microseconds age, Instant now)
{
    const auto it = mReplicas.find(id);
    if (it == mReplicas.end()) {
        return;
    }
    const Milliseconds grace = std::max(Milliseconds(0), mDrainTime - sDrainMargin);
    const Instant end = trusted ? now : std::max(now, now - age + grace);
    // Of several removals the strictest counts: a certain one ends the time that a
    // doubtful one before it gave.
    Instant &removedAt = it->second.removedAt;
    removedAt = removedAt == Instant() ? end : std::min(removedAt, end);
}

void ReplicaSet::report(std::string_view address, const ReplicaLoad &load, Instant now)
{
    for (auto &[id, replica] : mReplicas) {
        if (replica.record.address == address) {
            if (replica.load && load.weightsVersion > replica.load->weightsVersion) {
                forgiveReloadFailures(replica, now);
            }
            if (replica.load) {
                const double gap
                    = std::chrono::duration<double, std::milli>(now - replica.loadAt).count();
                replica.reportIntervalMs += (replica.reportIntervalMs == 0 ? 1.0 : sSmoothingWeight)
                    * (gap - replica.reportIntervalMs);
            }
            replica.load = load;
            replica.loadAt = now;
            std::erase_if(replica.recentStarts, [&](Instant began) {
                return load.includesInTransit || began < now - sReportLag;
            });
            replica.startedSinceReport = static_cast<std::uint32_t>(replica.recentStarts.size());
            replica.endedSinceReport = 0;
        }
    }
}

// Streams that a load of weights cuts say nothing of the replica, and there may be as many
// as it has slots, each of which counts as a failure and doubles the time it is avoided.
void ReplicaSet::forgiveReloadFailures(Replica &replica, Instant now)
{
    replica.failures = 0;
    replica.avoidedUntil = std::min(replica.avoidedUntil, now);
}

void ReplicaSet::reportLost(std::string_view address)
{
    for (auto &[id, replica] : mReplicas) {
        if (replica.record.address == address) {
            replica.load.reset();
        }
    }
}

void ReplicaSet::noteCall(std::string_view service, Milliseconds goal, Instant now)
{
    mCalls.try_emplace(std::string(service)).first->second.note(goal, now);
}

double ReplicaSet::minAnswerMs(const ReplicaEstimator &estimator) const
{
    double fastest = 0;
    for (const auto &[id, replica] : mReplicas) {
        const bool counts = replica.answerMs > 0 && estimator.isUsable(replica);
        if (counts && (fastest == 0 || replica.answerMs < fastest)) {
            fastest = replica.answerMs;
        }
    }
    return fastest;
}

// Whether it belongs to the service and takes requests, now or after a rest.
bool ReplicaSet::isCandidate(const Replica &replica, const ReplicaQuery &query, Instant now)
{
    const UnavailableReason held = replica.unavailableReason(now);
    const bool acceptsLate
        = held == UnavailableReason::Nothing || held == UnavailableReason::Resting;
    return replica.record.service == query.service && acceptsLate;
}

std::vector<const Replica *> ReplicaSet::candidatesFor(const ReplicaQuery &query, Instant now) const
{
    std::vector<const Replica *> left;
    for (const auto &[id, replica] : mReplicas) {
        if (isCandidate(replica, query, now)) {
            left.push_back(&replica);
        }
    }
    return left;
}

std::vector<const Replica *> ReplicaSet::subset(const ReplicaQuery &query, Instant now) const
{
    return ProbePlan(mEntry, query, now).subset(candidatesFor(query, now));
}

std::vector<const Replica *> ReplicaSet::replicasToProbe(const ReplicaQuery &query,
                                                         ProbeRound round,
                                                         std::span<const std::string> asked,
                                                         Instant now) const
{
    std::vector<const Replica *> left = candidatesFor(query, now);
    std::erase_if(left, [&](const Replica *replica) { return replica->availableAt(now) > now; });
    return ProbePlan(mEntry, query, now).choose(round, left, asked);
}

std::vector<const Replica *> ReplicaSet::usableFor(const ReplicaQuery &query,
                                                   const ReplicaEstimator &estimator) const
{
    const bool isBound = query.engine != nullptr && query.weights != nullptr;
    const auto isAnswered = [&](const Replica &replica) {
        return query.answered.empty()
            || std::ranges::find(query.answered, replica.record.id) != query.answered.end();
    };
    std::vector<const Replica *> usable;
    std::vector<const Replica *> silent;
    for (const auto &[id, replica] : mReplicas) {
        if (!isAnswered(replica) || !estimator.isUsable(replica)) {
            continue;
        }
        if (isBound && !estimator.startsBeforeExpiry(replica)) {
            continue;
        }
        (estimator.isSilent(replica) ? silent : usable).push_back(&replica);
    }
    return usable.empty() ? silent : usable;
}

// For how long nobody knows what others send to a replica: until its next report,
// or, where it was asked, since its answer.
double ReplicaSet::unreportedMs(const Replica &replica, const ReplicaQuery &query, Instant now)
{
    const auto lag = static_cast<double>(sReportLag.count());
    if (!query.answered.empty()) {
        return lag + std::chrono::duration<double, std::milli>(now - replica.loadAt).count();
    }
    return lag
        + (replica.reportIntervalMs > 0 ? replica.reportIntervalMs : sDefaultReportIntervalMs);
}

ReplicaSet::Survey ReplicaSet::survey(std::span<const Replica *const> usable,
                                      const ReplicaQuery &query, const ReplicaEstimator &estimator,
                                      Instant now)
{
    const std::size_t most = query.engine == nullptr ? usable.size() : sMaxExamined;
    Survey survey;
    for (const Replica *replica : usable) {
        if (survey.looked >= most && !survey.prompt.empty()) {
            break;
        }
        ++survey.looked;
        const ReplicaEstimate offer = estimator.offer(*replica);
        survey.horizonMs += unreportedMs(*replica, query, now);
        survey.room += offer.room;
        survey.freeSlots += offer.freeSlots;
        survey.minLoad = survey.looked == 1 ? offer.load : std::min(survey.minLoad, offer.load);
        if (offer.meetsGoal) {
            survey.prompt.push_back({replica, offer});
        }
        if (offer.acceptsLate) {
            survey.open.push_back({replica, offer});
        }
    }
    return survey;
}

// Calls at all gateways until the next reports, for the part that was looked at.
double ReplicaSet::expectedCalls(const ReplicaQuery &query, const Survey &survey,
                                 std::size_t usable, Instant now) const
{
    const auto calls = mCalls.find(query.service);
    if (query.engine == nullptr || calls == mCalls.end() || usable == 0) {
        return sMinExpectedCalls;
    }
    const double perMs = calls->second.perMs(now) * std::max(query.gatewayCount, 1U);
    return std::max(sMinExpectedCalls, perMs * survey.horizonMs / static_cast<double>(usable));
}

// All gateways know the same loads, each a little old. If everyone took the
// best replica, one that has a place free would get all requests until its next
// report. So the requests that are expected until then are spread as would
// level the loads, and each goes to one replica by chance, in that proportion.
const ReplicaSet::Candidate &ReplicaSet::pickWeighted(std::span<const Candidate> candidates,
                                                      double requests, double random)
{
    std::vector<WaterFillTarget> places;
    places.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        places.push_back({candidate.offer.cost, std::max(candidate.offer.step, 1.0)});
    }
    const std::vector<double> shares = waterFillShares(places, requests);
    double left = requests * random;
    const Candidate *last = &candidates.front();
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
    return *last;
}

// Whether so many found no room of late that whoever can still be in time wants each place.
bool ReplicaSet::isServiceOverloaded(std::string_view service, Instant now) const
{
    const auto it = mRefusals.find(service);
    return it != mRefusals.end() && it->second.ratio(now) > sOverloadRefusalRatio;
}

bool ReplicaSet::canMeetGoal(const ReplicaQuery &query)
{
    const EngineModel model(*query.engine);
    const double left
        = static_cast<double>((query.goal - query.waited).count()) * sPlannableGoalFraction;
    return model.firstEventMs({}, query.promptTokens) <= left;
}

void ReplicaSet::noteChoice(const ReplicaQuery &query, const ReplicaChoice &choice, Instant now)
{
    if (query.engine == nullptr || query.isResumed || !canMeetGoal(query)) {
        return;
    }
    const auto *chosen = std::get_if<ChosenReplica>(&choice);
    const bool hasRoom = chosen != nullptr && !chosen->isPatient;
    mRefusals[std::string(query.service)].note(hasRoom, now);
}

ReplicaChoice ReplicaSet::choose(const ReplicaQuery &query, Instant now) const
{
    const auto calls = mCalls.find(query.service);
    const Milliseconds shortest
        = calls == mCalls.end() ? Milliseconds::max() : calls->second.shortestGoal();
    ReplicaEstimator estimator(query, shortest, now);
    estimator.setMinAnswerMs(minAnswerMs(estimator));
    std::vector<const Replica *> usable = usableFor(query, estimator);
    const auto opening = usable.empty() ? nextAvailability(query, now) : std::nullopt;
    if (opening) {
        return AllBusy{RetryAdvice(query).afterPause(*opening - now), 1, true};
    }
    if (usable.empty()) {
        return NoneUsable{serviceReplicaCount(query.service), RetryAdvice(query).whenNoneUsable()};
    }
    ChoiceRandom(query.random).shuffle(usable);
    const Survey survey = ReplicaSet::survey(usable, query, estimator, now);
    const std::size_t sharing
        = query.answered.empty() ? usable.size() : candidatesFor(query, now).size();
    const double expected = expectedCalls(query, survey, sharing, now);
    ChoiceRandom draws(query.random ^ sSelectionSeedMask);
    const double chance = draws.nextFraction();
    const bool isShared = query.engine == nullptr || chance * expected < survey.room;
    const bool meetsGoal = !survey.prompt.empty() && isShared;
    const bool isOverloaded = query.engine != nullptr && isServiceOverloaded(query.service, now);
    const bool mayBeLate = query.isResumed || survey.freeSlots > expected;
    const bool isPatient = !meetsGoal && mayBeLate && !survey.open.empty();
    if (!meetsGoal && !isPatient) {
        return AllBusy{RetryAdvice(query).whenBusy(survey.minLoad, isOverloaded), survey.minLoad};
    }
    const std::vector<Candidate> &candidates = meetsGoal ? survey.prompt : survey.open;
    const Candidate &chosen = pickWeighted(candidates, expected, draws.nextFraction());
    const auto age = chosen.replica->load
        ? std::chrono::duration_cast<Milliseconds>(now - chosen.replica->loadAt)
        : Milliseconds(-1);
    // Nobody overtakes a resumed stream, however late it is.
    return ChosenReplica{chosen.replica->record.id, isPatient && !query.isResumed,
                         chosen.offer.load, age, chosen.offer.answer};
}

std::uint32_t ReplicaSet::serviceReplicaCount(std::string_view service) const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        mReplicas, [&](const auto &item) { return item.second.record.service == service; }));
}

void ReplicaSet::began(std::string_view id, bool isPatient, Instant now)
{
    const auto it = mReplicas.find(id);
    if (it == mReplicas.end()) {
        return;
    }
    Replica &replica = it->second;
    ++replica.inFlight;
    ++replica.startedSinceReport;
    replica.recentStarts.push_back(now);
    replica.recentSends.push_back(now);
    while (replica.recentSends.front() + sSendSpan <= now) {
        replica.recentSends.pop_front();
    }
    ++replica.awaitingFirstByte;
    replica.patientWaiting += isPatient ? 1 : 0;
}

void ReplicaSet::stopAwaitingFirstByte(Replica &replica, bool isPatient)
{
    if (replica.awaitingFirstByte > 0) {
        --replica.awaitingFirstByte;
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
    stopAwaitingFirstByte(it->second, isPatient);
    if (isPatient) {
        return; // its time says nothing of the replica
    }
    const double ms = std::chrono::duration<double, std::milli>(took).count();
    double &mean = it->second.answerMs;
    mean += (mean == 0 ? 1.0 : sSmoothingWeight) * (ms - mean);
}

void ReplicaSet::answerMissed(std::string_view id, bool isPatient)
{
    const auto it = mReplicas.find(id);
    if (it != mReplicas.end()) {
        stopAwaitingFirstByte(it->second, isPatient);
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
        ++replica.endedSinceReport;
    }
    if (outcome == ReplicaOutcome::Abandoned) {
        return;
    }
    const bool failed = outcome != ReplicaOutcome::Answered && outcome != ReplicaOutcome::Refused;
    replica.failureRate += sSmoothingWeight * ((failed ? 1.0 : 0.0) - replica.failureRate);
    if (outcome == ReplicaOutcome::Answered) {
        replica.failures = 0;
        replica.concurrencyLimit.noteAnswer();
        return;
    }
    if (outcome == ReplicaOutcome::Refused) {
        replica.avoidedUntil = std::max(replica.avoidedUntil, now + sRefusalBackoff);
        return;
    }
    if (outcome == ReplicaOutcome::Failed) {
        return;
    }
    ++replica.failures;
    const auto doubled
        = sMinFailureBackoff * (1LL << std::min<std::uint32_t>(replica.failures - 1, 10));
    replica.avoidedUntil
        = std::max(replica.avoidedUntil, now + std::min<Milliseconds>(doubled, sMaxFailureBackoff));
}

LimitChange ReplicaSet::noteNamedLimit(std::string_view id, double perSecond, Instant now)
{
    const auto it = mReplicas.find(id);
    return it == mReplicas.end() ? LimitChange::Nothing : it->second.limit.name(perSecond, now);
}

LimitChange ReplicaSet::applyLimit(const ReportedLimit &told, Instant now)
{
    const auto it = mReplicas.find(told.replica());
    if (it == mReplicas.end() || it->second.record.incarnation() != told.incarnation) {
        return LimitChange::Nothing;
    }
    const LimitChange change = it->second.limit.hear(told.perSecond, told.heardAt);
    // Also where the wait is over sooner, as when the limit rose.
    if (told.perSecond) {
        it->second.rateLimitedUntil = now + told.wait;
    }
    return change;
}

void ReplicaSet::setRateLimitedUntil(std::string_view id, Instant until)
{
    const auto it = mReplicas.find(id);
    if (it != mReplicas.end()) {
        it->second.rateLimitedUntil = until;
    }
}

// The first of those that are only held up by what they said themselves.
std::optional<Instant> ReplicaSet::nextAvailability(const ReplicaQuery &query, Instant now) const
{
    std::optional<Instant> next;
    for (const Replica *replica : candidatesFor(query, now)) {
        const Instant opens = replica->availableAt(now);
        const bool isRateLimited = opens > now && replica->avoidedUntil <= opens;
        if (isRateLimited && (!next || opens < *next)) {
            next = opens;
        }
    }
    return next;
}

std::optional<Milliseconds> ReplicaSet::retryDelayIfPaused(const ReplicaQuery &query,
                                                           Instant now) const
{
    const std::vector<const Replica *> left = candidatesFor(query, now);
    const bool isOneOpen = std::ranges::any_of(
        left, [&](const Replica *replica) { return replica->availableAt(now) <= now; });
    const auto opening = isOneOpen ? std::nullopt : nextAvailability(query, now);
    if (!opening) {
        return std::nullopt;
    }
    return RetryAdvice(query).afterPause(*opening - now);
}

std::string ReplicaSet::pausedByNotices(std::string_view service, Instant now) const
{
    std::string all;
    for (const auto &[id, replica] : mReplicas) {
        const UnavailableReason held = replica.unavailableReason(now);
        const bool isByNotice
            = held == UnavailableReason::Leaving || held == UnavailableReason::Resting;
        if (replica.record.service == service && isByNotice) {
            all += (all.empty() ? "" : ", ") + id + " " + std::string(unavailableReasonName(held));
        }
    }
    return all;
}

LimitChange ReplicaSet::noteNoLimit(std::string_view id, Instant sentAt, Instant now)
{
    const auto it = mReplicas.find(id);
    return it == mReplicas.end() ? LimitChange::Nothing : it->second.limit.nameNone(sentAt, now);
}

NoticeChange ReplicaSet::applyNotice(std::string_view id, std::uint64_t born,
                                     const ReplicaNotice &notice, Instant now)
{
    const auto it = mReplicas.find(id);
    if (it != mReplicas.end() && it->second.record.isSameIncarnation(born)) {
        Replica &replica = it->second;
        if (notice.rest) {
            replica.concurrencyLimit.lower(replica.heldRequests() - 1, replica.record.slots, now);
        }
        return replica.notices.hear(notice, now);
    }
    NoticeState kept = mRetained.take(id, born);
    const NoticeChange change = kept.hear(notice, now);
    mRetained.keep(id, born, kept, now);
    return change;
}

void ReplicaSet::keepNotices(const Replica &replica, Instant now)
{
    mRetained.keep(replica.record.id, replica.record.born, replica.notices, now);
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
        const bool isOver
            = replica.removedAt != Instant() && replica.removedAt <= now && replica.inFlight == 0;
        if (isOver) {
            keepNotices(replica, now);
        }
        return isOver;
    });
    mRetained.sweep(now);
}

} // namespace Loom
