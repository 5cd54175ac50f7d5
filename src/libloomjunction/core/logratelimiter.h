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

/** Number of suppressed lines of one event. */
struct SuppressedLines
{
    std::string event;
    std::uint64_t count = 0;
};

/** Limits the log lines of each event per second and counts the suppressed ones. */
class LogRateLimiter
{
public:
    explicit LogRateLimiter(std::uint32_t linesPerSecond)
        : mLinesPerSecond(linesPerSecond)
    {
    }

    /** Returns whether a line of @p event may be written; counts the line either way. */
    bool allow(std::string_view event, Instant now);
    /** Returns and resets the count of one event from a past second, or nothing if there is none.
     */
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
