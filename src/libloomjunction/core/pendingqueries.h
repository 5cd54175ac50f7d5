/*
 * pendingqueries.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <deque>
#include <optional>

namespace Loom {

/**
 * Questions to another process on one ordered stream, each of which gets one answer.
 * Whatever the other says after it heard a question was said after the question was
 * sent, by this process's own clock: no clock in common is needed.
 */
class PendingQueries
{
public:
    /** @p opened: when the first question, which opens the stream, was sent. */
    explicit PendingQueries(Instant opened)
        : mUnanswered{opened}
        , mLastAnsweredSentAt(opened)
    {
    }

    /** A question leaves @p now. */
    void ask(Instant now) { mUnanswered.push_back(now); }
    /** An answer came: it was said no earlier than this; nothing: nobody asked. */
    std::optional<Instant> answered();
    /** Whatever came unasked after the last answer was said no earlier than this. */
    Instant heard() const { return mLastAnsweredSentAt; }

private:
    std::deque<Instant> mUnanswered; ///< when each was sent
    Instant mLastAnsweredSentAt; ///< when the last was sent that the other is known to have heard
};

} // namespace Loom
