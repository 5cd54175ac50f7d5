/*
 * replicaset.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "replicaset.h"

#include <algorithm>

namespace Loom {

namespace {

// An agent speaks several times a second; older reports say little.
constexpr Milliseconds sLoadValid{1'500};
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
// The way to another data centre, as a part of the load of one slot.
constexpr double sFarToll = 0.4;
// Slower than the fastest by this factor is not noise of the requests' sizes.
constexpr double sSlowFactor = 2.5;
constexpr double sSlowEngineFactor = 4;
// Requests that a plain replica may hold beyond its slots before others are refused.
constexpr double sPlainQueue = 1.0;
constexpr Milliseconds sPlainComeBack{100};
constexpr Milliseconds sLeastComeBack{150};
constexpr Milliseconds sMostComeBack{1'500};
// Requests that were refused once wait for this many turns more.
constexpr double sReturningQueue = 3;
// Patient requests at a replica, as a part of its slots: about a second's work.
constexpr double sPatientQueue = 0.6;
// A refused request comes back when a few turns are over.
constexpr double sComeBackFactor = 4;
// A generator of ties only; its quality does not matter.
constexpr std::uint64_t sTieFactor = 6364136223846793005ULL;
constexpr std::uint64_t sTieStep = 1442695040888963407ULL;
constexpr double sTieRange = 1ULL << 24;
constexpr double sTieWeight = 0.01;
// Part of the goal that may be planned with; the rest is for what is not known.
constexpr double sGoalUsed = 0.85;
// Shares of a pass that pass before and after the reading of a prompt.
constexpr double sPassesToFirstEvent = 1.5;

double passMs(const EngineFigures &engine)
{
    const double context = (engine.usualPrompt + engine.usualAnswer / 2) / 1000;
    const double perRequest = engine.perSequenceMs + engine.contextMsPerK * context;
    return engine.stepsPerPass * (engine.stepMs + engine.slots * perRequest);
}

double readMs(const EngineFigures &engine)
{
    return engine.readTokensPerMs > 0 ? engine.usualPrompt / engine.readTokensPerMs : 0;
}

} // namespace

double meanTurnMs(const EngineFigures &engine)
{
    if (engine.slots == 0 || engine.stepsPerPass == 0) {
        return 0;
    }
    const double stepMs = passMs(engine) / engine.stepsPerPass;
    return readMs(engine) + engine.usualAnswer * stepMs / engine.slots;
}

double queueWithinGoal(const EngineFigures &engine, Milliseconds goal)
{
    const double turn = meanTurnMs(engine);
    if (turn <= 0) {
        return 0;
    }
    const double base = passMs(engine) * sPassesToFirstEvent + readMs(engine);
    return std::max(0.0, (static_cast<double>(goal.count()) * sGoalUsed - base) / turn);
}

std::uint64_t Replica::weightsVersion() const
{
    return load ? load->weightsVersion : record.weightsVersion;
}

void ReplicaSet::put(const ReplicaRecord &record)
{
    Replica &replica = mReplicas[record.id];
    const bool wasDraining = replica.record.isDraining;
    replica.record = record;
    replica.record.isDraining = record.isDraining || wasDraining;
    replica.goneAt = Instant();
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
            replica.load = load;
            replica.loadAt = now;
            replica.startedSince = 0;
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

double ReplicaSet::estimatedRequests(const Replica &replica, const ReplicaQuery &query, Instant now)
{
    if (replica.load && now - replica.loadAt <= sLoadValid) {
        const double reported = replica.load->running + replica.load->waiting;
        const double since
            = static_cast<double>(replica.startedSince) - static_cast<double>(replica.endedSince);
        return std::max<double>(replica.inFlight, reported + since);
    }
    if (query.engine == nullptr) {
        return replica.inFlight;
    }
    // Without its agent, the others are taken to send as much as this entry.
    return static_cast<double>(replica.inFlight) * std::max<std::uint32_t>(query.entries, 1);
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
double ReplicaSet::patientRequests(const Replica &replica, Instant now)
{
    double told = 0;
    if (replica.load && now - replica.loadAt <= sLoadValid) {
        told = std::min(replica.load->waitingPatient, replica.load->waiting);
    }
    return std::max<double>(told, replica.patientWaiting);
}

double ReplicaSet::costOf(const Replica &replica, const ReplicaQuery &query, double load,
                          double fastestMs)
{
    const double slots = std::max<std::uint32_t>(replica.record.slots, 1);
    double cost = load;
    if (query.engine != nullptr && replica.load) {
        cost *= std::max(1.0, replica.load->pace);
    }
    if (replica.record.dataCentre != query.dataCentre) {
        cost += sFarToll / slots;
    }
    if (isSlow(replica, query, fastestMs)) {
        cost += replica.answerMs / fastestMs;
    }
    if (replica.failureRate > sGreyShare) {
        cost += replica.failureRate * slots;
    }
    return cost;
}

namespace {

/** The cheapest replica so far. */
struct Best
{
    const Replica *replica = nullptr;
    double cost = 0;
    double load = 0;

