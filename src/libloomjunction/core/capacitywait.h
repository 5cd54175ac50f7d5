/*
 * capacitywait.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "routetable.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace Loom {

/**
 * The calls of one service that wait at a gateway until a replica can take them. Only the first
 * one looks for a replica, so that the cost does not grow with the number of waiting calls: during
 * a change of weights, dozens of streams are broken off at once. Owned by the replica service.
 */
class CapacityWait
{
public:
    using Ticket = std::uint64_t;

    /** Adds a call that may wait until @p until. Returns nothing if too many calls wait. */
    std::optional<Ticket> add(Instant until);
    void remove(Ticket ticket);
    /** Whether it is this call's turn: the one that has to give up first goes first. */
    bool isFirst(Ticket ticket) const;
    std::size_t size() const { return mCalls.size(); }

private:
    std::set<std::pair<Instant, Ticket>> mCalls;
    Ticket mLastTicket = 0;
};

/**
 * When the next event of a stream has to be on its way at the latest: callers give a stream up
 * after a pause that depends on the goals of its route.
 */
Instant resumeDeadline(const Route &route, Instant lastEventAt);

} // namespace Loom
