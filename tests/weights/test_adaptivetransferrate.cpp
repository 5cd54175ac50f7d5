/*
 * test_adaptivetransferrate.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "adaptivetransferrate.h"
#include "fakelog.h"

using namespace Loom;

BOOST_AUTO_TEST_CASE(the_rate_falls_with_rising_latency_and_recovers)
{
    AdaptiveTransferRate rate(1'000'000);
    for (int i = 0; i < 100; ++i) {
        rate.addLatency(Milliseconds(10), false);
    }
    BOOST_TEST(rate.rate(at(1'000)) == 1'000'000);
    for (int i = 0; i < 100; ++i) {
        rate.addLatency(Milliseconds(40), true);
    }
    for (int step = 0; step < 20; ++step) {
        rate.rate(at(2'000 + step * 200));
    }
    // The rate keeps a lower bound, because a rollout under load would never end otherwise.
    BOOST_TEST(rate.rate(at(7'000)) == 1'000'000 * AdaptiveTransferRate::sMinRateFraction,
               boost::test_tools::tolerance(1e-9));
    for (int i = 0; i < 100; ++i) {
        rate.addLatency(Milliseconds(10), true);
    }
    for (int step = 0; step < 40; ++step) {
        rate.rate(at(8'000 + step * 200));
    }
    BOOST_TEST(rate.rate(at(20'000)) == 1'000'000);
}

BOOST_AUTO_TEST_CASE(the_full_rate_applies_without_live_requests)
{
    AdaptiveTransferRate rate(5'000);
    for (int step = 0; step < 20; ++step) {
        BOOST_TEST(rate.rate(at(step * 200)) == 5'000);
    }
}
