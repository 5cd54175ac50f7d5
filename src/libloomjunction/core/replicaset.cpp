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

#include <algorithm>
#include <sstream>

namespace Loom {

namespace {

// Backoff after a refusal, and after consecutive failures, where it doubles up to a maximum.
constexpr Milliseconds sRefusalBackoff{100};
constexpr Milliseconds sMinFailureBackoff{250};
constexpr Milliseconds sMaxFailureBackoff{4'000};
// A replica whose record expired during an outage of the store may return within two seconds
// of the store's return. But a replica that leaves for good must get no requests after its
// drain time, even if the store failed before. So its use ends this much earlier.
constexpr Milliseconds sDrainMargin{500};
// The platform removes the record of a replica that has missed three check-ins, each of which
// is due after some 1.2 s.
constexpr Milliseconds sLapseTime{4'000};
constexpr double sSmoothingWeight = 0.15;
// Replicas examined for one request: enough to balance their loads, and few enough that a
// choice among thousands costs the same.
constexpr std::size_t sMaxExamined = 16;
// Time from the sampling of an engine to the arrival of its report here, plus the transit
// time of a request. A report does not include requests that were sent this long before it.
constexpr Milliseconds sReportLag{15};
// Assumed interval of reports before one was measured.
constexpr double sDefaultReportIntervalMs = 100;
// Minimum number of calls to distribute; at this number the best replica gets nearly all.
constexpr double sMinExpectedCalls = 0.01;
// Recent ratio of refusals among the calls that could meet their goals. A higher ratio is not
// explained by chance, that is by calls that happened to examine only full replicas.
constexpr double sOverloadRefusalRatio = 0.05;
// Separates the random numbers of the choice from those of the sample; any value works.
constexpr std::uint64_t sSelectionSeedMask = 0x9e3779b97f4a7c15ULL;

} // namespace

void ReplicaSet::setRegions(DataCentreRegions regions)
{
    mPlacement.setRegions(std::move(regions));
    for (auto &[id, replica] : mReplicas) {
        place(replica);
    }
}

void ReplicaSet::setEvacuated(std::string_view dataCentre, bool isEvacuated)
{
    mPlacement.setEvacuated(dataCentre, isEvacuated);
    for (auto &[id, replica] : mReplicas) {
        place(replica);
    }
}

// Kept with each replica, since every choice asks for it at every replica.
void ReplicaSet::place(Replica &replica) const
{
    replica.region = mPlacement.regionOf(replica.record.dataCentre);
    replica.isEvacuated = mPlacement.isEvacuated(replica.record.dataCentre);
}

std::size_t ReplicaSet::replicaCountIn(std::string_view dataCentre) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        mReplicas, [&](const auto &item) { return item.second.record.dataCentre == dataCentre; }));
}

// Whether @p record describes an earlier incarnation than @p other at the same address. Positions
// of different eras don't show it, because the later era begins with records of a copy.
bool ReplicaSet::isEarlier(const ReplicaRecord &record, const ReplicaRecord &other)
{
    const bool isOrderedByStart
        = record.position.era != other.position.era && record.born != 0 && other.born != 0;
    return isOrderedByStart ? record.born < other.born : record.position < other.position;
}

// A replica that restarts under a new id displaces its earlier incarnation, whose record is still
// in the store. A replica that leaves has not started lately, and another service may have been
// named by a writer that knows nothing of the replica.
bool ReplicaSet::mayDisplace(const Replica &replica, const Replica &other)
{
    return replica.record.service == other.record.service && !replica.record.isDraining
        && replica.removedAt == Instant() && replica.yieldsTo != other.record.id;
}

// The order of two records shows which replica started later, unless another writer added one of
// them. A record that is still in the store after its lapse is that of a running replica, so the
// other one is disabled until then only. Heartbeats don't show it: if their content is unchanged,
// they are not relayed.
void ReplicaSet::displaceEarlierIncarnations(const ReplicaRecord &record, Instant now)
{
    Replica &replica = mReplicas.find(record.id)->second;
    for (auto &[id, other] : mReplicas) {
        if (id == record.id || other.record.address != record.address) {
            continue;
        }
        if (!isEarlier(other.record, record)) {
            if (mayDisplace(other, replica)) {
                replica.displacedUntil = now + sLapseTime;
            }
        } else if (mayDisplace(replica, other)) {
            other.displacedUntil = now + sLapseTime;
        }
    }
}

