/*
 * replicaattempt.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "bootclock.h"
#include "callstate.h"
#include "eventsplitter.h"
#include "httplink.h"
#include "instant.h"
#include "quarantineservice.h"
#include "replicaset.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Loom {

/** How one try at one replica ended. */
struct AttemptCompleted
{
}; ///< the caller has its whole answer
struct AttemptNotExecuted
{
    std::string reason;
}; ///< the request surely did not run there
struct AttemptUnknown
{
    std::string reason;
    std::optional<HttpResponse> answer; ///< a failure of the replica's own, if it gave one
    bool isAbandonedByGateway = false; ///< by this gateway, for no fault of the replica
    bool isClosedByReplica = false; ///< the replica's side ended the connection
}; ///< it may have run
struct AttemptAborted
{
    std::string reason;
}; ///< time is over, or the caller left: no further try
using AttemptOutcome
    = std::variant<AttemptCompleted, AttemptNotExecuted, AttemptUnknown, AttemptAborted>;

/** Whole events of a stream that the caller does not have yet. */
struct EventBatch
{
    std::string text;
    std::optional<std::uint64_t> last; ///< id of the last one
    std::uint32_t count = 0;
    bool isEndOfStream = false; ///< the stream has ended, and nothing else is here
};

/**
 * One try of a request at one replica: the connection, the request on its way and the
 * answer as it comes. The replicas' service is told of its beginning and its end.
 */
class ReplicaAttempt
{
public:
    ReplicaAttempt(CallState &call, ChosenReplica chosen);
    ~ReplicaAttempt();
    ReplicaAttempt(const ReplicaAttempt &) = delete;
    ReplicaAttempt &operator=(const ReplicaAttempt &) = delete;

    const ChosenReplica &chosen() const { return mChosen; }
    const ReplicaLife &incarnation() const { return mIncarnation; }
    /** A connection was made; nothing need have been sent on it. */
    bool wasConnected() const { return mWasConnected; }

    /** Connects; a result ends the try before anything was sent. */
    awaitable<std::optional<AttemptOutcome>> connect();
    /** Sends the request; the head of an answer that can be passed on, or how the try ended. */
    awaitable<tl::expected<LinkHead, AttemptOutcome>> sendRequest();
    /** Whether the answer that began is a stream of events. */
    bool isStream() const { return mIsStream; }
    /** The whole body of an answer that is no stream. */
    awaitable<tl::expected<std::string, AttemptOutcome>> readWhole();
    /** The next events of a stream. */
    awaitable<tl::expected<EventBatch, AttemptOutcome>> nextEvents();
    /** Reads the next events and keeps them for nextEvents(); a result: how the try ended. */
    awaitable<std::optional<AttemptOutcome>> prefetchEvents();

    /** The caller left or time is over: what is under way returns. */
    void cancel();
    /** Another try was first: ends this one, for no fault of its replica. */
    void cancelUnneeded();
    /** Another try begins in place of this one, whose replica is silent. */
    void cancelSilent();

    /** Tells how the try ended, and gives its connection back. */
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
    OutgoingFields outgoingFields() const;
    Milliseconds timeUntilWeightsExpire(std::uint64_t version) const;
    awaitable<tl::expected<LinkHead, LinkError>> exchangeHead();
    awaitable<tl::expected<LinkHead, AttemptOutcome>> classifyResponse(LinkHead head);
    AttemptOutcome outcomeOfLinkError(LinkError error) const;
    void noteFirstResponse(bool hasBegun);
    void noteRate(const NamedRate &rate, bool isGood);
    void noteNotice(const AnswerFields &fields);
    /** Gives the try up when its weights are over and it has not begun. */
    void watchWeightsExpiry();
    void stopWatchingWeightsExpiry();
    bool areWeightsExpired(std::uint64_t version) const;

    CallState &mCall;
    const ChosenReplica mChosen;
    ReplicaLife mIncarnation; ///< of the replica, when it was chosen; without an id: it was gone
    std::unique_ptr<HttpLink> mLink;
    EventSplitter mSplitter;
    std::optional<EventBatch> mPrefetched;
    BootTimer mWeightsTimer;
    std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
    Instant mSentAt;
    std::uint64_t mNewestWeightsSeen = 0; ///< the newest that the replica had while it ran
    CancelReason mCancelReason = CancelReason::None;
    bool mIsWaitingToRun = false; ///< it runs at an engine and has not begun
    bool mIsAwaitingFirstResponse = false; ///< it has no answer yet
    bool mWasConnected = false;
    bool mWasRequestSent = false;
    bool mIsStream = false;
    bool mIsFinished = false;
};

} // namespace Loom
