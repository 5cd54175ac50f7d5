/*
 * test_waterfill.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "waterfill.h"

#include <numeric>

using namespace Loom;

BOOST_AUTO_TEST_CASE(targets_that_get_requests_end_at_equal_cost)
{
    const std::vector<WaterFillTarget> targets{{100, 50}, {300, 50}, {120, 25}, {900, 10}};
    const std::vector<double> shares = waterFillShares(targets, 8);
    BOOST_TEST(std::accumulate(shares.begin(), shares.end(), 0.0) == 8,
               boost::test_tools::tolerance(1e-9));
    const double level = 100 + shares[0] * 50;
    BOOST_TEST(120 + shares[2] * 25 == level, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(shares[1] == 0);
    BOOST_TEST(shares[3] == 0);
    BOOST_TEST(level <= 300);
}

BOOST_AUTO_TEST_CASE(few_requests_go_to_the_cheapest_target_and_many_to_all)
{
    const std::vector<WaterFillTarget> targets{{10, 10}, {20, 10}, {30, 10}};
    const std::vector<double> few = waterFillShares(targets, 0.5);
    BOOST_TEST(few[0] == 0.5, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(few[1] + few[2] == 0);
    const std::vector<double> many = waterFillShares(targets, 300);
    BOOST_TEST(many[0] == 101, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(many[2] == 99, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(no_targets_yield_no_shares)
{
    BOOST_TEST(waterFillShares({}, 5).empty());
}
