/*
 * linebudget.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "linebudget.h"

namespace Loom {

std::int64_t LineBudget::secondOf(Instant now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

bool LineBudget::take(std::string_view event, Instant now)
{
    auto it = mEvents.find(event);
    if (it == mEvents.end()) {
        it = mEvents.emplace(std::string(event), Second{}).first;
    }
    Second &second = it->second;
    if (second.number != secondOf(now)) {
        second.number = secondOf(now);
        second.written = 0;
    }
    if (second.written >= mLinesPerSecond) {
        ++second.leftOut;
        return false;
    }
    ++second.written;
    return true;
}

std::optional<LinesLeftOut> LineBudget::leftOut(Instant now)
{
    for (auto &[event, second] : mEvents) {
        if (second.leftOut > 0 && second.number != secondOf(now)) {
            LinesLeftOut left{event, second.leftOut};
            second.leftOut = 0;
            return left;
        }
    }
    return std::nullopt;
}

} // namespace Loom
