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
 * How many requests a replica may hold, as far as the rests tell that it asked for. Being
 * turned away costs the replica for the whole rest, so that it pays to send less than it might
 * take.
 */
class ConcurrencyLimit
{
public:
    /** It asked for rest while it held @p held requests, the refused one not counted. */
    void lower(double held, std::uint32_t slots, Instant now);
    /** It gave a good answer. */
    void noteAnswer();
    /** The most that it may hold; nothing: not known to be less than it seems to take. */
    std::optional<double> most(Instant now) const;

private:
    bool isFull() const { return 2 * mLimit >= mSlots; }

    double mLimit = 0; ///< zero: unknown
    double mSlots = 0;
    Instant mLoweredAt;
};

} // namespace Loom