    void offer(const Replica &other, double otherCost, double otherLoad)
    {
        if (replica == nullptr || otherCost < cost) {
            replica = &other;
            cost = otherCost;
            load = otherLoad;
        }
    }

    ChosenReplica chosen(bool isPatient, Instant now) const
    {
        const auto age = replica->load
            ? std::chrono::duration_cast<Milliseconds>(now - replica->loadAt)
            : Milliseconds(-1);
        return {replica->record.id, isPatient, load, age};
    }
};

} // namespace

ReplicaChoice ReplicaSet::choose(const ReplicaQuery &query, Instant now) const
{
    Best prompt;
    Best patient;
    double leastLoad = -1;
    std::uint32_t known = 0;
    std::uint32_t usable = 0;
    const double fastest = fastestAnswerMs(query, now);
    std::uint64_t tie = query.random;
    for (const auto &[id, replica] : mReplicas) {
        known += replica.record.service == query.service ? 1 : 0;
        const bool isOverSoon = replica.weightsVersion() < query.soonLeastVersion;
        const bool mayBeLate = isSlow(replica, query, fastest) || replica.failures > 0;
        if (!isUsable(replica, query, now) || (isOverSoon && mayBeLate)) {
            continue;
        }
        ++usable;
        const double slots = std::max<std::uint32_t>(replica.record.slots, 1);
        const double all = estimatedRequests(replica, query, now);
        const double ahead = std::max(0.0, all - patientRequests(replica, now));
        double queue = query.engine == nullptr ? slots * sPlainQueue
                                               : queueWithinGoal(*query.engine, query.goal);
        queue += query.isReturning ? sReturningQueue : 0;
        const double load = ahead / slots;
        leastLoad = leastLoad < 0 ? load : std::min(leastLoad, load);
        tie = tie * sTieFactor + sTieStep;
        const double noise = static_cast<double>(tie >> 40) / sTieRange * sTieWeight;
        const double cost = costOf(replica, query, load, fastest) + noise;
        if (ahead < slots + queue) {
            prompt.offer(replica, cost, load);
        } else if (all < slots * (1 + sPatientQueue)) {
            patient.offer(replica, costOf(replica, query, all / slots, fastest) + noise, load);
        }
    }
    if (prompt.replica != nullptr) {
        return prompt.chosen(false, now);
    }
    if (patient.replica != nullptr && query.mayBePatient) {
        return patient.chosen(true, now);
    }
    if (usable == 0) {
        return NoneUsable{known};
    }
    return AllBusy{comeBack(query, leastLoad), leastLoad};
}

Milliseconds ReplicaSet::comeBack(const ReplicaQuery &query, double leastLoad)
{
    if (query.engine == nullptr) {
        return sPlainComeBack;
    }
    const double over = std::max(0.0, leastLoad - 1) * query.engine->slots;
    const double wait = (over + 1) * meanTurnMs(*query.engine) * sComeBackFactor;
    // Those refused together should not return together.
    const double spread = 0.75 + 0.5 * static_cast<double>(query.random % 1024) / 1024;
    const Milliseconds after(static_cast<std::int64_t>(wait * spread));
    return std::clamp(after, sLeastComeBack, sMostComeBack);
}

void ReplicaSet::began(std::string_view id, bool isPatient)
{
    const auto it = mReplicas.find(id);
    if (it != mReplicas.end()) {
        ++it->second.inFlight;
        ++it->second.startedSince;
        it->second.patientWaiting += isPatient ? 1 : 0;
    }
}

void ReplicaSet::patienceEnded(std::string_view id)
{
    const auto it = mReplicas.find(id);
    if (it != mReplicas.end() && it->second.patientWaiting > 0) {
        --it->second.patientWaiting;
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

void ReplicaSet::noteAnswerTime(std::string_view id, Microseconds took)
{
    const auto it = mReplicas.find(id);
    if (it == mReplicas.end()) {
        return;
    }
    const double ms = std::chrono::duration<double, std::milli>(took).count();
    double &mean = it->second.answerMs;
    mean += (mean == 0 ? 1.0 : sSmoothing) * (ms - mean);
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
