/*
 * connectionbudget.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <utility>

namespace Loom {

/** Bounds on what the clients of a process hold open, over all its listeners. */
struct ConnectionBounds
{
    /** Bytes of requests that arrive or are handled, and of what lies unread behind them. */
    std::size_t heldBytes = std::size_t{48} * 1024 * 1024;
    std::size_t connections = 1'950; ///< open at the same time

    bool operator==(const ConnectionBounds &) const = default;
};

/** What the operating system allows a process. */
struct ProcessLimits
{
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;

    bool operator==(const ProcessLimits &) const = default;
};

/** Bounds that leave a process enough memory and descriptors for everything else. */
ConnectionBounds connectionBoundsFor(const ProcessLimits &limits);

/** Why a connection of a client has to make room for others. */
enum class CutReason : std::uint8_t
{
    Memory, ///< its request is refused
    Connections, ///< it is closed
};

/**
 * Counts the connections that clients have open in a process, and the bytes of all requests under
 * way on them from their first byte until the answer is out, and decides who makes room when they
 * exceed the bounds.
 *
 * A quarter of the bytes is kept for small requests. A request that finds no room is refused,
 * unless another one that is still arriving would need too long for its bytes at its present rate:
 * that one loses its place. Clients that stop short of the end can't hold the room in this way, and
 * those that send large bodies at once don't end each other's.
 *
 * A new connection is taken as long as any other one has no request that is handled: the one that
 * has had the longest time for its first request is closed, or else the one that has rested for
 * longest. One thread only.
 */
class ConnectionBudget
{
public:
    /** Whose bytes count against the part for large requests. */
    static constexpr std::size_t sMaxSmallBytes = std::size_t{64} * 1024;

    /** What one connection holds; given back at the end of its life. */
    class Share
    {
    public:
        using CutHandler = std::function<void(CutReason reason)>;

        /**
         * @p onCut is called at most once; for CutReason::Connections it has to close the
         * connection before it returns. A new connection for which there is no room is cut from
         * the beginning, without a call.
         */
        Share(ConnectionBudget &budget, CutHandler onCut, Instant now);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /** The first byte of a request has arrived. */
        void beginRequest(Instant now);
        /** More bytes of the request have arrived. */
        void noteArrival(std::size_t bytes, Instant now);
        /**
         * Sets what the request holds, in bytes of memory; false: it has to be refused. Announced
         * bytes may be charged before they arrive.
         */
        bool resize(std::size_t bytes, Instant now);
        /** The request is whole, and isn't given up any more. */
        void beginHandling(Instant now);
        /**
         * Sets the bytes that lie unread behind the request; false: they take memory that others
         * need, and the connection has to be closed.
         */
        bool noteUnread(std::size_t bytes);
        /** The answer is out, or the request was refused. */
        void endRequest(Instant now);
        /** It makes room for others, and no further request may be read. */
        bool isCut() const { return mIsCut; }

    private:
        friend class ConnectionBudget;

        enum class State : std::uint8_t
        {
            Waiting, ///< for a request
            Receiving,
            Handling,
        };

        bool isLarge() const { return mBytes > sMaxSmallBytes; }
        void setState(State state, Instant now);
        void setBytes(std::size_t bytes);
        /** Time that the request would need for its bytes at its present rate, in seconds. */
        double secondsNeeded(Instant now) const;

        ConnectionBudget &mBudget;
        CutHandler mOnCut;
        State mState = State::Waiting;
        Instant mWaitsSince; ///< since it was accepted, as long as it has made no request
        bool mHasRequested = false; ///< a request of it was handled
        bool mIsCounted = false; ///< in mConnections of the budget
        std::size_t mBytes = 0;
        std::size_t mUnreadBytes = 0;
        Instant mBegunAt; ///< first byte of the request
        Instant mArrivedAt; ///< newest bytes of the request
        double mRecentBytes = 0; ///< decayed, as of mArrivedAt
        bool mIsCut = false;
    };

    explicit ConnectionBudget(ConnectionBounds bounds = {})
        : mBounds(bounds)
    {
    }

    std::size_t bytes() const { return mBytes; }
    std::size_t connections() const { return mConnections; }
    /** Connections closed, or not taken, for want of room since the start. */
    std::size_t closedCount() const { return mClosedCount; }
    /** Requests refused for want of memory since the start. */
    std::size_t refusedCount() const { return mRefusedCount; }

private:
    bool makeRoom(const Share &asking, Instant now);
    bool isOver(const Share &asking) const;
    Share *slowest(const Share &asking, Instant now) const;
    void cut(Share &share, CutReason reason);

    /** Connections without a request that is handled, by the time since which they wait. */
    using Waiting = std::set<std::pair<Instant, Share *>>;

    Waiting &waitingLike(const Share &share) { return share.mHasRequested ? mRested : mNew; }
    void addWaiting(Share &share);
    void removeWaiting(Share &share);
    /** Closes connections until there is room for one more; false: there is none. */
    bool makeRoomForConnection(Instant now);
    Share *longestWaiting(Instant now) const;
    void release(Share &share);

    const ConnectionBounds mBounds;
    std::size_t mBytes = 0;
    std::size_t mLargeBytes = 0; ///< of requests with more than sMaxSmallBytes
    std::set<Share *> mReceiving;
    std::size_t mConnections = 0;
    std::size_t mClosedCount = 0;
    std::size_t mRefusedCount = 0;
    Waiting mNew; ///< had no request yet
    Waiting mRested; ///< had requests before
};

} // namespace Loom