void ReplicaSet::replaced(std::string_view id, std::string_view by, Instant now)
{
    const auto it = mReplicas.find(id);
    if (it == mReplicas.end()) {
        return;
    }
    it->second.displacedUntil = now + sLapseTime;
    it->second.yieldsTo = by;
    const auto answering = mReplicas.find(by);
    if (answering != mReplicas.end()
        && answering->second.record.address == it->second.record.address) {
        answering->second.displacedUntil = Instant();
        answering->second.yieldsTo.clear();
    }
}

void ReplicaSet::put(const ReplicaRecord &record, Instant now)
{
    const auto [it, isNew] = mReplicas.try_emplace(record.id);
    Replica &replica = it->second;
    // The weights, load and leaving state of an earlier incarnation are void. If they were
    // kept, a replica that drained and came back would never be used again.
    const bool isRestarted = record.isOtherIncarnation(replica.record);
    if (isRestarted) {
        keepNotices(replica, now);
        replica = Replica();
    }
    if (isNew || isRestarted) {
        replica.notices = mRetained.take(record.id, record.born);
    }
    const bool wasDraining = replica.record.isDraining;
    // Versions only rise within an incarnation, so a version that is new in the record is also
    // newer than the agent's last report.
    const bool hasNewerWeights = record.weightsVersion > replica.record.weightsVersion;
    if (hasNewerWeights && replica.load) {
        replica.load->weightsVersion
            = std::max(replica.load->weightsVersion, record.weightsVersion);
    }
    replica.record = record;
    replica.record.isDraining = record.isDraining || wasDraining;
    replica.removedAt = Instant();
    if (replica.yieldsTo.empty()) {
        replica.displacedUntil = Instant();
    }
    place(replica);
    replica.cold.perSecond = coldRate(record.service);
    if (record.coldLeft.count() > 0) {
        replica.cold.until = std::max(replica.cold.until, now + record.coldLeft);
    }
    displaceEarlierIncarnations(record, now);
}

double ReplicaSet::coldRate(std::string_view service) const
{
    const auto it = mColdRates.find(service);
    return it == mColdRates.end() ? 0 : it->second;
}

void ReplicaSet::setColdRates(std::map<std::string, double, std::less<>> perSecond)
{
    mColdRates = std::move(perSecond);
    for (auto &[id, replica] : mReplicas) {
        replica.cold.perSecond = coldRate(replica.record.service);
    }
}

// The cold time only ever gets longer: a record may be older than an answer or come from a copy of
// the store, and a replica that counts as warm too early receives more than it can take.
void ReplicaSet::noteCold(std::string_view id, std::uint64_t born, Milliseconds left, Instant now)
{
    const auto it = mReplicas.find(id);
    if (it != mReplicas.end() && it->second.record.isSameIncarnation(born)) {
        Instant &until = it->second.cold.until;
        until = std::max(until, now + left);
    }
}

void ReplicaSet::awaitConfirmation(std::string_view id, Instant now)
{
    const auto it = mReplicas.find(id);
    if (it != mReplicas.end()) {
        Instant &until = it->second.avoidedUntil;
        until = std::max(until, now + sLapseTime);
    }
}

void ReplicaSet::unreadable(std::string_view id, Instant now)
{
    const auto it = mReplicas.find(id);
    if (it != mReplicas.end()
        && (it->second.removedAt == Instant() || it->second.removedAt > now)) {
        it->second.removedAt = now;
    }
}

