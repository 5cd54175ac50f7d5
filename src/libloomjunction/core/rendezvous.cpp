/*
 * rendezvous.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "rendezvous.h"

#include <algorithm>
#include <numeric>

#include <xxhash.h>

namespace Loom {

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(node.data(), node.size(), seed);
}

std::vector<std::size_t> rendezvousOrder(std::string_view key, std::span<const std::string> nodes,
                                         std::size_t count)
{
    std::vector<std::uint64_t> weights;
    weights.reserve(nodes.size());
    for (const std::string &node : nodes) {
        weights.push_back(rendezvousWeight(key, node));
    }

    std::vector<std::size_t> order(nodes.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const std::size_t resultCount = std::min(count, order.size());
    const auto isHeavier = [&](std::size_t a, std::size_t b) {
        return weights[a] != weights[b] ? weights[a] > weights[b] : nodes[a] < nodes[b];
    };
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(resultCount),
                      order.end(), isHeavier);
    order.resize(resultCount);
    return order;
}

// Plain rendezvous hashing gives some nodes several times the equal share, and the keys of
// those nodes are finished last: of 64 chunks for 20 boxes, one box owned up to 7.
std::vector<std::size_t> evenOwners(std::span<const std::string> keys,
                                    std::span<const std::string> nodes)
{
    std::vector<std::size_t> owners;
    if (nodes.empty()) {
        return owners;
    }
    const std::size_t baseShare = keys.size() / nodes.size();
    std::vector<std::size_t> ownedCounts(nodes.size());
    owners.reserve(keys.size());
    for (const std::string &key : keys) {
        // Each of the remaining keys goes to a different node, beyond its base share.
        const std::size_t maxOwned
            = owners.size() < baseShare * nodes.size() ? baseShare : baseShare + 1;
        std::size_t best = nodes.size();
        std::uint64_t bestWeight = 0;
        for (std::size_t node = 0; node < nodes.size(); ++node) {
            const std::uint64_t weight = rendezvousWeight(key, nodes[node]);
            const bool isBetter = best == nodes.size() || weight > bestWeight;
            if (ownedCounts[node] < maxOwned && isBetter) {
                best = node;
                bestWeight = weight;
            }
        }
        ++ownedCounts[best];
        owners.push_back(best);
    }
    return owners;
}

} // namespace Loom
