/*
 * replicatry.h
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

/** Whole events of a stream that the caller does not have yet. */
struct EventBatch
{
    std::string text;
    std::optional<std::uint64_t> last; ///< id of the last one
    std::uint32_t count = 0;
    bool isEnd = false; ///< the stream has ended, and nothing else is here
};

/**
 * One try of a request at one replica: the connection, the request on its way and the
 * answer as it comes. The replicas' service is told of its beginning and its end.
 */
class ReplicaTry
{
public:
    ReplicaTry(CallState &call, ChosenReplica chosen);
    ~ReplicaTry();
    ReplicaTry(const ReplicaTry &) = delete;
    ReplicaTry &operator=(const ReplicaTry &) = delete;

    const ChosenReplica &chosen() const { return mChosen; }
    const ReplicaLife &life() const { return mLife; }
    /** A connection was made; nothing need have been sent on it. */
    bool wasReached() const { return mWasReached; }

    /** Connects; a result ends the try before anything was sent. */
    awaitable<std::optional<TryResult>> connect();
    /** Sends the request; the head of an answer that can be passed on, or how the try ended. */
    awaitable<tl::expected<LinkHead, TryResult>> begin();
    /** Whether the answer that began is a stream of events. */
    bool isStream() const { return mIsStream; }
    /** The whole body of an answer that is no stream. */
    awaitable<tl::expected<std::string, TryResult>> readWhole();
    /** The next events of a stream. */
    awaitable<tl::expected<EventBatch, TryResult>> nextEvents();
    /** Reads the next events and keeps them for nextEvents(); a result: how the try ended. */
    awaitable<std::optional<TryResult>> holdEvents();

    /** The caller left or time is over: what is under way returns. */
    void cancel();
    /** Another try was first: ends this one, for no fault of its replica. */
    void drop();
    /** Another try begins in place of this one, whose replica is silent. */
    void replace();

    /** Tells how the try ended, and gives its connection back. */
    void end(const TryResult &result);
    bool hasEnded() const { return mHasEnded; }

private:
    enum class Ending : std::uint8_t
    {
        None,
        WeightsOver,
        Dropped,
        Replaced,
    };

    void endAs(Ending ending);
    void takeEvents(std::string_view piece, EventBatch &batch);
    OutgoingFields outgoingFields() const;
    Milliseconds timeOfWeights(std::uint64_t version) const;
    awaitable<tl::expected<LinkHead, LinkError>> ownHead();
    awaitable<tl::expected<LinkHead, TryResult>> judge(LinkHead head);
    TryResult afterLinkError(LinkError error) const;
    void noteAnswer(bool hasBegun);
    void noteRate(const NamedRate &rate, bool isGood);
    void noteNotice(const AnswerFields &fields);
    /** Gives the try up when its weights are over and it has not begun. */
    void watchWeights();
    void stopWatchingWeights();
    bool areWeightsOver(std::uint64_t version) const;

    CallState &mCall;
    const ChosenReplica mChosen;
    ReplicaLife mLife; ///< of the replica, when it was chosen; without an id: it was gone
    std::unique_ptr<HttpLink> mLink;
    EventSplitter mSplitter;
    std::optional<EventBatch> mHeld;
    BootTimer mWeightsTimer;
    std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
    Instant mSentAt;
    std::uint64_t mTriedWeights = 0; ///< the newest that the replica had while it ran
    Ending mEnding = Ending::None;
    bool mIsUnbegun = false; ///< it runs at an engine and has not begun
    bool mIsAwaiting = false; ///< it has no answer yet
    bool mWasReached = false;
    bool mWasSent = false;
    bool mIsStream = false;
    bool mHasEnded = false;
};

} // namespace Loom
