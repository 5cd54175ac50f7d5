/*
 * replicaestimate.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "replicaestimate.h"

#include "weightsgoal.h"

#include <algorithm>

namespace Loom {

namespace {

// An agent speaks several times a second; older reports say little.
constexpr Milliseconds sMaxLoadAge{1'500};
// Two reports missed: whatever is sent to that box may lie there for long.
constexpr Milliseconds sAgentSilenceTimeout{350};
// A replica that fails this share of its requests gets only what the others cannot take.
constexpr double sDegradedFailureRate = 0.25;
// The way to another data centre and back, and what its bytes cost. Milliseconds.
constexpr double sRemotePenaltyMs = 45;
// Requests and events wait on its link. Milliseconds.
constexpr double sSlowLinkPenaltyMs = 200;
// A request that fails has to be sent again, or is lost.
constexpr double sFailurePenaltyMs = 500;
// Slower than the fastest by this factor is not noise of the requests' sizes.
constexpr double sSlowFactor = 2.5;
constexpr double sSlowEngineFactor = 4;
// Stricter, where being late breaks a promise: twice the fastest is suspicious.
constexpr double sSuspiciousLatencyFactor = 2;
// So long before a replica's weights may begin nothing more, the least doubt counts.
constexpr Milliseconds sImminentExpiry{1'300};
// An agent that answers within it stands behind a link that is not full: no choice
// waits longer for its answers.
constexpr Microseconds sMaxProbeRoundTrip{50'000};
// Request and connection on their way to a replica that may be under load.
constexpr double sTransitAllowanceMs = 400;
constexpr double sMaxStartDelayMs = 250;
constexpr Milliseconds sMaxFreshLoadAge{150};
// Requests that a plain replica may hold beyond its slots before others are refused.
constexpr double sPlainQueueFactor = 1.0;
// More than a new connection takes: the caller tried before.
constexpr Milliseconds sMinRetryWait{50};
// Waiting requests that a resumed stream may find at a replica, as a part of its
// slots: about a second's work.
constexpr double sResumedQueueFactor = 0.6;

} // namespace

bool ReplicaEstimator::isUsable(const Replica &replica) const
{
    const bool isHeldBack = replica.unavailableReason(mNow) != UnavailableReason::Nothing;
    if (replica.record.service != mQuery.service || isHeldBack) {
        return false;
    }
    if (replica.avoidedUntil > mNow || replica.isRateLimited(mNow)) {
        return false;
    }
    const bool isExcluded
        = std::ranges::find(mQuery.excluded, replica.record.id) != mQuery.excluded.end();
    if (isExcluded) {
        return false;
    }
    if (mQuery.engine == nullptr) {
        return true;
    }
    const bool isFresh = replica.load && mNow - replica.loadAt <= sMaxLoadAge;
    if (isFresh && !replica.load->isAccepting) {
        return false;
    }
    const std::uint64_t version = replica.weightsVersion();
    return version != 0 && version >= mQuery.minVersion;
}

bool ReplicaEstimator::isSlow(const Replica &replica) const
{
    // Engines answer later the fuller they are; their load is looked at by itself.
    const double factor = mQuery.engine == nullptr ? sSlowFactor : sSlowEngineFactor;
    return mMinAnswerMs > 0 && replica.answerMs > mMinAnswerMs * factor;
}

// Patient requests of all gateways that wait at the replica; they delay nobody else.
std::uint32_t ReplicaEstimator::waitingPatientRequests(const Replica &replica) const
{
    std::uint32_t told = 0;
    if (replica.load && mNow - replica.loadAt <= sMaxLoadAge) {
        told = std::min(replica.load->waitingPatient, replica.load->waiting);
    }
    return std::max(told, replica.patientWaiting);
}

// What the agent said, corrected by what this gateway did since. Without its
// agent, the others are taken to send as much as this gateway.
EngineLoad ReplicaEstimator::engineLoad(const Replica &replica) const
{
    EngineLoad work;
    if (!replica.load || mNow - replica.loadAt > sMaxLoadAge) {
        const double all = std::max<std::uint32_t>(mQuery.gatewayCount, 1);
        work.waitingPrompts = replica.awaitingFirstByte * all;
        work.running
            = (replica.inFlight - std::min(replica.awaitingFirstByte, replica.inFlight)) * all;
        return work;
    }
    const ReplicaLoad &load = *replica.load;
    work.pace = std::max(1.0, load.pace);
    work.running = std::max(0.0, load.running - static_cast<double>(replica.endedSinceReport));
    work.waitingPrompts = load.waiting + replica.startedSinceReport;
    return work;
}

ReplicaEstimate ReplicaEstimator::engineEstimate(const Replica &replica) const
{
    const EngineModel model(*mQuery.engine);
    const double slots = std::max<std::uint32_t>(replica.record.slots, 1);
    EngineLoad work = engineLoad(replica);
    const double all = work.running + work.waitingPrompts;
    work.waitingPrompts = std::max(0.0, work.waitingPrompts - waitingPatientRequests(replica));
    ReplicaEstimate offer;
    offer.load = (work.running + work.waitingPrompts) / slots;
    offer.answer = model.firstEventMs(work, mQuery.promptTokens);
    offer.cost = offer.answer;
    const bool isFull = work.running + work.waitingPrompts >= slots;
    offer.step
        = isFull ? model.completionIntervalMs() : model.promptReadMs(mQuery.engine->usualPrompt);
    const double goal
        = static_cast<double>((mQuery.goal - mQuery.waited).count()) * sPlannableGoalFraction;
    if (replica.load && replica.load->isLinkSlow) {
        offer.cost += sSlowLinkPenaltyMs;
    }
    offer.meetsGoal = offer.answer <= goal;
    // What is asked for with a longer goal would otherwise take all the room.
    const double idle = model.firstEventMs({}, 0);
    const double shortest = std::max(static_cast<double>(mShortestGoal.count()), 2 * idle);
    offer.room = model.room(work, 0, std::min(goal, shortest * sPlannableGoalFraction));
    offer.freeSlots = std::max(0.0, slots - all);
    const double places = mQuery.isResumed ? slots * (1 + sResumedQueueFactor) : slots;
    offer.acceptsLate = all + 1 <= places;
    return offer;
}

ReplicaEstimate ReplicaEstimator::plainEstimate(const Replica &replica) const
{
    const double slots = std::max<std::uint32_t>(replica.record.slots, 1);
    ReplicaEstimate offer;
    offer.load = replica.inFlight / slots;
    offer.answer = std::max(replica.answerMs, 1.0) * (1 + offer.load);
    offer.cost = offer.answer;
    const double queue = mQuery.waited > sMinRetryWait ? 2 * sPlainQueueFactor : sPlainQueueFactor;
    offer.meetsGoal = offer.load < 1 + queue;
    return offer;
}

// A replica that is sent little looks free. It takes one request; what comes next waits
// for its turn under the limit.
void ReplicaEstimator::applyRateLimit(ReplicaEstimate &offer)
{
    offer.room = std::min(offer.room, 1.0);
    offer.freeSlots = std::min(offer.freeSlots, 1.0);
}

// It would ask for rest again. The rest of a stream is tried all the same: its caller has no
// other way to it.
bool ReplicaEstimator::isAtConcurrencyLimit(const Replica &replica) const
{
    const auto most = replica.concurrencyLimit.most(mNow);
    return most && !mQuery.isResumed && replica.heldRequests() + 1 > *most;
}

ReplicaEstimate ReplicaEstimator::offer(const Replica &replica) const
{
    ReplicaEstimate offer
        = mQuery.engine == nullptr ? plainEstimate(replica) : engineEstimate(replica);
    if (replica.record.dataCentre != mQuery.dataCentre) {
        offer.cost += sRemotePenaltyMs;
    }
    if (replica.limit.perSecond()) {
        applyRateLimit(offer);
    }
    if (isAtConcurrencyLimit(replica)) {
        offer.meetsGoal = false;
        offer.acceptsLate = false;
        offer.room = 0;
        offer.freeSlots = 0;
    }
    if (isSlow(replica)) {
        offer.cost += replica.answerMs;
    }
    if (replica.failureRate > sDegradedFailureRate) {
        offer.cost += replica.failureRate * sFailurePenaltyMs;
    }
    return offer;
}

// Its agent was asked for this choice, and the way there and back was short.
bool ReplicaEstimator::hasJustBeenProbed(const Replica &replica) const
{
    const bool isAnswered
        = std::ranges::find(mQuery.answered, replica.record.id) != mQuery.answered.end();
    const bool isHeard = replica.load && mNow - replica.loadAt <= sAgentSilenceTimeout;
    if (!isAnswered || !isHeard) {
        return false;
    }
    const Microseconds roundTrip = replica.load->roundTrip;
    return roundTrip != Microseconds(0) && roundTrip <= sMaxProbeRoundTrip;
}

// Whether a request that is sent mNow surely begins before the replica's weights
// are over. With little time left, nothing may say that its way or its wait is
// long, and what is known must be fresh.
bool ReplicaEstimator::startsBeforeExpiry(const Replica &replica) const
{
    const std::uint64_t version = replica.weightsVersion();
    if (!mQuery.weights->isOverSoon(mQuery.model, version, mNow)) {
        return true;
    }
    // A link between data centres may fill up right after an answer, and the reset of
    // a request that lies on it comes behind the request.
    const bool isRemote = replica.record.dataCentre != mQuery.dataCentre;
    if (isRemote || !hasJustBeenProbed(replica) || replica.load->isLinkSlow
        || replica.failures > 0) {
        return false;
    }
    // The time passed on while agents were asked.
    const auto giveUp = mQuery.weights->giveUpAt(mQuery.model, version);
    if (*giveUp <= mNow) {
        return false;
    }
    const auto over = mQuery.weights->overAt(mQuery.model, version);
    const double left = std::chrono::duration<double, std::milli>(*over - mNow).count();
    const double answer = engineEstimate(replica).answer;
    if (left > sImminentExpiry.count()) {
        return answer * sSuspiciousLatencyFactor + sTransitAllowanceMs <= left;
    }
    const bool wasLate
        = mMinAnswerMs > 0 && replica.answerMs > mMinAnswerMs * sSuspiciousLatencyFactor;
    return mNow - replica.loadAt <= sMaxFreshLoadAge && !wasLate && answer <= sMaxStartDelayMs;
}

bool ReplicaEstimator::isSilent(const Replica &replica) const
{
    return replica.load && mNow - replica.loadAt > sAgentSilenceTimeout;
}

} // namespace Loom
