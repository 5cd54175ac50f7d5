/*
 * levelling.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "levelling.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace Loom {

namespace {

// The cost that the cheapest places reach together when they take @p requests.
double levelOf(std::span<const LevelledPlace> places, std::span<const std::size_t> cheapestFirst,
               double requests)
{
    double perCost = 0; // requests that raise all filled places by one unit of cost
    double weighted = 0;
    double level = 0;
    for (std::size_t index = 0; index < cheapestFirst.size(); ++index) {
        const LevelledPlace &place = places[cheapestFirst[index]];
        perCost += 1 / place.step;
        weighted += place.cost / place.step;
        level = (requests + weighted) / perCost;
        const bool isLast = index + 1 == cheapestFirst.size();
        if (isLast || level <= places[cheapestFirst[index + 1]].cost) {
            break;
        }
    }
    return level;
}

} // namespace

std::vector<double> levelShares(std::span<const LevelledPlace> places, double requests)
{
    std::vector<std::size_t> order(places.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::sort(order, {}, [&](std::size_t index) { return places[index].cost; });
    const double level = levelOf(places, order, requests);
    std::vector<double> shares(places.size());
    std::ranges::transform(places, shares.begin(), [&](const LevelledPlace &place) {
        return std::max(0.0, (level - place.cost) / place.step);
    });
    return shares;
}

} // namespace Loom
