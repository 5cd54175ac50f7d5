/*
 * intransitcount.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>
#include <deque>

namespace Loom {

/**
 * Requests that gateways said they are sending to an engine and that its own
 * report cannot show yet. The load pattern it answers: under overload a place that
 * turns free is seen by every gateway that asks within the next milliseconds,
 * and all but one of their requests would wait a turn.
 */
class InTransitCount
{
public:
    /** A gateway is sending a request. */
    void note(Instant now);
    /** Those that a look at the engine at @p lookedAt does not show. */
    std::uint32_t notVisibleAt(Instant lookedAt);

private:
    std::deque<Instant> mSentTimes; ///< oldest first
};

} // namespace Loom
