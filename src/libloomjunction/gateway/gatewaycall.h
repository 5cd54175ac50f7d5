/*
 * gatewaycall.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "answertimes.h"
#include "asynctypes.h"
#include "bootclock.h"
#include "callstate.h"
#include "instant.h"
#include "replicaattempt.h"
#include "requestdigest.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/**
 * One request of a caller: finds its route, sends it to replicas as often as
 * the route, the budget and its time allow, and answers it exactly once.
 * Lives as long as its exchange.
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
        std::optional<Milliseconds> comeBack;
    };

    std::optional<Refusal> prepare();
    std::optional<Refusal> authenticate();
    awaitable<void> sendToReplicas();
    /** Why no further try may follow; empty: one may. */
    std::string_view stopReason() const;
    const RequestDigest &digest();
    /** For how long the request is refused, since it ends what runs it. */
    std::optional<Milliseconds> quarantineTimeLeft();
    awaitable<void> noteFailedAttempt(const ReplicaAttempt &attempt, const AttemptOutcome &result);
    void noteGoodEnd();
    void noteSent();
    ReplicaQuery query() const;
    awaitable<ReplicaChoice> choose() const;
    Milliseconds retryDelayAfterRefusal() const;
    bool mayRepeat() const;

    awaitable<AttemptOutcome> runAttemptWithHedge(ChosenReplica chosen);
    awaitable<AttemptOutcome> runAttempt();
    awaitable<AttemptOutcome> forwardResponse(LinkHead head);
    awaitable<AttemptOutcome> forwardStream(LinkHead head);
    awaitable<bool> forwardEvents(const EventBatch &events);
    awaitable<void> beginStream(const LinkHead &head);
    void setAttempt(std::unique_ptr<ReplicaAttempt> attempt);

    void startSilenceTimer(Milliseconds silence);
    void restartSilenceTimer();
    bool isOverdue() const;
    void onSilenceTimeout();
    void stopSilenceTimer();
    awaitable<void> tryHedge();
    awaitable<std::optional<ChosenReplica>> chooseHedgeReplica();
    awaitable<std::string_view> runHedge(ChosenReplica chosen);
    awaitable<std::optional<AttemptOutcome>> prefetchHedge();
    bool isHedgeNeeded() const;
    awaitable<bool> waitForHedge();
    void cancelHedge();
    awaitable<void> finishHedge();

    awaitable<void> refuse(Refusal refusal);
    awaitable<void> failCall(int status, std::string reason);
    void watchCallerAndDeadline();
    void cancelAttempts();
    void noteResponseStarted();
    std::string heldByNotices() const;
    void logOutcome(int status, std::string_view outcome, std::string_view reason);

    CallState mCall;
    const Instant mArrivedAt;
    std::uint64_t mRandom = 0;
    BootTimer mDeadlineTimer;
    std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);

    std::unique_ptr<ReplicaAttempt> mAttempt; ///< that the caller gets its answer from
    std::vector<std::string> mExcludedReplicas; ///< replicas that were tried
    std::uint32_t mSendCount = 0;
    std::uint32_t mFailedConnectCount = 0;
    std::uint32_t mDeniedPermitCount = 0; ///< sends to replicas that named a limit

    BootTimer mSilenceTimer;
    Milliseconds mSilenceTimeout{0}; ///< that the timer waits for
    Instant mFirstEventDueAt; ///< the try under way is given up then unless it has begun
    bool mIsSilenceTimerRunning = false;
    std::unique_ptr<ReplicaAttempt> mHedge;
    LinkHead mHedgeHead;
    Signal mHedgeEnded;
    bool mIsHedgeRunning = false; ///< tryHedge() has not returned
    bool mHasHedgeTakenOver = false; ///< its first events are here, and it replaces the try
    bool mIsHedgeCancelled = false; ///< the caller needs it no more

    std::uint32_t mForwardedEventCount = 0; ///< that the caller got
    std::string_view mStopReason; ///< why no further try followed the last one
    AnswerTimes mTimes;
    ChosenReplica mLastChosen; ///< the last one
    RequestDigest mDigest; ///< made only where it is asked for
    bool mWasPatient = false;
};

} // namespace Loom