void ReplicaSet::remove(std::string_view id, bool trusted, std::optional<Microseconds> maxAge,
                        Instant now)
{
    const auto it = mReplicas.find(id);
    if (it == mReplicas.end()) {
        return;
    }
    const Milliseconds grace = std::max(Milliseconds(0), mDrainTime - sDrainMargin);
    const Instant end = trusted || !maxAge ? now : std::max(now, now - *maxAge + grace);
    // The strictest of several removals counts: a trusted one ends the grace period of an
    // earlier untrusted one.
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
                const double intervalMs
                    = std::chrono::duration<double, std::milli>(now - replica.loadAt).count();
                replica.reportIntervalMs += (replica.reportIntervalMs == 0 ? 1.0 : sSmoothingWeight)
                    * (intervalMs - replica.reportIntervalMs);
            }
            replica.load = load;
            replica.loadAt = now;
            std::erase_if(replica.recentStarts, [&](const RequestStart &start) {
                return load.includesInTransit || start.at < now - sReportLag;
            });
            replica.startedSinceReport = static_cast<std::uint32_t>(replica.recentStarts.size());
            replica.endedSinceReport = 0;
        }
    }
}

// Streams that a load of weights interrupts do not indicate a faulty replica. There may be as
// many as it has slots, and each of them counts as a failure and doubles the backoff.
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

RequestStanding ReplicaSet::noteCall(std::string_view service, Milliseconds goal, Instant now,
                                     const std::optional<CallOrigin> &origin)
{
    mCalls.try_emplace(std::string(service)).first->second.note(goal, now);
    return origin ? mPriorities.noteCall(service, *origin, now) : RequestStanding();
}

double ReplicaSet::ownCallsPerMs(std::string_view service, Instant now) const
{
    const auto calls = mCalls.find(service);
    return calls == mCalls.end() ? 0 : calls->second.perMs(now);
}

MeanDemand ReplicaSet::meanDemand(std::string_view service, std::string_view dataCentre,
                                  Instant now) const
{
    return mDemand.mean(service, {dataCentre, ownCallsPerMs(service, now)}, now);
}

double ReplicaSet::minAnswerMs(const ReplicaEstimator &estimator) const
{
    double fastest = 0;
    for (const auto &[id, replica] : mReplicas) {
        const bool isComparable = replica.answerMs > 0 && estimator.isUsable(replica);
        if (isComparable && (fastest == 0 || replica.answerMs < fastest)) {
            fastest = replica.answerMs;
        }
    }
    return fastest;
}

// Whether the replica belongs to the service and accepts requests now or after a rest.
bool ReplicaSet::isCandidate(const Replica &replica, const ReplicaQuery &query, Instant now)
{
    const UnavailableReason reason = replica.unavailableReason(now);
    const bool acceptsRequests
        = reason == UnavailableReason::Nothing || reason == UnavailableReason::Resting;
    return replica.record.service == query.service && acceptsRequests
        && query.regions.allows(replica.region);
}

std::vector<const Replica *> ReplicaSet::candidatesFor(const ReplicaQuery &query, Instant now) const
{
    std::vector<const Replica *> candidates;
    for (const auto &[id, replica] : mReplicas) {
        if (isCandidate(replica, query, now)) {
            candidates.push_back(&replica);
        }
    }
    return candidates;
}

ProbePlan ReplicaSet::probePlan(const ReplicaQuery &query, Instant now) const
{
    const MeanDemand demand = meanDemand(query.service, query.dataCentre, now);
    return {mGatewayKey, query, now, demand.hasLocalExcess};
}

std::vector<const Replica *> ReplicaSet::subset(const ReplicaQuery &query, Instant now) const
{
    return probePlan(query, now).subset(candidatesFor(query, now));
}

std::vector<const Replica *> ReplicaSet::replicasToProbe(const ReplicaQuery &query,
                                                         ProbeRound round,
                                                         std::span<const std::string> probed,
                                                         Instant now) const
{
    std::vector<const Replica *> candidates = candidatesFor(query, now);
    std::erase_if(candidates,
                  [&](const Replica *replica) { return replica->availableAt(now) > now; });
    return probePlan(query, now).choose(round, candidates, probed);
}

