/*
 * concurrencylimit.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>
#include <optional>

namespace Loom {

/**
 * Limit on the requests at a replica, learned from the rests that it asks for. A refused
 * request costs the gateway the replica for the whole rest, so it pays to send fewer
 * requests than the replica might accept. A limit of at least half the slots applies to
 * the requests of all gateways, a lower one to those of this gateway.
 */
class ConcurrencyLimit
{
public:
    /** The replica asked for a rest at @p requests requests, without the refused one. */
    void lower(double requests, std::uint32_t slots, Instant now);
    /** The replica answered a request successfully. */
    void noteAnswer();
    /** The current limit; empty: none is known. */
    std::optional<double> limit(Instant now) const;
    /** Whether the limit applies to the requests of all gateways. */
    bool appliesToAllGateways() const { return 2 * mLimit >= mSlots; }

private:
    double mLimit = 0; ///< zero: unknown
    double mSlots = 0;
    Instant mLoweredAt;
};

} // namespace Loom
