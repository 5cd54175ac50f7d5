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
 * Counts the requests that gateways announced for an engine and that the engine's own
 * report cannot include yet. Without it, every gateway that probes within the next
 * milliseconds under overload sees the same freed slot, and all but one of their
 * requests have to wait for another completion.
 */
class InTransitCount
{
public:
    /** Notes that a gateway announced a request at @p now. */
    void note(Instant now);
    /** Number of requests that a report taken at @p reportedAt does not include. */
    std::uint32_t notVisibleAt(Instant reportedAt);

private:
    std::deque<Instant> mSentTimes; ///< oldest first
};

} // namespace Loom
