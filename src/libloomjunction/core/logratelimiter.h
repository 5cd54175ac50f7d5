/*
 * logratelimiter.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Loom {

/** Lines of one event that were left out. */
struct SuppressedLines
{
    std::string event;
    std::uint64_t count = 0;
};

/** Bounds the lines of each event per second, and counts what was left out. */
class LogRateLimiter
{
public:
    explicit LogRateLimiter(std::uint32_t linesPerSecond)
        : mLinesPerSecond(linesPerSecond)
    {
    }

    /** Whether a line of @p event may be written now. */
    bool allow(std::string_view event, Instant now);
    /** What was left out in a second that is over; nothing where nothing was. */
    std::optional<SuppressedLines> takeSuppressed(Instant now);

private:
    struct EventCounter
    {
        std::int64_t number = 0;
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0;
    };

    static std::int64_t secondIndex(Instant now);

    std::uint32_t mLinesPerSecond;
    std::map<std::string, EventCounter, std::less<>> mEvents;
};

} // namespace Loom
