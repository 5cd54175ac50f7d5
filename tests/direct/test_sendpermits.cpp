/*
 * test_sendpermits.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "sendpermits.h"

#include <algorithm>
#include <vector>

using namespace Loom;

namespace {

Instant at(int ms)
{
    return Instant(Milliseconds(10'000 + ms));
}

// Tries to take a permit every @p intervalMs; returns the times of the granted ones.
std::vector<int> grantedTimes(SendPermits &permits, int fromMs, int toMs, int intervalMs)
{
    std::vector<int> granted;
    for (int ms = fromMs; ms < toMs; ms += intervalMs) {
        if (permits.take(at(ms))) {
            granted.push_back(ms);
        }
    }
    return granted;
}

} // namespace

BOOST_AUTO_TEST_CASE(no_window_exceeds_the_limit_plus_the_burst)
{
    for (const double rate : {0.3, 2.3, 10.0, 50.0}) {
        SendPermits permits;
        permits.setRate(rate, at(0));
        // A period without requests accumulates permits, then demand exceeds the limit.
        const std::vector<int> granted = grantedTimes(permits, 8'000, 28'000, 3);
        const double window = std::chrono::duration<double>(sSendWindow).count();
        for (const int end : granted) {
            const auto count = std::ranges::count_if(
                granted, [&](int ms) { return ms > end - sSendWindow.count() && ms <= end; });
            BOOST_TEST(static_cast<double>(count) <= rate * window + rate * 0.5 + 1 + 1e-6);
        }
        BOOST_TEST(static_cast<double>(granted.size()) >= rate * 20 * 0.95 - 1);
    }
}

BOOST_AUTO_TEST_CASE(new_permit_owner_starts_without_tokens)
{
    SendPermits permits;
    permits.setRate(2, at(0));
    BOOST_TEST(!permits.take(at(0)));
    BOOST_TEST(!permits.take(at(490)));
    BOOST_TEST(permits.take(at(500)));
}

BOOST_AUTO_TEST_CASE(sends_before_the_limit_was_set_count)
{
    SendPermits permits;
    for (int ms = -4'000; ms < 0; ms += 100) {
        permits.noteSend(at(ms));
    }
    permits.setRate(2, at(0));
    // A window allows eleven sends: eight by the limit, a quarter more, and one. The first
    // permit is therefore granted once all but ten of the earlier sends have left it.
    const std::vector<int> granted = grantedTimes(permits, 0, 6'000, 10);
    BOOST_TEST(granted.front() >= 2'900);
    BOOST_TEST(granted.size() >= 6U);
}

BOOST_AUTO_TEST_CASE(wait_is_the_time_until_the_next_permit)
{
    SendPermits permits;
    permits.setRate(4, at(0));
    BOOST_TEST(permits.wait(at(0)).count() == 250'000);
    BOOST_TEST(permits.take(at(250)));
    BOOST_TEST(permits.wait(at(300)).count() == 200'000);
}

BOOST_AUTO_TEST_CASE(rate_changes_take_effect_immediately)
{
    SendPermits permits;
    permits.setRate(50, at(0));
    grantedTimes(permits, 0, 4'000, 2);
    permits.setRate(2, at(4'000));
    BOOST_TEST(grantedTimes(permits, 4'000, 6'000, 2).size() == 0U);
    permits.setRate(50, at(6'000));
    BOOST_TEST(grantedTimes(permits, 6'000, 7'000, 2).size() >= 45U);
}

BOOST_AUTO_TEST_CASE(replica_with_zero_rate_is_still_probed)
{
    SendPermits permits;
    permits.setRate(0, at(0));
    const std::size_t granted = grantedTimes(permits, 0, 20'000, 10).size();
    BOOST_TEST(granted >= 1U);
    BOOST_TEST(granted <= 5U);
}
