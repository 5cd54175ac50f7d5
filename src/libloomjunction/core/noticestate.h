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

/** Headers of an answer that tell whether its replica accepts further requests. */
struct ReplicaNotice
{
    bool isLeaving = false; ///< the replica shuts down and accepts no more requests
    std::optional<Microseconds> rest; ///< how long the replica wants no requests
    std::vector<std::string> unreadable; ///< headers with invalid values, as log text
};

/** Changes that a notice caused. */
struct NoticeChange
{
    bool hasStartedLeaving = false;
    bool isRestExtended = false;
};

/**
 * State of the notices that one incarnation of a replica sent this gateway in its answers.
 * Leaving is final, and a rest ends when its time is over. Nothing that other processes say
 * about the replica revokes either of them.
 */
class NoticeState
{
public:
    /** Applies the notice of an answer that arrived at @p now. */
    NoticeChange apply(const ReplicaNotice &notice, Instant now);

    bool isLeaving() const { return mIsLeaving; }
    bool isResting(Instant now) const { return mRestingUntil > now; }
    /** End of the rest that lasts longest; zero: no rest was asked for. */
    Instant restingUntil() const { return mRestingUntil; }
    /** Whether a notice forbids requests at @p now. */
    bool isActive(Instant now) const { return mIsLeaving || isResting(now); }

private:
    bool mIsLeaving = false;
    Instant mRestingUntil;
};

} // namespace Loom
