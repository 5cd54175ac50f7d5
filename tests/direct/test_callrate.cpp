/*
 * test_callrate.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "callrate.h"
#include "fakelog.h"

using namespace Loom;

BOOST_AUTO_TEST_CASE(steady_rate_is_measured_and_decays_within_seconds)
{
    CallRate rate;
    for (int call = 0; call < 500; ++call) {
        rate.note(Milliseconds(400), at(call * 10));
    }
    BOOST_TEST(rate.perMs(at(5'000)) == 0.1, boost::test_tools::tolerance(0.05));
    BOOST_TEST(rate.perMs(at(15'000)) < 0.001);
}

BOOST_AUTO_TEST_CASE(shortest_goal_ignores_goals_of_few_calls)
{
    CallRate rate;
    BOOST_TEST((rate.shortestGoal() == Milliseconds::max()));
    for (int call = 0; call < 400; ++call) {
        rate.note(Milliseconds(call % 100 == 0 ? 50 : 400), at(call));
    }
    BOOST_TEST((rate.shortestGoal() == Milliseconds(400)));
    for (int call = 400; call < 600; ++call) {
        rate.note(Milliseconds(call % 4 == 0 ? 300 : 400), at(call));
    }
    BOOST_TEST((rate.shortestGoal() == Milliseconds(300)));
    // Goals of routes without recent calls are ignored.
    for (int call = 0; call < 400; ++call) {
        rate.note(Milliseconds(400), at(20'000 + call));
    }
    BOOST_TEST((rate.shortestGoal() == Milliseconds(400)));
}
