/*
 * capacityqueue.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "capacityqueue.h"

#include "clock.h"

#include <algorithm>

namespace Loom {

namespace {

// Time between two choices of the first call. A choice probes up to ten agents.
constexpr Milliseconds sTurnInterval{40};

} // namespace

void CapacityQueue::Place::leave()
{
    if (mQueue == nullptr) {
        return;
    }
    mQueue->mWaiting.remove(mTicket);
    mQueue->mChanged.notify();
    mQueue = nullptr;
}

awaitable<bool> CapacityQueue::waitForTurn(Place &place, Instant until,
                                           std::function<bool()> isOver)
{
    bool isNew = false;
    if (!place.isTaken()) {
        const auto ticket = mWaiting.add(until);
        if (!ticket) {
            co_return false;
        }
        place.mQueue = this;
        place.mTicket = *ticket;
        isNew = true;
    }
    // The first call has just looked for a replica, unless it became the first one meanwhile.
    bool hasJustLooked = isNew || mWaiting.isFirst(place.mTicket);
    while (now() < until && !isOver()) {
        if (!hasJustLooked && mWaiting.isFirst(place.mTicket)) {
            co_return true;
        }
        const auto left = std::chrono::duration_cast<Milliseconds>(until - now());
        co_await mChanged.waitFor(std::clamp(left, Milliseconds(1), sTurnInterval));
        hasJustLooked = false;
    }
    co_return false;
}

} // namespace Loom
