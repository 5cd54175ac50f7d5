/*
 * test_evenowners.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "rendezvous.h"

#include <algorithm>

using namespace Loom;

namespace {

std::vector<std::string> names(const std::string &prefix, std::size_t count)
{
    std::vector<std::string> all;
    for (std::size_t index = 0; index < count; ++index) {
        all.push_back(prefix + std::to_string(index));
    }
    return all;
}

} // namespace

BOOST_AUTO_TEST_CASE(keys_are_distributed_evenly)
{
    const auto keys = names("digest#", 64);
    for (const std::size_t count : {1U, 5U, 20U, 64U, 76U}) {
        const auto nodes = names("box-", count);
        const auto owners = evenOwners(keys, nodes);
        BOOST_REQUIRE(owners.size() == keys.size());
        std::vector<std::size_t> owned(count);
        for (const std::size_t owner : owners) {
            ++owned[owner];
        }
        BOOST_TEST(*std::ranges::max_element(owned) - *std::ranges::min_element(owned) <= 1U);
    }
    BOOST_TEST(evenOwners(keys, {}).empty());
}

BOOST_AUTO_TEST_CASE(removing_a_node_reassigns_few_other_keys)
{
    const auto keys = names("digest#", 64);
    const auto nodes = names("box-", 20);
    const auto fewer = std::vector<std::string>(nodes.begin(), nodes.end() - 1);
    const auto before = evenOwners(keys, nodes);
    const auto after = evenOwners(keys, fewer);
    std::size_t moved = 0;
    for (std::size_t key = 0; key < keys.size(); ++key) {
        moved += before[key] != after[key] ? 1 : 0;
    }
    BOOST_TEST(moved < keys.size() / 2);
}
