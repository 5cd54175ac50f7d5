/*
 * pendingqueries.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "pendingqueries.h"

namespace Loom {

std::optional<Instant> PendingQueries::answered()
{
    if (mUnanswered.empty()) {
        return std::nullopt;
    }
    mLastAnsweredSentAt = mUnanswered.front();
    mUnanswered.pop_front();
    return mLastAnsweredSentAt;
}

} // namespace Loom
