/*
 * test_callerwaitestimator.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "callerwaitestimator.h"

#include <random>

using namespace Loom;

namespace {

constexpr double sNoneRefused = 0;

} // namespace

// Guards against taking first tries for retries. Callers of one deployment start with 0.85
// to 1.0 of the longest timeout. Compared with the longest one alone, nearly all of them
// seemed to have waited already, and were served last:
//   call deadlineMs=5412 waitedBeforeMs=584 patient=true late="came back late" firstMs=160
BOOST_AUTO_TEST_CASE(first_tries_with_varying_timeouts_count_as_not_waited)
{
    CallerWaitEstimator estimator;
    std::mt19937 random(1);
    std::uniform_int_distribution<int> time(5'100, 6'000);
    for (int call = 0; call < 200; ++call) {
        estimator.note("r", Milliseconds(time(random)), sNoneRefused);
    }
    int misjudged = 0;
    for (int call = 0; call < 1'000; ++call) {
        misjudged += estimator.waitedBefore("r", Milliseconds(time(random))).count() > 0 ? 1 : 0;
    }
    BOOST_TEST(misjudged < 30);
}

BOOST_AUTO_TEST_CASE(less_time_left_than_first_tries_means_a_retry)
{
    CallerWaitEstimator estimator;
    std::mt19937 random(1);
    std::uniform_int_distribution<int> time(5'100, 6'000);
    for (int call = 0; call < 200; ++call) {
        estimator.note("r", Milliseconds(time(random)), sNoneRefused);
    }
    // The mean initial timeout is 5,550 ms.
    const auto waitedBefore = estimator.waitedBefore("r", Milliseconds(4'550));
    BOOST_TEST(waitedBefore.count() > 900);
    BOOST_TEST(waitedBefore.count() < 1'100);
}

BOOST_AUTO_TEST_CASE(identical_initial_times_give_the_exact_wait)
{
    CallerWaitEstimator estimator;
    for (int call = 0; call < 100; ++call) {
        estimator.note("r", Milliseconds(6'000), sNoneRefused);
        estimator.note("short", Milliseconds(1'500), sNoneRefused);
    }
    BOOST_TEST(estimator.waitedBefore("r", Milliseconds(6'000)).count() == 0);
    BOOST_TEST(estimator.waitedBefore("r", Milliseconds(5'800)).count() == 200);
    BOOST_TEST(estimator.waitedBefore("short", Milliseconds(1'400)).count() == 100);
}

// Under overload a third of the requests are retries.
BOOST_AUTO_TEST_CASE(retries_are_not_mistaken_for_first_tries)
{
    CallerWaitEstimator estimator;
    std::mt19937 random(1);
    std::uniform_int_distribution<int> elapsed(40, 200);
    for (int call = 0; call < 400; ++call) {
        estimator.note("r", Milliseconds(6'000), 0.5);
        estimator.note("r", Milliseconds(6'000), 0.5);
        estimator.note("r", Milliseconds(6'000 - elapsed(random)), 0.5);
    }
    BOOST_TEST(estimator.waitedBefore("r", Milliseconds(5'850)).count() == 150);
    BOOST_TEST(estimator.waitedBefore("r", Milliseconds(6'000)).count() == 0);
}

BOOST_AUTO_TEST_CASE(too_few_samples_give_no_wait)
{
    CallerWaitEstimator estimator;
    estimator.note("r", Milliseconds(6'000), sNoneRefused);
    BOOST_TEST(estimator.waitedBefore("r", Milliseconds(5'000)).count() == 0);
    BOOST_TEST(estimator.waitedBefore("other", Milliseconds(5'000)).count() == 0);
}
