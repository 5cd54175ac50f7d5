/*
 * linebudget.h
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
struct LinesLeftOut
{
    std::string event;
    std::uint64_t count = 0;
};

/** Bounds the lines of each event per second, and counts what was left out. */
class LineBudget
{
public:
    explicit LineBudget(std::uint32_t linesPerSecond)
        : mLinesPerSecond(linesPerSecond)
    {
    }

    /** Whether a line of @p event may be written now. */
    bool take(std::string_view event, Instant now);
    /** What was left out in a second that is over; nothing where nothing was. */
    std::optional<LinesLeftOut> leftOut(Instant now);

private:
    struct Second
    {
        std::int64_t number = 0;
        std::uint32_t written = 0;
        std::uint64_t leftOut = 0;
    };

    static std::int64_t secondOf(Instant now);

    std::uint32_t mLinesPerSecond;
    std::map<std::string, Second, std::less<>> mEvents;
};

} // namespace Loom
