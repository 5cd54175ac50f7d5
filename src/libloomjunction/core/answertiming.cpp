/*
 * answertiming.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "answertiming.h"

#include <algorithm>

namespace Loom {

bool AnswerTiming::noteStart(Instant now)
{
    if (mTimeToFirstByte) {
        return false;
    }
    mTimeToFirstByte = std::chrono::duration_cast<Milliseconds>(now - mArrived);
    return true;
}

void AnswerTiming::noteEvents(Instant now)
{
    if (mLastEventAt) {
        const auto pause = std::chrono::duration_cast<Milliseconds>(now - *mLastEventAt);
        mLongestPause = std::max(mLongestPause, pause);
    }
    mLastEventAt = now;
}

std::string_view AnswerTiming::latenessCause(const Route &route, std::uint32_t sends) const
{
    if (!mTimeToFirstByte || route.goal.count() == 0) {
        return "";
    }
    if (mWaitedBefore > route.goal) {
        return "came back late";
    }
    const bool isRepeated = sends > 1;
    if (mWaitedBefore + *mTimeToFirstByte > route.goal) {
        return isRepeated ? "sent again" : "first event";
    }
    const bool isPaused = route.pauseGoal.count() > 0 && mLongestPause > route.pauseGoal;
    if (!isPaused) {
        return "";
    }
    return isRepeated ? "pause of a resumed stream" : "pause";
}

} // namespace Loom
