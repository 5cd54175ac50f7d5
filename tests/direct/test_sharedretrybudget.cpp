/*
 * test_sharedretrybudget.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include <vector>

#include "fakelog.h"
#include "sharedretrybudget.h"

using namespace Loom;

namespace {

const RetryBounds sBounds{0.2, 100, Milliseconds(10'000)};

// Takes all available retries every 10 ms and returns their number.
int retriesTaken(std::vector<SharedRetryBudget> &gateways, int fromMs, int toMs,
                 int requestsPerStep)
{
    int taken = 0;
    for (int time = fromMs; time < toMs; time += 10) {
        for (SharedRetryBudget &gateway : gateways) {
            for (int request = 0; request < requestsPerStep; ++request) {
                gateway.noteRequest(at(time));
            }
            while (gateway.take(static_cast<std::uint32_t>(gateways.size()), at(time))) {
                ++taken;
            }
        }
    }
    return taken;
}

} // namespace

BOOST_AUTO_TEST_CASE(combined_retries_of_all_gateways_stay_within_the_bound)
{
    for (const int count : {1, 6, 42}) {
        std::vector<SharedRetryBudget> gateways(count, SharedRetryBudget(sBounds, at(0)));
        // A window of requests without retries fills the budget.
        for (int time = 50'000; time < 60'000; time += 10) {
            for (SharedRetryBudget &gateway : gateways) {
                gateway.noteRequest(at(time));
                gateway.noteRequest(at(time));
            }
        }
        const int requests = 2 * count * 1000;
        const int taken = retriesTaken(gateways, 60'000, 70'000, 2);
        BOOST_TEST(taken <= sBounds.ratio * requests + sBounds.extra);
        BOOST_TEST(taken > sBounds.ratio * requests / 2);
    }
}

BOOST_AUTO_TEST_CASE(new_process_starts_without_retries)
{
    SharedRetryBudget restarted(sBounds, at(0));
    BOOST_TEST(!restarted.take(6, at(0)));
    BOOST_TEST(!restarted.take(6, at(100)));
}

BOOST_AUTO_TEST_CASE(restarts_grant_no_second_share_within_a_window)
{
    // Six gateways spend all saved retries, restart twice, and spend all that is granted then.
    std::vector<SharedRetryBudget> first(6, SharedRetryBudget(sBounds, at(0)));
    int taken = retriesTaken(first, 60'000, 62'000, 0);
    std::vector<SharedRetryBudget> second(6, SharedRetryBudget(sBounds, at(62'000)));
    taken += retriesTaken(second, 62'000, 66'000, 0);
    std::vector<SharedRetryBudget> third(6, SharedRetryBudget(sBounds, at(66'000)));
    taken += retriesTaken(third, 66'000, 70'000, 0);
    BOOST_TEST(taken <= sBounds.extra);
}
