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

namespace Loom {

/** Bounds on what the clients of a process hold open, over all its listeners. */
struct ConnectionBounds
{
    /** Bytes of requests that arrive or are handled. */
    std::size_t heldBytes = std::size_t{48} * 1024 * 1024;

    bool operator==(const ConnectionBounds &) const = default;
};

/**
 * Counts the bytes of all requests that clients have under way in a process, from their first byte
 * until the answer is out, and decides whose request is given up when they exceed the bounds.
 *
 * A quarter of the bytes is kept for small requests. A request that finds no room is refused,
 * unless another one that is still arriving would need too long for its bytes at its present rate:
 * that one loses its place. Clients that stop short of the end can't hold the room in this way, and
 * those that send large bodies at once don't end each other's. One thread only.
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
        /** @p onCut is called at most once, when the request that arrives is given up. */
        Share(ConnectionBudget &budget, std::function<void()> onCut);
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
        void beginHandling();
        /** The answer is out, or the request was refused. */
        void endRequest();
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
        void setBytes(std::size_t bytes);
        /** Time that the request would need for its bytes at its present rate, in seconds. */
        double secondsNeeded(Instant now) const;

        ConnectionBudget &mBudget;
        std::function<void()> mOnCut;
        State mState = State::Waiting;
        std::size_t mBytes = 0;
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

private:
    bool makeRoom(const Share &asking, Instant now);
    bool isOver(const Share &asking) const;
    Share *slowest(const Share &asking, Instant now) const;
    static void cut(Share &share);

    const ConnectionBounds mBounds;
    std::size_t mBytes = 0;
    std::size_t mLargeBytes = 0; ///< of requests with more than sMaxSmallBytes
    std::set<Share *> mReceiving;
};

} // namespace Loom
