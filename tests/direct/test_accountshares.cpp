/*
 * test_accountshares.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "accountshares.h"
#include "fakelog.h"

#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

using namespace Loom;

namespace {

struct Demand
{
    std::string account;
    double work = 0;
    double admittedFraction = 0;
};

/** Each account asks every 10 ms for its work until @p endMs. */
AccountShares sharesAfter(const std::vector<Demand> &demands, int endMs)
{
    AccountShares shares;
    for (int time = 0; time < endMs; time += 10) {
        for (const Demand &demand : demands) {
            shares.noteAsked(demand.account, demand.work, at(time));
            shares.noteAdmitted(demand.account, demand.work * demand.admittedFraction, at(time));
        }
    }
    shares.noteAsked("a", 0, at(endMs + 100)); // computes the shares
    return shares;
}

} // namespace

// Guards against a limit on a heavy account whose work nobody else wants to displace.
BOOST_AUTO_TEST_CASE(no_account_is_over_its_share_while_all_work_is_admitted)
{
    const AccountShares shares = sharesAfter({{"a", 90, 1}, {"b", 5, 1}, {"c", 5, 1}}, 5'000);
    for (const auto *account : {"a", "b", "c", "unknown"}) {
        BOOST_TEST(shares.overShareFraction(account) == 0);
    }
}

// Guards against an account that competes with itself: its calls would be split by chance.
BOOST_AUTO_TEST_CASE(single_account_has_no_share)
{
    const AccountShares shares = sharesAfter({{"a", 90, 0.5}}, 5'000);
    BOOST_TEST(shares.overShareFraction("a") == 0);
}

// Of 100 units asked for, 60 are admitted: 20 each for "b" and "c", which ask for no more, and
// the remaining 20 for "a".
BOOST_AUTO_TEST_CASE(heavy_account_is_over_its_max_min_share_and_others_are_not)
{
    const AccountShares shares
        = sharesAfter({{"a", 60, 0.6}, {"b", 20, 0.6}, {"c", 20, 0.6}}, 5'000);
    BOOST_TEST(shares.overShareFraction("a") > 0.9);
    BOOST_TEST(shares.overShareFraction("b") < 0.1);
    BOOST_TEST(shares.overShareFraction("c") < 0.1);
}

// Guards against callers that repeat refused calls and thereby ask for a larger share: "a" and
// "b" cause the same work, but "a" asks for it three times and got more of it.
BOOST_AUTO_TEST_CASE(repeats_of_refused_calls_do_not_raise_the_share)
{
    const AccountShares shares = sharesAfter({{"a", 150, 0.25}, {"b", 50, 0.45}}, 5'000);
    BOOST_TEST(shares.overShareFraction("a") > shares.overShareFraction("b") + 0.5);
}

// Guards against shares from a handful of calls at a gateway that has just started.
BOOST_AUTO_TEST_CASE(shares_are_unknown_after_a_start)
{
    const AccountShares shares = sharesAfter({{"a", 90, 0.2}, {"b", 10, 0.2}}, 50);
    BOOST_TEST(shares.overShareFraction("a") == 0);
}

BOOST_AUTO_TEST_CASE(account_that_stops_calling_is_forgotten)
{
    AccountShares shares = sharesAfter({{"a", 50, 0.5}, {"b", 50, 0.5}}, 2'000);
    for (int time = 2'000; time < 60'000; time += 10) {
        shares.noteAsked("b", 50, at(time));
        shares.noteAdmitted("b", 25, at(time));
    }
    BOOST_TEST(shares.overShareFraction("b") == 0); // it is the only account
}

// The part of the calls that is over the share is selected by their seeds.
BOOST_AUTO_TEST_CASE(calls_over_the_share_are_selected_by_seed)
{
    const AccountShares shares = sharesAfter({{"a", 50, 0.5}, {"b", 50, 0.5}, {"c", 2, 1}}, 5'000);
    const double expected = shares.overShareFraction("a");
    BOOST_TEST(expected > 0.2);
    BOOST_TEST(expected < 0.8);
    constexpr int count = 20'000;
    int over = 0;
    std::uint64_t seed = 1;
    for (int call = 0; call < count; ++call) {
        seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
        over += shares.isOverShare("a", seed) ? 1 : 0;
    }
    BOOST_TEST(std::abs(over / static_cast<double>(count) - expected) < 0.02);
}
