/*
 * gatewaycall.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "answertimes.h"
#include "bootclock.h"
#include "directsettings.h"
#include "http.h"
#include "httplink.h"
#include "instant.h"
#include "ports.h"
#include "quarantineservice.h"
#include "routetable.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Loom {

class DirectConfig;
class MemberService;
class Metrics;
class ReplicaService;

/** What the calls of one gateway share. */
struct CallParts
{
    const DirectSettings &settings;
    CallPort &calls;
    DirectConfig &config;
    ReplicaService &replicas;
    QuarantineService &quarantine;
    MemberService &members;
    Metrics &metrics;
};

/** How one try at one replica ended. */
struct TryDone
{
}; ///< the caller has its whole answer
struct TryNotRun
{
    std::string reason;
}; ///< the request surely did not run there
struct TryUnknown
{
    std::string reason;
    std::optional<HttpResponse> answer; ///< a failure of the replica's own, if it gave one
    bool isGivenUp = false; ///< by this gateway, for no fault of the replica
    bool isCut = false; ///< the replica's side ended the connection
}; ///< it may have run
struct TryOver
{
    std::string reason;
}; ///< time is over, or the caller left: no further try
using TryResult = std::variant<TryDone, TryNotRun, TryUnknown, TryOver>;

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
    const RequestDigest &digest();
    /** For how long the request is refused, since it ends what runs it. */
    std::optional<Milliseconds> quarantinedFor();
    awaitable<void> noteCut();
    void noteGoodEnd();
    awaitable<TryResult> tryOnce(ChosenReplica chosen);
    awaitable<TryResult> exchangeWith(std::string replicaId);
    awaitable<TryResult> takeAnswer(LinkHead head);
    awaitable<TryResult> passWhole(LinkHead head);
    awaitable<TryResult> passStream(LinkHead head);
    awaitable<tl::expected<LinkHead, LinkError>> ownHead(LinkRequest request);
    TryResult afterLinkError(LinkError error);
    awaitable<ReplicaChoice> choose() const;
    void noteAnswer(bool hasBegun);
    void noteRate(const NamedRate &rate, bool isGood);
    OutgoingFields outgoingFields(std::string_view replicaId) const;
    Milliseconds timeOfWeights(std::uint64_t version) const;
    bool mayRepeat() const;
    Milliseconds timeLeft() const;
    /** Why no further try may follow; empty: one may. */
    std::string_view noFurtherTry() const;

    awaitable<void> refuse(Refusal refusal);
    awaitable<void> giveUp(int status, std::string reason);
    void startWatching();
    /** Gives the try under way up when its weights are over and it has not begun. */
    void watchWeights();
    void stopWatchingWeights();
    bool areWeightsOver(std::uint64_t version) const;
    void noteAnswerBegun();
    void logEnd(int status, std::string_view outcome, std::string_view reason);

    CallParts mParts;
    HttpExchange &mExchange;
    const Instant mArrived;
    RouteTablePtr mTable;
    const Route *mRoute = nullptr;
    const ServiceFigures *mService = nullptr;
    std::string mServiceName;
    CallerFields mCaller;
    std::string mAccount;
    Instant mDeadline; ///< the caller's time and the route's, whichever ends first
    std::uint64_t mRandom = 0;

    std::unique_ptr<HttpLink> mLink; ///< of the try under way
    BootTimer mDeadlineTimer;
    BootTimer mWeightsTimer;
    std::uint64_t mTriedWeights = 0; ///< the newest that the try's replica had while it ran
    bool mIsUnbegun = false; ///< the try under way runs at an engine and has not begun
    bool mAreWeightsOver = false; ///< so the try under way was given up
    std::vector<std::string> mExcluded; ///< replicas that were tried
    std::uint32_t mSends = 0;
    std::uint32_t mFailedConnects = 0;
    std::uint32_t mDenied = 0; ///< sends to replicas that named a limit
    std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
    bool mIsCallerGone = false;
    bool mIsHeadSent = false;
    AnswerTimes mTimes;
    bool mIsPatient = false; ///< the try under way was sent as patient
    bool mIsAwaiting = false; ///< the try under way has no answer yet
    Instant mSentAt;
    bool mIsTimeOver = false;
    std::optional<std::uint64_t> mLastEvent; ///< the last one that the caller got
    std::uint32_t mEvents = 0; ///< that the caller got
    std::string_view mNoMore; ///< why no further try followed the last one
    std::string mTriedReplica;
    ReplicaLife mTriedLife; ///< of that replica, when it was chosen
    RequestDigest mDigest; ///< made only where it is asked for
    double mTriedLoad = 0;
    double mPredictedMs = 0;
    bool mWasPatient = false;
    Milliseconds mTriedLoadAge{-1};
};

} // namespace Loom
