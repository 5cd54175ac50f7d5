/*
 * replicaoffer.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "replicaoffer.h"

#include "weightversiontracker.h"

#include <algorithm>

namespace Loom {

namespace {

// An agent speaks several times a second; older reports say little.
constexpr Milliseconds sLoadValid{1'500};
// Two reports missed: whatever is sent to that box may lie there for long.
constexpr Milliseconds sLoadSilence{350};
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
// So long before a replica's weights may begin nothing more, the least doubt counts.
constexpr Milliseconds sOverNow{1'300};
// An agent that answers within it stands behind a link that is not full: no choice
// waits longer for its answers.
constexpr Microseconds sQuickAnswer{50'000};
// Request and connection on their way to a replica that may be under load.
constexpr double sWayMs = 400;
constexpr double sSoonMs = 250;
constexpr Milliseconds sLoadFresh{150};
// Requests that a plain replica may hold beyond its slots before others are refused.
constexpr double sPlainQueue = 1.0;
// More than a new connection takes: the caller tried before.
constexpr Milliseconds sHasWaited{50};
// Waiting requests that a resumed stream may find at a replica, as a part of its
// slots: about a second's work.
constexpr double sResumedQueue = 0.6;

} // namespace

bool OfferEstimator::isUsable(const Replica &replica) const
{
    const bool isHeldBack = replica.heldBack(mNow) != HeldBack::Nothing;
    if (replica.record.service != mQuery.service || isHeldBack) {
        return false;
    }
    if (replica.avoidedUntil > mNow || replica.isHeldUp(mNow)) {
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
    const bool isFresh = replica.load && mNow - replica.loadAt <= sLoadValid;
    if (isFresh && !replica.load->isAccepting) {
        return false;
    }
    const std::uint64_t version = replica.weightsVersion();
    return version != 0 && version >= mQuery.leastVersion;
}

bool OfferEstimator::isSlow(const Replica &replica) const
{
    // Engines answer later the fuller they are; their load is looked at by itself.
    const double factor = mQuery.engine == nullptr ? sSlowFactor : sSlowEngineFactor;
    return mFastestMs > 0 && replica.answerMs > mFastestMs * factor;
}

// Patient requests of all gateways that wait at the replica; they delay nobody else.
std::uint32_t OfferEstimator::patientRequests(const Replica &replica) const
{
    std::uint32_t told = 0;
    if (replica.load && mNow - replica.loadAt <= sLoadValid) {
        told = std::min(replica.load->waitingPatient, replica.load->waiting);
    }
    return std::max(told, replica.patientWaiting);
}

// What the agent said, corrected by what this gateway did since. Without its
// agent, the others are taken to send as much as this gateway.
EngineWork OfferEstimator::workOf(const Replica &replica) const
{
    EngineWork work;
    if (!replica.load || mNow - replica.loadAt > sLoadValid) {
        const double all = std::max<std::uint32_t>(mQuery.entries, 1);
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

ReplicaOffer OfferEstimator::engineOffer(const Replica &replica) const
{
    const EngineModel model(*mQuery.engine);
    const double slots = std::max<std::uint32_t>(replica.record.slots, 1);
    EngineWork work = workOf(replica);
    const double all = work.running + work.unread;
    work.unread = std::max(0.0, work.unread - patientRequests(replica));
    ReplicaOffer offer;
    offer.load = (work.running + work.unread) / slots;
    offer.answer = model.firstEvent(work, mQuery.promptTokens);
    offer.cost = offer.answer;
    const bool isFull = work.running + work.unread >= slots;
    offer.step = isFull ? model.turn() : model.read(mQuery.engine->meanPromptTokens);
    const double goal = static_cast<double>((mQuery.goal - mQuery.waited).count()) * sGoalUsed;
    if (replica.load && replica.load->isLinkSlow) {
        offer.cost += sSlowLinkTollMs;
    }
    offer.isPrompt = offer.answer <= goal;
    // What is asked for with a longer goal would otherwise take all the room.
    const double idle = model.firstEvent({}, 0);
    const double shortest = std::max(static_cast<double>(mShortestGoal.count()), 2 * idle);
    offer.room = model.room(work, 0, std::min(goal, shortest * sGoalUsed));
    offer.freePlaces = std::max(0.0, slots - all);
    const double places = mQuery.isResumed ? slots * (1 + sResumedQueue) : slots;
    offer.isOpen = all + 1 <= places;
    return offer;
}

ReplicaOffer OfferEstimator::plainOffer(const Replica &replica) const
{
    const double slots = std::max<std::uint32_t>(replica.record.slots, 1);
    ReplicaOffer offer;
    offer.load = replica.inFlight / slots;
    offer.answer = std::max(replica.answerMs, 1.0) * (1 + offer.load);
    offer.cost = offer.answer;
    const double queue = mQuery.waited > sHasWaited ? 2 * sPlainQueue : sPlainQueue;
    offer.isPrompt = offer.load < 1 + queue;
    return offer;
}

// A replica that is sent little looks free. It takes one request; what comes next waits
// for its turn under the limit.
void OfferEstimator::limitOffer(ReplicaOffer &offer)
{
    offer.room = std::min(offer.room, 1.0);
    offer.freePlaces = std::min(offer.freePlaces, 1.0);
}

// It would ask for rest again. The rest of a stream is tried all the same: its caller has no
// other way to it.
bool OfferEstimator::isFilled(const Replica &replica) const
{
    const auto most = replica.fillLevel.most(mNow);
    return most && !mQuery.isResumed && replica.held() + 1 > *most;
}

ReplicaOffer OfferEstimator::offer(const Replica &replica) const
{
    ReplicaOffer offer = mQuery.engine == nullptr ? plainOffer(replica) : engineOffer(replica);
    if (replica.record.dataCentre != mQuery.dataCentre) {
        offer.cost += sFarTollMs;
    }
    if (replica.limit.perSecond()) {
        limitOffer(offer);
    }
    if (isFilled(replica)) {
        offer.isPrompt = false;
        offer.isOpen = false;
        offer.room = 0;
        offer.freePlaces = 0;
    }
    if (isSlow(replica)) {
        offer.cost += replica.answerMs;
    }
    if (replica.failureRate > sGreyShare) {
        offer.cost += replica.failureRate * sFailureTollMs;
    }
    return offer;
}

// Its agent was asked for this choice, and the way there and back was short.
bool OfferEstimator::hasJustAnswered(const Replica &replica) const
{
    const bool isAnswered
        = std::ranges::find(mQuery.answered, replica.record.id) != mQuery.answered.end();
    const bool isHeard = replica.load && mNow - replica.loadAt <= sLoadSilence;
    if (!isAnswered || !isHeard) {
        return false;
    }
    const Microseconds took = replica.load->took;
    return took != Microseconds(0) && took <= sQuickAnswer;
}

// Whether a request that is sent mNow surely begins before the replica's weights
// are over. With little time left, nothing may say that its way or its wait is
// long, and what is known must be fresh.
bool OfferEstimator::beginsInTime(const Replica &replica) const
{
    const std::uint64_t version = replica.weightsVersion();
    if (!mQuery.weights->isCutoffNear(mQuery.model, version, mNow)) {
        return true;
    }
    // A link between data centres may fill up right after an answer, and the reset of
    // a request that lies on it comes behind the request.
    const bool isFar = replica.record.dataCentre != mQuery.dataCentre;
    if (isFar || !hasJustAnswered(replica) || replica.load->isLinkSlow || replica.failures > 0) {
        return false;
    }
    // The time passed on while agents were asked.
    const auto giveUp = mQuery.weights->startDeadline(mQuery.model, version);
    if (*giveUp <= mNow) {
        return false;
    }
    const auto over = mQuery.weights->cutoffAt(mQuery.model, version);
    const double left = std::chrono::duration<double, std::milli>(*over - mNow).count();
    const double answer = engineOffer(replica).answer;
    if (left > sOverNow.count()) {
        return answer * sLateFactor + sWayMs <= left;
    }
    const bool wasLate = mFastestMs > 0 && replica.answerMs > mFastestMs * sLateFactor;
    return mNow - replica.loadAt <= sLoadFresh && !wasLate && answer <= sSoonMs;
}

bool OfferEstimator::isSilent(const Replica &replica) const
{
    return replica.load && mNow - replica.loadAt > sLoadSilence;
}

} // namespace Loom
