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
 * When the parts of one answer went out to its caller, and whether that was as its route
 * wants it. Lives as long as the call.
 */
class AnswerTiming
{
public:
    explicit AnswerTiming(Instant arrived)
        : mArrived(arrived)
    {
    }

    /** The caller tried before, so long ago. */
    void setWaitedBefore(Milliseconds waited) { mWaitedBefore = waited; }
    Milliseconds waitedBefore() const { return mWaitedBefore; }

    /** The answer begins; true for the first time. */
    bool noteStart(Instant now);
    /** Events go out. */
    void noteEvents(Instant now);

    /** From arrival to the first byte of the answer. */
    const std::optional<Milliseconds> &first() const { return mFirst; }
    /** Between two events. */
    Milliseconds longestPause() const { return mLongestPause; }
    /** Why the answer was late, after so many sends; empty: it was not, or did not begin. */
    std::string_view latenessCause(const Route &route, std::uint32_t sends) const;

private:
    Instant mArrived;
    Milliseconds mWaitedBefore{0};
    std::optional<Milliseconds> mFirst;
    std::optional<Instant> mLastEventAt;
    Milliseconds mLongestPause{0};
};

} // namespace Loom
