/*
 * sizeshares.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "sizeband.h"

#include <compare>
#include <map>

namespace Loom {

/**
 * Shares of the places for requests of one service that large requests get, at one gateway.
 *
 * A place is capacity at a replica where a request of the mean size would meet its goal. While
 * requests are refused, each place is taken at once, and a large prompt rarely meets its goal at
 * one. So a group of large requests that has taken too few of the places offered to it takes the
 * next one even if its answer will be late.
 */
class SizeShares
{
public:
    /** Requests with the same goal and of about the same size, which fit into the same places. */
    struct Group
    {
        Milliseconds goal{0};
        SizeBand band = SizeBand::Unknown;

        auto operator<=>(const Group &) const = default;
    };

    /**
     * Whether a request of the group takes a place in spite of a late answer. @p admitted:
     * fraction of all attempts that get a place.
     */
    bool isDue(const Group &group, double admitted) const;
    /** A request of the group was offered a place, and took it or was refused. */
    void noteOffer(const Group &group, double admitted, bool isTaken);

    /**
     * Fraction of its places that a group has to take for its requests to be served nearly as
     * often as all, counting that each refused caller returns once.
     */
    static double requiredFraction(double admitted);

private:
    double credit(const Group &group) const;

    std::map<Group, double> mCredits; ///< places that each group is short of
};

} // namespace Loom