std::vector<const Replica *> ReplicaSet::usableFor(const ReplicaQuery &query,
                                                   const ReplicaEstimator &estimator) const
{
    const bool isBound = query.engine != nullptr && query.weights != nullptr;
    const auto hasAnswered = [&](const Replica &replica) {
        return query.answered.empty()
            || std::ranges::find(query.answered, replica.record.id) != query.answered.end();
    };
    std::vector<const Replica *> usable;
    std::vector<const Replica *> silent;
    for (const auto &[id, replica] : mReplicas) {
        if (!hasAnswered(replica) || !estimator.isUsable(replica)) {
            continue;
        }
        if (isBound && !estimator.startsBeforeExpiry(replica)) {
            continue;
        }
        (estimator.isSilent(replica) ? silent : usable).push_back(&replica);
    }
    return usable.empty() ? silent : usable;
}

// Time in which requests of other gateways to the replica are unknown here: until its next
// report, or since its answer if it was probed.
double ReplicaSet::unreportedMs(const Replica &replica, const ReplicaQuery &query, Instant now)
{
    const auto lag = static_cast<double>(sReportLag.count());
    if (!query.answered.empty()) {
        return lag + std::chrono::duration<double, std::milli>(now - replica.loadAt).count();
    }
    return lag
        + (replica.reportIntervalMs > 0 ? replica.reportIntervalMs : sDefaultReportIntervalMs);
}

ReplicaSurvey ReplicaSet::survey(std::span<const Replica *const> usable, const ReplicaQuery &query,
                                 const ReplicaEstimator &estimator, Instant now)
{
    const std::size_t maxExamined = query.engine == nullptr ? usable.size() : sMaxExamined;
    ReplicaSurvey survey;
    for (const Replica *replica : usable) {
        if (survey.examined() >= maxExamined && !survey.meetingGoal().empty()) {
            break;
        }
        survey.add(*replica, estimator.estimate(*replica), unreportedMs(*replica, query, now));
    }
    return survey;
}

// Number of replicas that all calls of the service share. The regions of one request don't narrow
// it, since its service's other calls are spread over all regions.
std::size_t ReplicaSet::sharingCount(const ReplicaQuery &query, std::size_t usableCount,
                                     Milliseconds shortestGoal, Instant now) const
{
    ReplicaQuery unrestricted = query;
    unrestricted.regions = {};
    if (!query.answered.empty()) {
        return candidatesFor(unrestricted, now).size();
    }
    if (!query.regions.isRestricted()) {
        return usableCount;
    }
    ReplicaEstimator estimator(unrestricted, shortestGoal, now);
    estimator.setMinAnswerMs(minAnswerMs(estimator));
    return usableFor(unrestricted, estimator).size();
}

// Expected calls at all gateways until the next reports, scaled to the examined replicas.
double ReplicaSet::expectedCalls(const ReplicaQuery &query, const ReplicaSurvey &survey,
                                 std::size_t usableCount, Instant now) const
{
    const auto calls = mCalls.find(query.service);
    if (query.engine == nullptr || calls == mCalls.end() || usableCount == 0) {
        return sMinExpectedCalls;
    }
    const double perMs
        = meanDemand(query.service, query.dataCentre, now).perMs * std::max(query.gatewayCount, 1U);
    return std::max(sMinExpectedCalls,
                    perMs * survey.horizonMs() / static_cast<double>(usableCount));
}

// Capacity of the examined replicas that more urgent calls are expected to need until these
// replicas have completed a request each.
double ReplicaSet::reservedFor(const ReplicaQuery &query, const Precedence &precedence,
                               const ReplicaSurvey &survey, double expected)
{
    if (precedence.moreUrgentFraction <= 0 || survey.horizonMs() <= 0) {
        return 0;
    }
    const double intervalMs = EngineModel(*query.engine).completionIntervalMs();
    return UrgencyDemand::reserve(expected * precedence.moreUrgentFraction * intervalMs
                                  / survey.meanHorizonMs());
}

double ReplicaSet::refusalRatio(std::string_view service, Instant now) const
{
    const auto it = mRefusals.find(service);
    return it == mRefusals.end() ? 0 : it->second.ratio(now);
}

