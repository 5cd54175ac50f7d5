/*
 * waterfill.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "waterfill.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace Loom {

namespace {

// Returns the common cost that the cheapest targets reach when they take all requests.
double waterLevel(std::span<const WaterFillTarget> targets,
                  std::span<const std::size_t> cheapestFirst, double requests)
{
    double requestsPerCost = 0; // requests that raise all filled targets by one unit of cost
    double weightedCost = 0;
    double level = 0;
    for (std::size_t index = 0; index < cheapestFirst.size(); ++index) {
        const WaterFillTarget &target = targets[cheapestFirst[index]];
        requestsPerCost += 1 / target.costPerRequest;
        weightedCost += target.cost / target.costPerRequest;
        level = (requests + weightedCost) / requestsPerCost;
        const bool isLast = index + 1 == cheapestFirst.size();
        if (isLast || level <= targets[cheapestFirst[index + 1]].cost) {
            break;
        }
    }
    return level;
}

} // namespace

std::vector<double> waterFillShares(std::span<const WaterFillTarget> targets, double requests)
{
    std::vector<std::size_t> order(targets.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::sort(order, {}, [&](std::size_t index) { return targets[index].cost; });
    const double level = waterLevel(targets, order, requests);
    std::vector<double> shares(targets.size());
    std::ranges::transform(targets, shares.begin(), [&](const WaterFillTarget &target) {
        return std::max(0.0, (level - target.cost) / target.costPerRequest);
    });
    return shares;
}

} // namespace Loom
