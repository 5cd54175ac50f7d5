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

// The cost that the cheapest places reach together when they take @p requests.
double waterLevel(std::span<const WaterFillTarget> places,
                  std::span<const std::size_t> cheapestFirst, double requests)
{
    double requestsPerCost = 0; // requests that raise all filled places by one unit of cost
    double weighted = 0;
    double level = 0;
    for (std::size_t index = 0; index < cheapestFirst.size(); ++index) {
        const WaterFillTarget &place = places[cheapestFirst[index]];
        requestsPerCost += 1 / place.step;
        weighted += place.cost / place.step;
        level = (requests + weighted) / requestsPerCost;
        const bool isLast = index + 1 == cheapestFirst.size();
        if (isLast || level <= places[cheapestFirst[index + 1]].cost) {
            break;
        }
    }
    return level;
}

} // namespace

std::vector<double> waterFillShares(std::span<const WaterFillTarget> places, double requests)
{
    std::vector<std::size_t> order(places.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::sort(order, {}, [&](std::size_t index) { return places[index].cost; });
    const double level = waterLevel(places, order, requests);
    std::vector<double> shares(places.size());
    std::ranges::transform(places, shares.begin(), [&](const WaterFillTarget &place) {
        return std::max(0.0, (level - place.cost) / place.step);
    });
    return shares;
}

} // namespace Loom