// Judged at the mean size: a refused large request is a sign of overload like any other.
bool ReplicaSet::canMeetGoal(const ReplicaQuery &query)
{
    const EngineModel model(*query.engine);
    const double timeLeft
        = static_cast<double>((query.goal - query.waited).count()) * sPlannableGoalFraction;
    return model.firstEventMs({}, 0) <= timeLeft;
}

SizeShares::Group ReplicaSet::sizeGroup(const ReplicaQuery &query)
{
    return {query.goal, sizeBand(query.promptTokens, query.engine->meanPromptTokens)};
}

bool ReplicaSet::isDueForSize(const ReplicaQuery &query, Instant now) const
{
    if (query.engine == nullptr || query.isResumed) {
        return false;
    }
    static const SizeShares sNothingOffered;
    const auto it = mSizeShares.find(query.service);
    const SizeShares &shares = it == mSizeShares.end() ? sNothingOffered : it->second;
    return shares.isDue(sizeGroup(query), 1 - refusalRatio(query.service, now));
}

// A patient request took no place: it uses slots that nobody else is expected to need.
void ReplicaSet::noteOffer(const ReplicaQuery &query, const ReplicaChoice &choice, Instant now)
{
    const auto *chosen = std::get_if<ChosenReplica>(&choice);
    const auto *busy = std::get_if<AllBusy>(&choice);
    const bool isTaken = chosen != nullptr && !chosen->isPatient;
    const bool isPassedOver = busy != nullptr && busy->isForSize;
    if (isTaken || isPassedOver) {
        const double admitted = 1 - refusalRatio(query.service, now);
        mSizeShares[std::string(query.service)].noteOffer(sizeGroup(query), admitted, isTaken);
    }
}

void ReplicaSet::noteChoice(const ReplicaQuery &query, const ReplicaChoice &choice, Instant now)
{
    if (query.engine == nullptr || query.isResumed) {
        return;
    }
    const auto *none = std::get_if<NoneUsable>(&choice);
    if (none != nullptr && none->isRegionBound) {
        return; // says nothing about the load of the service
    }
    const auto *chosen = std::get_if<ChosenReplica>(&choice);
    if (chosen != nullptr) {
        mPriorities.noteAdmitted(query, now);
    }
    noteOffer(query, choice, now);
    if (!canMeetGoal(query)) {
        return;
    }
    const bool hasRoom = chosen != nullptr && !chosen->isPatient;
    mRefusals[std::string(query.service)].note(hasRoom, now);
}

