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
 * Notices of lives that no record tells of at present. A record may come back by the same
 * id, from a store that forgot or from another process that is behind.
 */
class RetainedNotices
{
public:
    /** Of the life of @p id that began at @p born; zero: untold, any life of that id. */
    void keep(std::string_view id, std::uint64_t born, const NoticeState &notices, Instant now);
    /** Takes out what is kept of that life; without any, nothing was said. */
    NoticeState take(std::string_view id, std::uint64_t born);
    /** Forgets what was kept long ago. */
    void sweep(Instant now);

private:
    struct Kept
    {
        std::uint64_t born = 0;
        NoticeState notices;
        Instant since;
    };

    std::map<std::string, std::vector<Kept>, std::less<>> mById; ///< by id
};

} // namespace Loom
