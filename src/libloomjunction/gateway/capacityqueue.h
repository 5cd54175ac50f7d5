/*
 * capacityqueue.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"
#include "capacitywait.h"

#include <functional>

namespace Loom {

/** Lets the calls of one service wait in turn for a replica. Owned by the replica service. */
class CapacityQueue
{
public:
    /** A call's place in the queue; frees it when destroyed. */
    class Place
    {
    public:
        Place() = default;
        ~Place() { leave(); }
        Place(const Place &) = delete;
        Place &operator=(const Place &) = delete;

        bool isTaken() const { return mQueue != nullptr; }
        void leave();

    private:
        friend class CapacityQueue;
        CapacityQueue *mQueue = nullptr;
        CapacityWait::Ticket mTicket = 0;
    };

    explicit CapacityQueue(const asio::any_io_executor &executor)
        : mChanged(executor)
    {
    }

    /**
     * Waits until the call at @p place, which is taken if necessary, has its turn to look for a
     * replica. Returns false at once if the queue is full, later at @p until or once @p isOver
     * returns true.
     */
    awaitable<bool> waitForTurn(Place &place, Instant until, std::function<bool()> isOver);

private:
    CapacityWait mWaiting;
    Signal mChanged;
};

} // namespace Loom