ReplicaChoice ReplicaSet::choose(const ReplicaQuery &query, Instant now) const
{
    const auto calls = mCalls.find(query.service);
    const Milliseconds shortestGoal
        = calls == mCalls.end() ? Milliseconds::max() : calls->second.shortestGoal();
    ReplicaEstimator estimator(query, shortestGoal, now);
    estimator.setMinAnswerMs(minAnswerMs(estimator));
    std::vector<const Replica *> usable = usableFor(query, estimator);
    if (usable.empty()) {
        return choiceWithoutUsable(query, now);
    }
    ChoiceRandom(query.random).shuffle(usable);
    const ReplicaSurvey survey = ReplicaSet::survey(usable, query, estimator, now);
    const std::size_t sharing = sharingCount(query, usable.size(), shortestGoal, now);
    const double expected = expectedCalls(query, survey, sharing, now);
    ChoiceRandom draws(query.random ^ sSelectionSeedMask);
    const double chance = draws.nextFraction();
    // Each free slot is needed by a call that can still meet its goal.
    const bool isOverloaded
        = query.engine != nullptr && refusalRatio(query.service, now) > sOverloadRefusalRatio;
    const Precedence precedence = mPriorities.precedence(query, isOverloaded);
    const double reserved = reservedFor(query, precedence, survey, expected);
    const double needed = chance * expected * precedence.competingFraction;
    // The room is that for requests of the mean size, so large ones find a place as often.
    const bool hasPlace = query.engine == nullptr || needed < survey.room() - reserved;
    const bool meetsGoal = !survey.meetingGoal().empty() && hasPlace;
    const bool isTooLarge = !meetsGoal && hasPlace && !survey.withRoom().empty();
    const bool isLateForSize = isTooLarge && isDueForSize(query, now);
    const bool mayBeLate = query.isResumed || survey.freeSlots() > expected + reserved;
    const bool isPatient
        = !meetsGoal && !isLateForSize && mayBeLate && !survey.acceptingLate().empty();
    if (!meetsGoal && !isLateForSize && !isPatient) {
        const bool isHeldBack
            = reserved > 0 && !survey.meetingGoal().empty() && needed < survey.room();
        return AllBusy{
            RetryAdvice(query).whenBusy(survey.minLoad(), isOverloaded, precedence.returnsEarly),
            survey.minLoad(),
            false,
            reserved,
            isHeldBack,
            isTooLarge};
    }
    const std::vector<ReplicaCandidate> &candidates = meetsGoal ? survey.meetingGoal()
        : isLateForSize                                         ? survey.withRoom()
                                                                : survey.acceptingLate();
    const ReplicaCandidate &chosen
        = ReplicaSurvey::pickWeighted(candidates, expected, draws.nextFraction());
    ChosenReplica choice = chosenReplica(chosen, now);
    // A resumed stream is never patient: even if it is late, other requests must not overtake it.
    choice.isPatient = isPatient && !query.isResumed;
    choice.isLateForSize = isLateForSize;
    choice.reserved = reserved;
    choice.urgencyLevel = precedence.urgencyLevel;
    return choice;
}

ReplicaChoice ReplicaSet::choiceWithoutUsable(const ReplicaQuery &query, Instant now) const
{
    if (const auto opening = nextAvailability(query, now)) {
        return AllBusy{RetryAdvice(query).afterPause(*opening - now), 1, true};
    }
    const bool isRegionBound = query.regions.isRestricted()
        && (query.excluded.empty() || candidatesFor(query, now).empty());
    return NoneUsable{serviceReplicaCount(query.service), RetryAdvice(query).whenNoneUsable(),
                      isRegionBound, hasExpiredWeights(query)};
}

bool ReplicaSet::hasExpiredWeights(const ReplicaQuery &query) const
{
    return query.engine != nullptr && std::ranges::any_of(mReplicas, [&](const auto &item) {
               const Replica &replica = item.second;
               const std::uint64_t version = replica.weightsVersion();
               return replica.record.service == query.service && version != 0
                   && version < query.minVersion;
           });
}

ChosenReplica ReplicaSet::chosenReplica(const ReplicaCandidate &candidate, Instant now)
{
    ChosenReplica chosen;
    chosen.id = candidate.replica->record.id;
    chosen.load = candidate.estimate.load;
    chosen.answerMs = candidate.estimate.answer;
    if (candidate.replica->load) {
        chosen.loadAge = std::chrono::duration_cast<Milliseconds>(now - candidate.replica->loadAt);
        chosen.waitingTokens = candidate.replica->load->waitingTokens;
    }
    return chosen;
}

std::uint32_t ReplicaSet::serviceReplicaCount(std::string_view service) const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        mReplicas, [&](const auto &item) { return item.second.record.service == service; }));
}

