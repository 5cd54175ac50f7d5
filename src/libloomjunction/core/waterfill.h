/*
 * waterfill.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <span>
#include <vector>

namespace Loom {

/** A target for requests. Both fields have the same unit, e.g. milliseconds. */
struct WaterFillTarget
{
    double cost = 0; ///< cost of the next request
    double costPerRequest = 1; ///< increase of the cost by each request; above zero
};

/**
 * Distributes @p requests over @p targets by water-filling: all targets that get any
 * end at the same cost. The shares add up to @p requests; a fractional share is a
 * probability.
 */
std::vector<double> waterFillShares(std::span<const WaterFillTarget> targets, double requests);

} // namespace Loom
