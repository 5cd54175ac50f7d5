/*
 * retainednotices.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "noticestate.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/**
 * Keeps the notices of replica incarnations that have no record at present. A record with
 * the same id may reappear, from a store that lost data or from a process that lags behind.
 */
class RetainedNotices
{
public:
    /**
     * Keeps the notices of the incarnation of @p id that started at @p born. Zero: the start
     * time is unknown, so that they count for any incarnation.
     */
    void keep(std::string_view id, std::uint64_t born, const NoticeState &notices, Instant now);
    /** Removes and returns the notices of an incarnation; an empty state if there are none. */
    NoticeState take(std::string_view id, std::uint64_t born);
    /** Deletes expired notices. */
    void sweep(Instant now);

private:
    struct Entry
    {
        std::uint64_t born = 0;
        NoticeState notices;
        Instant keptAt;
    };

    std::map<std::string, std::vector<Entry>, std::less<>> mById; ///< by id
};

} // namespace Loom