void ReplicaSet::began(std::string_view id, bool isPatient, Instant now, std::uint64_t promptTokens)
{
    const auto it = mReplicas.find(id);
    if (it == mReplicas.end()) {
        return;
    }
    Replica &replica = it->second;
    ++replica.inFlight;
    ++replica.startedSinceReport;
    replica.recentStarts.push_back({now, promptTokens});
    replica.recentSends.push_back(now);
    while (replica.recentSends.front() + sSendWindow <= now) {
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

void ReplicaSet::answerStarted(std::string_view id, bool isPatient, Microseconds elapsed)
{
    const auto it = mReplicas.find(id);
    if (it == mReplicas.end()) {
        return;
    }
    stopAwaitingFirstByte(it->second, isPatient);
    if (isPatient) {
        return; // the time of a patient request does not reflect the replica's speed
    }
    const double ms = std::chrono::duration<double, std::milli>(elapsed).count();
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
    const bool hasFailed
        = outcome != ReplicaOutcome::Answered && outcome != ReplicaOutcome::Refused;
    replica.failureRate += sSmoothingWeight * ((hasFailed ? 1.0 : 0.0) - replica.failureRate);
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
    const auto backoff
        = sMinFailureBackoff * (1LL << std::min<std::uint32_t>(replica.failures - 1, 10));
    replica.avoidedUntil
        = std::max(replica.avoidedUntil, now + std::min<Milliseconds>(backoff, sMaxFailureBackoff));
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
    // A shorter wait replaces a longer one too, as after the limit was raised.
    if (told.perSecond || it->second.isCold(now)) {
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

// Earliest end of a rest or a rate limit, among replicas that no other backoff blocks.
std::optional<Instant> ReplicaSet::nextAvailability(const ReplicaQuery &query, Instant now) const
{
    std::optional<Instant> next;
    for (const Replica *replica : candidatesFor(query, now)) {
        const Instant available = replica->availableAt(now);
        const bool isPaused = available > now && replica->avoidedUntil <= available;
        if (isPaused && (!next || available < *next)) {
            next = available;
        }
    }
    return next;
}

std::optional<Milliseconds> ReplicaSet::retryDelayIfPaused(const ReplicaQuery &query,
                                                           Instant now) const
{
    const std::vector<const Replica *> candidates = candidatesFor(query, now);
    const bool isAnyAvailable = std::ranges::any_of(
        candidates, [&](const Replica *replica) { return replica->availableAt(now) <= now; });
    const auto opening = isAnyAvailable ? std::nullopt : nextAvailability(query, now);
    if (!opening) {
        return std::nullopt;
    }
    return RetryAdvice(query).afterPause(*opening - now);
}

std::string ReplicaSet::pausedByNotices(std::string_view service, Instant now) const
{
    std::string text;
    for (const auto &[id, replica] : mReplicas) {
        const std::string reason = pauseReason(replica, now);
        if (replica.record.service == service && !reason.empty()) {
            text += text.empty() ? "" : ", ";
            text += id;
            text += ' ';
            text += reason;
        }
    }
    return text;
}

std::string ReplicaSet::pauseReason(const Replica &replica, Instant now)
{
    const UnavailableReason reason = replica.unavailableReason(now);
    if (reason == UnavailableReason::Leaving || reason == UnavailableReason::Resting
        || reason == UnavailableReason::Displaced) {
        return std::string(unavailableReasonName(reason));
    }
    if (reason != UnavailableReason::Nothing || !replica.isAtConcurrencyLimit(now)) {
        return {};
    }
    std::ostringstream text;
    text << "limited to " << *replica.concurrencyLimit.limit(now) << " of "
         << replica.heldRequests() << " held, own " << replica.inFlight;
    return text.str();
}

LimitChange ReplicaSet::noteNoLimit(std::string_view id, Instant sentAt, Instant now)
{
    const auto it = mReplicas.find(id);
    return it == mReplicas.end() ? LimitChange::Nothing : it->second.limit.noteNoLimit(sentAt, now);
}

NoticeChange ReplicaSet::applyNotice(std::string_view id, std::uint64_t born,
                                     const ReplicaNotice &notice, Instant now)
{
    const auto it = mReplicas.find(id);
    if (it != mReplicas.end() && it->second.record.isSameIncarnation(born)) {
        Replica &replica = it->second;
        if (notice.rest) {
            replica.lowerConcurrencyLimit(now);
        }
        return replica.notices.apply(notice, now);
    }
    NoticeState kept = mRetained.take(id, born);
    const NoticeChange change = kept.apply(notice, now);
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
        const bool isUnused
            = replica.removedAt != Instant() && replica.removedAt <= now && replica.inFlight == 0;
        if (isUnused) {
            keepNotices(replica, now);
        }
        return isUnused;
    });
    mRetained.sweep(now);
}

} // namespace Loom
