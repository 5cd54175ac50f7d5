/*
 * test_callerpatience.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "callerpatience.h"

#include <random>

using namespace Loom;

namespace {

constexpr double sNobody = 0;

} // namespace

// Callers of one deployment begin with 0.85 to 1.0 of the longest time. Told by the
// longest one alone, nearly all of them seemed to come back late, and were served last:
//   call deadlineMs=5412 waitedBeforeMs=584 patient=true late="came back late" firstMs=160
BOOST_AUTO_TEST_CASE(first_tries_with_different_times_have_not_waited)
{
    CallerPatience patience;
    std::mt19937 random(1);
    std::uniform_int_distribution<int> time(5'100, 6'000);
    for (int call = 0; call < 200; ++call) {
        patience.note("r", Milliseconds(time(random)), sNobody);
    }
    int misjudged = 0;
    for (int call = 0; call < 1'000; ++call) {
        misjudged += patience.waited("r", Milliseconds(time(random))).count() > 0 ? 1 : 0;
    }
    BOOST_TEST(misjudged < 30);
}

BOOST_AUTO_TEST_CASE(a_try_with_less_time_than_first_ones_have_is_a_later_one)
{
    CallerPatience patience;
    std::mt19937 random(1);
    std::uniform_int_distribution<int> time(5'100, 6'000);
    for (int call = 0; call < 200; ++call) {
        patience.note("r", Milliseconds(time(random)), sNobody);
    }
    // It began with 5,550 ms on average.
    const auto waited = patience.waited("r", Milliseconds(4'550));
    BOOST_TEST(waited.count() > 900);
    BOOST_TEST(waited.count() < 1'100);
}

BOOST_AUTO_TEST_CASE(where_all_begin_with_the_same_time_the_rest_tells_the_wait)
{
    CallerPatience patience;
    for (int call = 0; call < 100; ++call) {
        patience.note("r", Milliseconds(6'000), sNobody);
        patience.note("short", Milliseconds(1'500), sNobody);
    }
    BOOST_TEST(patience.waited("r", Milliseconds(6'000)).count() == 0);
    BOOST_TEST(patience.waited("r", Milliseconds(5'800)).count() == 200);
    BOOST_TEST(patience.waited("short", Milliseconds(1'400)).count() == 100);
}

// Under overload a third of the requests are second tries.
BOOST_AUTO_TEST_CASE(later_tries_among_the_requests_do_not_count_as_first_ones)
{
    CallerPatience patience;
    std::mt19937 random(1);
    std::uniform_int_distribution<int> since(40, 200);
    for (int call = 0; call < 400; ++call) {
        patience.note("r", Milliseconds(6'000), 0.5);
        patience.note("r", Milliseconds(6'000), 0.5);
        patience.note("r", Milliseconds(6'000 - since(random)), 0.5);
    }
    BOOST_TEST(patience.waited("r", Milliseconds(5'850)).count() == 150);
    BOOST_TEST(patience.waited("r", Milliseconds(6'000)).count() == 0);
}

BOOST_AUTO_TEST_CASE(before_anything_is_known_nobody_has_waited)
{
    CallerPatience patience;
    patience.note("r", Milliseconds(6'000), sNobody);
    BOOST_TEST(patience.waited("r", Milliseconds(5'000)).count() == 0);
    BOOST_TEST(patience.waited("other", Milliseconds(5'000)).count() == 0);
}
