/*
 * replicaestimate.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "replicaestimate.h"

#include "weightversiontracker.h"

#include <algorithm>

namespace Loom {

namespace {

// Agents report several times per second; an older report is outdated.
constexpr Milliseconds sMaxLoadAge{1'500};
// Two reports are missing after this time: requests to that box may be stuck for long.
constexpr Milliseconds sAgentSilenceTimeout{350};
// A replica that fails this fraction of its requests gets only what others cannot take.
constexpr double sDegradedFailureRate = 0.25;
// Round trip to another data centre, and the price of its traffic, in milliseconds.
constexpr double sRemotePenaltyMs = 45;
// More than the penalty of another data centre, so that a warm replica there goes before a cold
// one here, and less than any goal.
constexpr double sColdPenaltyMs = 60;
// Queueing of requests and events on a congested link, in milliseconds.
constexpr double sSlowLinkPenaltyMs = 200;
// A failed request has to be sent again or is lost. Milliseconds at a failure rate of one.
constexpr double sFailurePenaltyMs = 500;
// A replica that is slower than the fastest by this factor is really slow: different sizes of
// the requests do not explain it.
constexpr double sSlowFactor = 2.5;
constexpr double sSlowEngineFactor = 4;
// Stricter factor for expiring weights, where a late start would break a guarantee.
constexpr double sSuspiciousLatencyFactor = 2;
// In this last period before the weights expire, the slightest doubt excludes a replica.
constexpr Milliseconds sImminentExpiry{1'300};
// An agent that answers within this time is behind an uncongested link. No choice waits
// longer for answers.
constexpr Microseconds sMaxProbeRoundTrip{50'000};
// Allowance for the connection and the request to reach a replica that may be under load.
constexpr double sTransitAllowanceMs = 400;
constexpr double sMaxStartDelayMs = 250;
constexpr Milliseconds sMaxFreshLoadAge{150};
// Requests that a plain replica may queue before others are refused, per slot.
constexpr double sPlainQueueFactor = 1.0;
// A longer wait is not explained by a new connection: the caller has tried before.
constexpr Milliseconds sMinRetryWait{50};
// Requests that may wait ahead of a resumed stream, as a fraction of the slots: about a
// second of work.
constexpr double sResumedQueueFactor = 0.6;

} // namespace

bool ReplicaEstimator::isUsable(const Replica &replica) const
{
    const bool isUnavailable = replica.unavailableReason(mNow) != UnavailableReason::Nothing;
    if (replica.record.service != mQuery.service || isUnavailable
        || !mQuery.regions.allows(replica.region)) {
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
    // Engines answer later the fuller they are, and their load is evaluated separately.
    const double factor = mQuery.engine == nullptr ? sSlowFactor : sSlowEngineFactor;
    return mMinAnswerMs > 0 && replica.answerMs > mMinAnswerMs * factor;
}

// Waiting patient requests of all gateways at the replica. They do not delay other requests.
std::uint32_t ReplicaEstimator::waitingPatientRequests(const Replica &replica) const
{
    std::uint32_t reported = 0;
    if (replica.load && mNow - replica.loadAt <= sMaxLoadAge) {
        reported = std::min(replica.load->waitingPatient, replica.load->waiting);
    }
    return std::max(reported, replica.patientWaiting);
}

// The load that the agent reported, corrected by this gateway's requests since then. Without a
// report, every other gateway is assumed to send as much as this one.
EngineLoad ReplicaEstimator::engineLoad(const Replica &replica) const
{
    EngineLoad estimated;
    if (!replica.load || mNow - replica.loadAt > sMaxLoadAge) {
        const double gateways = std::max<std::uint32_t>(mQuery.gatewayCount, 1);
        estimated.waitingPrompts = replica.awaitingFirstByte * gateways;
        estimated.running
            = (replica.inFlight - std::min(replica.awaitingFirstByte, replica.inFlight)) * gateways;
        return estimated;
    }
    const ReplicaLoad &load = *replica.load;
    estimated.pace = std::max(1.0, load.pace);
    estimated.running = std::max(0.0, load.running - static_cast<double>(replica.endedSinceReport));
    estimated.waitingPrompts = load.waiting + replica.startedSinceReport;
    const auto reported = static_cast<double>(
        EngineModel(*mQuery.engine).knownTokens(load.waitingTokens, load.waiting));
    if (reported > 0) {
        estimated.waitingTokens = reported;
        for (const RequestStart &start : replica.recentStarts) {
            estimated.waitingTokens += start.promptTokens > 0
                ? static_cast<double>(start.promptTokens)
                : mQuery.engine->meanPromptTokens;
        }
    }
    return estimated;
}

ReplicaEstimate ReplicaEstimator::engineEstimate(const Replica &replica) const
{
    const EngineModel model(*mQuery.engine);
    const double slots = std::max<std::uint32_t>(replica.record.slots, 1);
    EngineLoad load = engineLoad(replica);
    const double all = load.running + load.waitingPrompts;
    const double prompts = load.waitingPrompts;
    load.waitingPrompts = std::max(0.0, prompts - waitingPatientRequests(replica));
    // The sizes of patient requests are not known separately.
    load.waitingTokens *= prompts > 0 ? load.waitingPrompts / prompts : 0;
    ReplicaEstimate offer;
    offer.load = (load.running + load.waitingPrompts) / slots;
    offer.answer = model.firstEventMs(load, mQuery.promptTokens);
    offer.cost = offer.answer;
    const bool isFull = load.running + load.waitingPrompts >= slots;
    offer.costPerRequest = isFull ? model.completionIntervalMs()
                                  : model.promptReadMs(mQuery.engine->meanPromptTokens);
    const double goal
        = static_cast<double>((mQuery.goal - mQuery.waited).count()) * sPlannableGoalFraction;
    if (replica.load && replica.load->isLinkSlow) {
        offer.cost += sSlowLinkPenaltyMs;
    }
    offer.meetsGoal = offer.answer <= goal;
    // Requests with longer goals would otherwise take all the capacity.
    const double idle = model.firstEventMs({}, 0);
    const double shortest = std::max(static_cast<double>(mShortestGoal.count()), 2 * idle);
    offer.room = model.room(load, 0, std::min(goal, shortest * sPlannableGoalFraction));
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

// A rate limited replica looks idle because it gets few requests. One that named its limit is in
// need and is offered one request at a time, since further ones have to wait for the limit. A cold
// one takes what its rate permits within the goal.
void ReplicaEstimator::applyRateLimit(ReplicaEstimate &estimate, const Replica &replica) const
{
    double requests = 1;
    if (!replica.limit.perSecond()) {
        const double goalSeconds = std::chrono::duration<double>(mQuery.goal).count();
        requests = std::max(1.0, replica.cold.perSecond * goalSeconds);
    }
    estimate.room = std::min(estimate.room, requests);
    estimate.freeSlots = std::min(estimate.freeSlots, requests);
}

ReplicaEstimate ReplicaEstimator::estimate(const Replica &replica) const
{
    ReplicaEstimate offer
        = mQuery.engine == nullptr ? plainEstimate(replica) : engineEstimate(replica);
    if (replica.record.dataCentre != mQuery.dataCentre) {
        offer.cost += sRemotePenaltyMs;
    }
    if (replica.ratePerSecond(mNow)) {
        applyRateLimit(offer, replica);
    }
    if (replica.isCold(mNow)) {
        offer.cost += sColdPenaltyMs;
    }
    // Resumed streams are exempt, because their callers cannot get the remaining events otherwise.
    if (!mQuery.isResumed && replica.isAtConcurrencyLimit(mNow)) {
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

// Whether the replica's agent was probed for this choice and answered quickly.
bool ReplicaEstimator::hasJustBeenProbed(const Replica &replica) const
{
    const bool hasAnswered
        = std::ranges::find(mQuery.answered, replica.record.id) != mQuery.answered.end();
    const bool isFresh = replica.load && mNow - replica.loadAt <= sAgentSilenceTimeout;
    if (!hasAnswered || !isFresh) {
        return false;
    }
    const Microseconds roundTrip = replica.load->roundTrip;
    return roundTrip != Microseconds(0) && roundTrip <= sMaxProbeRoundTrip;
}

// Whether a request that is sent now certainly starts before the replica's weights expire.
// With little time left, nothing may indicate a slow link or a long queue, and the report
// must be fresh.
bool ReplicaEstimator::startsBeforeExpiry(const Replica &replica) const
{
    const std::uint64_t version = replica.weightsVersion();
    if (!mQuery.weights->isCutoffNear(mQuery.model, version, mNow)) {
        return true;
    }
    // A link between data centres may become congested right after an answer. The reset of a
    // request that is queued on it arrives only after the request.
    const bool isRemote = replica.record.dataCentre != mQuery.dataCentre;
    if (isRemote || !hasJustBeenProbed(replica) || replica.load->isLinkSlow
        || replica.failures > 0) {
        return false;
    }
    // The weights may have expired while agents were probed.
    const auto giveUp = mQuery.weights->startDeadline(mQuery.model, version);
    if (*giveUp <= mNow) {
        return false;
    }
    const auto expiry = mQuery.weights->cutoffAt(mQuery.model, version);
    const double left = std::chrono::duration<double, std::milli>(*expiry - mNow).count();
    const double answer = engineEstimate(replica).answer;
    if (left > sImminentExpiry.count()) {
        return answer * sSuspiciousLatencyFactor + sTransitAllowanceMs <= left;
    }
    const bool isSuspiciouslySlow
        = mMinAnswerMs > 0 && replica.answerMs > mMinAnswerMs * sSuspiciousLatencyFactor;
    return mNow - replica.loadAt <= sMaxFreshLoadAge && !isSuspiciouslySlow
        && answer <= sMaxStartDelayMs;
}

bool ReplicaEstimator::isSilent(const Replica &replica) const
{
    return replica.load && mNow - replica.loadAt > sAgentSilenceTimeout;
}

} // namespace Loom
