/*
 * replicaattempt.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "answermemory.h"
#include "bootclock.h"
#include "callstate.h"
#include "eventsplitter.h"
#include "httplink.h"
#include "instant.h"
#include "quarantineservice.h"
#include "replicaset.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Loom {

/** The caller has the complete response. */
struct AttemptCompleted
{
    bool isSuccess = false; ///< the replica executed the request and reported no error
};

/** The replica certainly did not execute the request. */
struct AttemptNotExecuted
{
    std::string reason;
    bool isBroken = false; ///< what followed the head of the refusal was no answer
};

/** The replica may have executed the request. */
struct AttemptUnknown
{
    std::string reason;
    std::optional<HttpResponse> answer; ///< the error response of the replica, if it sent one
    bool isAbandonedByGateway = false; ///< this gateway ended it; not a fault of the replica
    bool isClosedByReplica = false; ///< the replica's side closed the connection
};

/** The deadline passed or the caller disconnected; no further attempt follows. */
struct AttemptAborted
{
    std::string reason;
};

/** How one attempt at one replica ended. */
using AttemptOutcome
    = std::variant<AttemptCompleted, AttemptNotExecuted, AttemptUnknown, AttemptAborted>;

/** Complete events of a stream that have not been sent to the caller yet. */
struct EventBatch
{
    std::string text;
    std::optional<std::uint64_t> last; ///< id of the last event
    std::uint32_t count = 0;
    bool isEndOfStream = false; ///< the stream has ended; the batch has no events then
};

/**
 * One attempt to have a request executed by one replica: it connects, sends the request and
 * reads the response. It reports its start and its outcome to the ReplicaService.
 */
class ReplicaAttempt
{
public:
    ReplicaAttempt(CallState &call, ChosenReplica chosen);
    ~ReplicaAttempt();
    ReplicaAttempt(const ReplicaAttempt &) = delete;
    ReplicaAttempt &operator=(const ReplicaAttempt &) = delete;

    const ChosenReplica &chosen() const { return mChosen; }
    const ReplicaIncarnation &incarnation() const { return mIncarnation; }
    /** Whether a connection was established, even if nothing was sent on it. */
    bool wasConnected() const { return mWasConnected; }

    /** Connects to the replica. Returns an outcome if the attempt ends without sending. */
    awaitable<std::optional<AttemptOutcome>> connect();
    /** Sends the request. Returns the head of a response to forward, or the outcome. */
    awaitable<tl::expected<LinkHead, AttemptOutcome>> sendRequest();
    /** Whether the response is an event stream. */
    bool isStream() const { return mIsStream; }
    /** Whether the end of the response shows only by the end of the connection. */
    bool isUnframed() const { return mIsUnframed; }
    /** The version of the weights that the response names; zero if it names none. */
    std::uint64_t weightsRan() const { return mWeightsRan; }
    /** Whether the replica has been writing the response for longer than a crash takes. */
    bool hasRunForLong() const;
    /** Reads the complete body of a response that is not an event stream. */
    awaitable<tl::expected<std::string, AttemptOutcome>> readWhole();
    /** Reads the next events of a stream. */
    awaitable<tl::expected<EventBatch, AttemptOutcome>> nextEvents();
    /** Reads the next events and keeps them for nextEvents(). Returns an outcome on failure. */
    awaitable<std::optional<AttemptOutcome>> prefetchEvents();

    /** Makes pending operations return after a caller disconnect or at the deadline. */
    void cancel();
    /** Ends this attempt because another one was first; not a fault of the replica. */
    void cancelUnneeded();
    /** Ends this attempt because its replica is silent and another one takes over. */
    void cancelSilent();

    /** Reports the outcome and returns the connection to the pool. */
    void end(const AttemptOutcome &result);
    bool isFinished() const { return mIsFinished; }

private:
    enum class CancelReason : std::uint8_t
    {
        None,
        WeightsExpired,
        Unneeded,
        Silent,
    };

    void cancelFor(CancelReason ending);
    void appendEvents(std::string_view piece, EventBatch &batch);
    /** Whether @p size bytes that just arrived belong to an event without end. */
    bool isEventEndless(std::size_t size, bool hasNewEvent);
    awaitable<AttemptNotExecuted> refusalOutcome(int status);
    const AnswerLimits &limits() const;
    AttemptOutcome endlessOutcome(EndlessPart part) const;
    void noteEndless(EndlessPart part) const;
    OutgoingFields outgoingFields() const;
    Milliseconds timeUntilWeightsExpire(std::uint64_t version) const;
    awaitable<tl::expected<LinkHead, LinkError>> exchangeHead();
    /** Responses to other requests that are skipped before the one to this request. */
    std::size_t maxForeignResponses() const;
    awaitable<tl::expected<LinkHead, AttemptOutcome>> classifyResponse(LinkHead head);
    AttemptOutcome outcomeOfLinkError(LinkError error) const;
    void noteFirstResponse(bool hasBegun);
    void noteRate(const AdvertisedRate &rate, bool isGood);
    void noteNotice(const ResponseFields &fields);
    void noteWeightsRan();
    void logExpiredStart(Instant cutoff) const;
    awaitable<bool> isWhole() const;
    /** Cancels the attempt once its weights expire, unless the request has started to run. */
    void watchWeightsExpiry();
    void stopWatchingWeightsExpiry();
    bool areWeightsExpired(std::uint64_t version) const;
    bool isInAllowedRegion(const Replica &replica) const;

    CallState &mCall;
    const ChosenReplica mChosen;
    ReplicaIncarnation mIncarnation; ///< when chosen; has no id if the replica was gone by then
    std::unique_ptr<HttpLink> mLink;
    EventSplitter mSplitter;
    std::optional<EventBatch> mPrefetched;
    std::size_t mBytesSinceEvent = 0; ///< of the stream, since the last event that continued it
    std::optional<Instant> mUnfinishedSince; ///< when the incomplete event began to arrive
    std::unique_ptr<AnswerMemory::Share> mMemory; ///< of the answer that is kept whole
    BootTimer mWeightsTimer;
    std::shared_ptr<bool> mAlive = std::make_shared<bool>(true); ///< expires with the attempt
    Instant mSentAt;
    std::optional<Instant> mFirstEventAt;
    std::uint64_t mNewestWeightsSeen = 0; ///< newest version during the attempt
    std::uint64_t mWeightsAtSend = 0; ///< version of the replica when the request was sent
    std::uint64_t mWeightsRan = 0; ///< as the response says; zero: it does not say
    bool mIsVersionRequired = false; ///< the replica was to refuse unless it has mWeightsAtSend
    CancelReason mCancelReason = CancelReason::None;
    bool mIsWaitingToRun = false; ///< sent to an engine service and not known to have started
    bool mIsAwaitingFirstResponse = false; ///< no response or first event has arrived yet
    bool mWasConnected = false;
    bool mWasRequestSent = false;
    bool mIsStream = false;
    bool mIsUnframed = false;
    bool mIsFinished = false;
};

} // namespace Loom
