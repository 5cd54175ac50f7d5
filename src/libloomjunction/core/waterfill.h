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

/** A place where requests can go. Both in the same unit, e.g. milliseconds. */
struct WaterFillTarget
{
    double cost = 0; ///< of the next request there
    double step = 1; ///< by which each request raises the cost; above zero
};

/**
 * How many of the next @p requests each place should get so that those that
 * get any end at the same cost. The sum is @p requests; fractions are meant as
 * probabilities.
 */
std::vector<double> waterFillShares(std::span<const WaterFillTarget> places, double requests);

} // namespace Loom
