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
 * Queries to another process on one ordered stream, each of which gets one answer.
 * Whatever the peer sends after it received a query is newer than the time at which
 * the query was sent, by this process's own clock. This bounds the age of messages
 * without synchronized clocks.
 */
class PendingQueries
{
public:
    /** @p opened: when the first query, which opens the stream, was sent. */
    explicit PendingQueries(Instant opened)
        : mUnanswered{opened}
        , mLastAnsweredSentAt(opened)
    {
    }

    /** Notes a query that is sent at @p now. */
    void ask(Instant now) { mUnanswered.push_back(now); }
    /** Notes an answer and returns the earliest time it can be from; empty: no query is open. */
    std::optional<Instant> answered();
    /** Earliest time that an unsolicited message after the last answer can be from. */
    Instant heard() const { return mLastAnsweredSentAt; }

private:
    std::deque<Instant> mUnanswered; ///< send times of the open queries
    Instant mLastAnsweredSentAt; ///< send time of the last query that the peer has received
};

} // namespace Loom
