/*
 * gatewaycall.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "answertiming.h"
#include "asynctypes.h"
#include "bootclock.h"
#include "callquarantine.h"
#include "callstate.h"
#include "capacityqueue.h"
#include "instant.h"
#include "replicaattempt.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/**
 * Handles one request of a caller: finds its route, sends it to replicas as often as the route,
 * the retry budget and the deadline allow, and responds exactly once. If a replica that streams
 * events falls silent, a second attempt is sent to another replica as a hedge. Lives as long as
 * its exchange.
 */
class GatewayCall
{
public:
    GatewayCall(CallParts parts, HttpExchange &exchange);
    ~GatewayCall();
    GatewayCall(const GatewayCall &) = delete;
    GatewayCall &operator=(const GatewayCall &) = delete;

    awaitable<void> run();

private:
    struct Refusal
    {
        int status = 503;
        std::string reason;
        std::optional<Milliseconds> retryAfter; ///< sent as Retry-After
    };

    /** Finds the route, the service and the deadline. Returns a refusal on failure. */
    std::optional<Refusal> prepare();
    /** Checks the API key where the route needs one. Returns a refusal on failure. */
    std::optional<Refusal> authenticate();
    awaitable<void> sendToReplicas();
    /** Why no further attempt is allowed; empty if one is. */
    std::string_view stopReason() const;
    /** The refusal if the request is known to crash replicas; empty if it may run. */
    std::optional<Refusal> quarantineRefusal();
    awaitable<void> noteFailedAttempt(const ReplicaAttempt &attempt, const AttemptOutcome &result);
    void noteSent();
    /** @p regions views a configuration that outlives the query. */
    ReplicaQuery query(const AllowedRegions &regions) const;
    /** Work that the request causes, in units of reading a token of its prompt. */
    double work() const;
    void noteArrival();
    awaitable<ReplicaChoice> choose() const;
    /** Waits until a call that found no replica may look again; false: it may not. */
    awaitable<bool> waitForReplica(const ReplicaChoice &choice);
    void leaveCapacityQueue(bool hasFound);
    Milliseconds retryDelayAfterRefusal() const;
    Refusal refusalWithoutRegion(const NoneUsable &none) const;
    /** Whether the request may be sent again after an attempt with an unknown outcome. */
    bool mayRepeat();

    /** Runs an attempt at @p chosen and, if it fails, continues with a hedge that took over. */
    awaitable<AttemptOutcome> runAttemptWithHedge(ChosenReplica chosen);
    awaitable<AttemptOutcome> runAttempt();
    std::optional<AttemptOutcome> outcomeIfQuarantined();
    awaitable<AttemptOutcome> forwardResponse(LinkHead head);
    awaitable<AttemptOutcome> forwardStream(LinkHead head);
    awaitable<bool> forwardEvents(const EventBatch &events);
    awaitable<void> beginStream(const LinkHead &head);
    void setAttempt(std::unique_ptr<ReplicaAttempt> attempt);

    void startSilenceTimer(Milliseconds silence);
    void restartSilenceTimer();
    /** Whether the current attempt has run too long without a first event. */
    bool isOverdue() const;
    void onSilenceTimeout();
    void stopSilenceTimer();
    /** Sends the request to another replica while the current attempt is silent. */
    awaitable<void> tryHedge();
    awaitable<std::optional<ChosenReplica>> chooseHedgeReplica();
    awaitable<std::string_view> runHedge(ChosenReplica chosen);
    awaitable<std::optional<AttemptOutcome>> prefetchHedge();
    bool isHedgeNeeded() const;
    awaitable<bool> waitForHedge();
    void cancelHedge();
    awaitable<void> finishHedge();

    awaitable<void> refuse(Refusal refusal);
    /** Responds with an error, or cuts the response off if it has started. */
    awaitable<void> failCall(int status, std::string reason);
    void watchCallerAndDeadline();
    void cancelAttempts();
    void noteResponseStarted();
    std::string pausedByNotices() const;
    void logOutcome(int status, std::string_view outcome, std::string_view reason);

    CallState mCall;
    CallQuarantine mQuarantine;
    const Instant mArrivedAt;
    std::uint64_t mRandom = 0;
    BootTimer mDeadlineTimer;
    std::shared_ptr<bool> mAlive = std::make_shared<bool>(true); ///< expires with the call

    std::unique_ptr<ReplicaAttempt> mAttempt; ///< its response is forwarded to the caller
    std::vector<std::string> mExcludedReplicas; ///< replicas that were tried already
    std::uint32_t mSendCount = 0;
    std::uint32_t mFailedConnectCount = 0;
    std::uint32_t mDeniedPermitCount = 0; ///< send permits refused for replicas with a rate limit

    BootTimer mSilenceTimer;
    Milliseconds mSilenceTimeout{0}; ///< duration that the timer was started with
    Instant mFirstEventDueAt; ///< the current attempt is abandoned then if no event has arrived
    bool mIsSilenceTimerRunning = false;
    std::unique_ptr<ReplicaAttempt> mHedge;
    LinkHead mHedgeHead;
    Signal mHedgeEnded;
    bool mIsHedgeRunning = false; ///< tryHedge() has not returned
    bool mHasHedgeTakenOver = false; ///< its first events are here; it replaces the current attempt
    bool mIsHedgeCancelled = false; ///< it is no longer needed

    std::uint32_t mForwardedEventCount = 0; ///< events that were sent to the caller
    Instant mLastForwardedAt; ///< when the last of them was sent
    CapacityQueue::Place mQueuePlace;
    Instant mQueuedAt; ///< when the call began to wait for a replica; zero: it does not wait
    Milliseconds mQueuedFor{0}; ///< time for which the call waited for replicas
    std::string_view mStopReason; ///< why no further attempt followed the last one
    AnswerTiming mTimes;
    ChosenReplica mLastChosen; ///< the replica of the last attempt
    RequestStanding mStanding;
    std::uint64_t mRepeatSeed = 0;
    bool mIsRefusedForSize = false; ///< see AllBusy::isForSize
    double mReserved = 0; ///< capacity that the last choice kept for more urgent requests
    bool mIsHeldBack = false; ///< the last choice refused the request for that reason
    bool mWasPatient = false; ///< an attempt was expected to miss the latency goal
};

} // namespace Loom
