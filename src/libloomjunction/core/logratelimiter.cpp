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
    EventCounter &counter = it->second;
    if (counter.number != secondIndex(now)) {
        counter.number = secondIndex(now);
        counter.written = 0;
    }
    if (counter.written >= mLinesPerSecond) {
        ++counter.suppressed;
        return false;
    }
    ++counter.written;
    return true;
}

std::optional<SuppressedLines> LogRateLimiter::takeSuppressed(Instant now)
{
    for (auto &[event, counter] : mEvents) {
        if (counter.suppressed > 0 && counter.number != secondIndex(now)) {
            SuppressedLines lines{event, counter.suppressed};
            counter.suppressed = 0;
            return lines;
        }
    }
    return std::nullopt;
}

} // namespace Loom
