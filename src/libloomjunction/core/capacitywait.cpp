/*
 * capacitywait.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "capacitywait.h"

#include <algorithm>

namespace Loom {

namespace {

// Bounds the memory of waiting calls, each of which holds its request and its connection.
constexpr std::size_t sMaxWaitingCalls = 256;
// Callers give a stream up after the longest of these pauses.
constexpr Milliseconds sMinCallerPatience{2'000};
constexpr int sPatienceGoals = 4;
constexpr int sPatiencePauses = 8;
// Time for the replica to read the prompt again and for its first event to reach the caller.
constexpr Milliseconds sResumeMargin{400};

} // namespace

std::optional<CapacityWait::Ticket> CapacityWait::add(Instant until)
{
    if (mCalls.size() >= sMaxWaitingCalls) {
        return std::nullopt;
    }
    mCalls.emplace(until, ++mLastTicket);
    return mLastTicket;
}

void CapacityWait::remove(Ticket ticket)
{
    std::erase_if(mCalls, [&](const auto &call) { return call.second == ticket; });
}

bool CapacityWait::isFirst(Ticket ticket) const
{
    return !mCalls.empty() && mCalls.begin()->second == ticket;
}

Instant resumeDeadline(const Route &route, Instant lastEventAt)
{
    const Milliseconds patience = std::max(
        {sMinCallerPatience, route.goal * sPatienceGoals, route.pauseGoal * sPatiencePauses});
    return lastEventAt + patience - sResumeMargin;
}

} // namespace Loom
