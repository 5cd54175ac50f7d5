/*
 * noticestate.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Loom {

/** What an answer says of whether its replica takes further requests of this gateway. */
struct ReplicaNotice
{
    bool isLeaving = false; ///< it ends soon and takes nothing more
    std::optional<Microseconds> rest; ///< it takes nothing for so long
    std::vector<std::string> unreadable; ///< headers that say something else, with their values
};

/** What a notice changed. */
struct NoticeChange
{
    bool hasStartedLeaving = false;
    bool isRestExtended = false;
};

/**
 * What one life of a replica told this gateway in its answers. Leaving is final; a rest ends
 * by its time. Nothing that others say of the replica takes either back.
 */
class NoticeState
{
public:
    /** An answer that came @p now. */
    NoticeChange hear(const ReplicaNotice &notice, Instant now);

    bool isLeaving() const { return mIsLeaving; }
    bool isResting(Instant now) const { return mRestingUntil > now; }
    /** End of the longest rest that was asked for; zero: none was. */
    Instant restingUntil() const { return mRestingUntil; }
    /** Whether it holds anything back at @p now. */
    bool isActive(Instant now) const { return mIsLeaving || isResting(now); }

private:
    bool mIsLeaving = false;
    Instant mRestingUntil;
};

} // namespace Loom
