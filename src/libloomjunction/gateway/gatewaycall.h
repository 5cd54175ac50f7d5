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
#include "callstate.h"
#include "instant.h"
#include "replicatry.h"
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
    std::optional<Refusal> findAccount();
    awaitable<void> tryReplicas();
    /** Why no further try may follow; empty: one may. */
    std::string_view noFurtherTry() const;
    const RequestDigest &digest();
    /** For how long the request is refused, since it ends what runs it. */
    std::optional<Milliseconds> quarantinedFor();
    awaitable<void> noteFailed(const ReplicaTry &attempt, const TryResult &result);
    void noteGoodEnd();
    void noteSent();
    ReplicaQuery query() const;
    awaitable<ReplicaChoice> choose() const;
    Milliseconds comeBackAfterRefusal() const;
    bool mayRepeat() const;

    awaitable<TryResult> tryOnce(ChosenReplica chosen);
    awaitable<TryResult> runTry();
    awaitable<TryResult> passWhole(LinkHead head);
    awaitable<TryResult> passStream(LinkHead head);
    awaitable<bool> passEvents(const EventBatch &events);
    awaitable<void> beginStream(const LinkHead &head);
    void adopt(std::unique_ptr<ReplicaTry> attempt);

    void awaitSilence(Milliseconds silence);
    void awaitMore();
    bool isOverdue() const;
    void onSilence();
    void stopAwaitingSilence();
    awaitable<void> findStandby();
    awaitable<std::optional<ChosenReplica>> chooseStandby();
    awaitable<std::string_view> runStandby(ChosenReplica chosen);
    awaitable<std::optional<TryResult>> beginStandby();
    bool isStandbyWanted() const;
    awaitable<bool> standbyFollows();
    void dropStandby();
    awaitable<void> endStandby();

    awaitable<void> refuse(Refusal refusal);
    awaitable<void> giveUp(int status, std::string reason);
    void startWatching();
    void cancelTries();
    void noteAnswerBegun();
    std::string pausedByNotices() const;
    void logEnd(int status, std::string_view outcome, std::string_view reason);

    CallState mCall;
    const Instant mArrived;
    std::uint64_t mRandom = 0;
    BootTimer mDeadlineTimer;
    std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);

    std::unique_ptr<ReplicaTry> mTry; ///< that the caller gets its answer from
    std::vector<std::string> mExcluded; ///< replicas that were tried
    std::uint32_t mSends = 0;
    std::uint32_t mFailedConnects = 0;
    std::uint32_t mDenied = 0; ///< sends to replicas that named a limit

    BootTimer mSilenceTimer;
    Milliseconds mSilence{0}; ///< that the timer waits for
    Instant mOverdueAt; ///< the try under way is given up then unless it has begun
    bool mIsAwaitingSilence = false;
    std::unique_ptr<ReplicaTry> mStandby;
    LinkHead mStandbyHead;
    Signal mStandbyDone;
    bool mIsStandbyRunning = false; ///< findStandby() has not returned
    bool mHasStandbyBegun = false; ///< its first events are here, and it replaces the try
    bool mIsStandbyDropped = false; ///< the caller needs it no more

    std::uint32_t mEvents = 0; ///< that the caller got
    std::string_view mNoMore; ///< why no further try followed the last one
    AnswerTiming mTimes;
    ChosenReplica mTried; ///< the last one
    RequestDigest mDigest; ///< made only where it is asked for
    bool mWasPatient = false;
};

} // namespace Loom
