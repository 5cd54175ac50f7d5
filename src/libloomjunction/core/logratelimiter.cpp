/*
 * logratelimiter.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "logratelimiter.h"

namespace Loom {

std::int64_t LogRateLimiter::secondIndex(Instant now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

bool LogRateLimiter::allow(std::string_view event, Instant now)
{
    auto it = mEvents.find(event);
    if (it == mEvents.end()) {
        it = mEvents.emplace(std::string(event), EventCounter{}).first;
    }
    EventCounter &second = it->second;
    if (second.number != secondIndex(now)) {
        second.number = secondIndex(now);
        second.written = 0;
    }
    if (second.written >= mLinesPerSecond) {
        ++second.suppressed;
        return false;
    }
    ++second.written;
    return true;
}

std::optional<SuppressedLines> LogRateLimiter::takeSuppressed(Instant now)
{
    for (auto &[event, second] : mEvents) {
        if (second.suppressed > 0 && second.number != secondIndex(now)) {
            SuppressedLines left{event, second.suppressed};
            second.suppressed = 0;
            return left;
        }
    }
    return std::nullopt;
}

} // namespace Loom
