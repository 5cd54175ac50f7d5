/*
 * test_metrics.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "metrics.h"

using namespace Loom;

// Quantiles are estimated by markers that need some dozen values before they mean
// anything. Until then a distribution showed 0 for its first values and far too little
// afterwards: of 10, 20, ... 90 it gave 30, 50 and 70 as the quantiles 0.5, 0.95 and
// 0.99. What is rare, as a configuration's age is, was never shown rightly.
BOOST_AUTO_TEST_CASE(quantiles_of_few_values_are_those_of_the_values)
{
    Distribution distribution;
    distribution.add(10);
    for (const double probability : {0.5, 0.95, 0.99}) {
        BOOST_TEST(distribution.quantile(probability) == 10);
    }
    for (int value = 20; value <= 90; value += 10) {
        distribution.add(value);
    }
    BOOST_TEST(distribution.quantile(0.5) == 50);
    BOOST_TEST(distribution.quantile(0.95) == 90);
    BOOST_TEST(distribution.quantile(0.99) == 90);
}

BOOST_AUTO_TEST_CASE(quantiles_of_many_values_are_near_them)
{
    Distribution distribution;
    for (int i = 0; i < 10'000; ++i) {
        distribution.add(i * 7'919 % 10'000); // each once, in no order
    }
    BOOST_TEST(distribution.quantile(0.5) == 5'000, boost::test_tools::tolerance(0.05));
    BOOST_TEST(distribution.quantile(0.95) == 9'500, boost::test_tools::tolerance(0.05));
    BOOST_TEST(distribution.quantile(0.99) == 9'900, boost::test_tools::tolerance(0.05));
}
