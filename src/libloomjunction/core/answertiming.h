/*
 * answertiming.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "routetable.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Loom {

/**
 * Times at which the parts of an answer were sent to the caller, compared with the goals
 * of the route. Lives as long as the call.
 */
class AnswerTiming
{
public:
    explicit AnswerTiming(Instant arrived)
        : mArrived(arrived)
    {
    }

    /** Sets how long ago the caller's first attempt was. */
    void setWaitedBefore(Milliseconds waited) { mWaitedBefore = waited; }
    Milliseconds waitedBefore() const { return mWaitedBefore; }

    /** Notes that the answer starts; returns true only for the first call. */
    bool noteStart(Instant now);
    /** Notes that events are sent. */
    void noteEvents(Instant now);

    /** Time from the call's arrival to the first byte of the answer. */
    const std::optional<Milliseconds> &first() const { return mTimeToFirstByte; }
    /** Longest pause between two events. */
    Milliseconds longestPause() const { return mLongestPause; }
    /**
     * Why the answer missed a goal of the route; empty: it missed none, or it has not
     * started. @p sends: how often the request was sent to a replica.
     */
    std::string_view latenessCause(const Route &route, std::uint32_t sends) const;

private:
    Instant mArrived;
    Milliseconds mWaitedBefore{0};
    std::optional<Milliseconds> mTimeToFirstByte;
    std::optional<Instant> mLastEventAt;
    Milliseconds mLongestPause{0};
};

} // namespace Loom
