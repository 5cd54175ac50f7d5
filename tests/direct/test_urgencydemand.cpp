/*
 * test_urgencydemand.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "urgencydemand.h"

#include <cmath>

using namespace Loom;

namespace {

constexpr RequestRank sFirst{5, 0};
constexpr RequestRank sSecond{5, 1};
constexpr RequestRank sThird{5, 2};

void noteCalls(UrgencyDemand &demand, const RequestStanding &standing, int count, int fromMs)
{
    for (int call = 0; call < count; ++call) {
        demand.note(standing, at(fromMs + call));
    }
}

} // namespace

// Guards against an order by the route's priority alone.
BOOST_AUTO_TEST_CASE(accounts_priority_precedes_the_routes)
{
    BOOST_TEST((RequestRank{1, 9} < RequestRank{2, 0}));
    BOOST_TEST((RequestRank{1, 0} < RequestRank{1, 9}));
    BOOST_TEST((RequestRank{3, 7}.text()) == "3/7");
}

// Guards against calls over their share that overtake the next rank's, or yield to it.
BOOST_AUTO_TEST_CASE(calls_over_their_share_yield_to_their_own_rank_only)
{
    UrgencyDemand demand;
    noteCalls(demand, {sFirst, false}, 20, 0);
    noteCalls(demand, {sFirst, true}, 20, 20);
    noteCalls(demand, {sSecond, false}, 20, 40);
    BOOST_TEST(demand.split({sFirst, false}).moreUrgentFraction == 0);
    BOOST_TEST(demand.split({sFirst, false}).isMostUrgent);
    const double overShare = demand.split({sFirst, true}).moreUrgentFraction;
    const double second = demand.split({sSecond, false}).moreUrgentFraction;
    BOOST_TEST(std::abs(overShare - 1.0 / 3) < 0.05);
    BOOST_TEST(std::abs(second - 2.0 / 3) < 0.05);
    BOOST_TEST(!demand.split({sFirst, true}).isMostUrgent);
}

// Less urgent calls compete only as far as they are exempt from reserves.
BOOST_AUTO_TEST_CASE(less_urgent_calls_compete_by_their_exempt_part)
{
    UrgencyDemand demand;
    noteCalls(demand, {sFirst, false}, 50, 0);
    noteCalls(demand, {sThird, false}, 50, 50);
    const double expected = 0.5 + 0.5 * UrgencyDemand::sExemptFraction;
    BOOST_TEST(std::abs(demand.split({sFirst, false}).competingFraction - expected) < 0.03);
    BOOST_TEST(std::abs(demand.split({sThird, false}).competingFraction - 1) < 1e-9);
}

// Guards against reserves at a gateway that has just started, and without different ranks.
BOOST_AUTO_TEST_CASE(too_few_calls_or_a_single_rank_have_no_order)
{
    UrgencyDemand demand;
    noteCalls(demand, {sFirst, false}, 3, 0);
    noteCalls(demand, {sThird, false}, 3, 3);
    BOOST_TEST(demand.split({sThird, false}).isUniform);
    BOOST_TEST(demand.urgencyLevel(sThird) == UrgencyDemand::sDefaultLevel);
    UrgencyDemand single;
    noteCalls(single, {sThird, false}, 50, 0);
    BOOST_TEST(single.split({sThird, false}).isUniform);
    BOOST_TEST(single.split({sThird, false}).competingFraction == 1);
    BOOST_TEST(single.urgencyLevel(sThird) == UrgencyDemand::sDefaultLevel);
}

// Guards against a rank that stopped calling and still holds capacity back.
BOOST_AUTO_TEST_CASE(rank_that_stops_calling_is_forgotten_within_seconds)
{
    UrgencyDemand demand;
    noteCalls(demand, {sFirst, false}, 20, 0);
    for (int call = 0; call < 1'000; ++call) {
        demand.note({sSecond, false}, at(20 + call * 10));
    }
    BOOST_TEST(demand.split({sSecond, false}).isUniform);
    BOOST_TEST(demand.urgencyLevel(sSecond) == UrgencyDemand::sDefaultLevel);
}

BOOST_AUTO_TEST_CASE(levels_follow_the_order_of_the_ranks_that_call)
{
    UrgencyDemand demand;
    noteCalls(demand, {sFirst, false}, 20, 0);
    noteCalls(demand, {sSecond, true}, 20, 20);
    noteCalls(demand, {sThird, false}, 20, 40);
    BOOST_TEST(demand.urgencyLevel(sFirst) == 0);
    BOOST_TEST(demand.urgencyLevel(sSecond) == 1);
    BOOST_TEST(demand.urgencyLevel(sThird) == UrgencyDemand::sLevelCount - 1);
    BOOST_TEST(demand.urgencyLevel(RequestRank{9, 9}) == UrgencyDemand::sLevelCount - 1);
}

// The floor against starvation: which calls are exempt depends on their seeds only.
BOOST_AUTO_TEST_CASE(fixed_fraction_of_the_seeds_is_exempt)
{
    constexpr int count = 20'000;
    int exempt = 0;
    int moreUrgentExempt = 0;
    std::uint64_t seed = 1;
    for (int call = 0; call < count; ++call) {
        seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
        exempt += UrgencyDemand::isExempt(seed, UrgencyDemand::sLevelCount - 1) ? 1 : 0;
        moreUrgentExempt += UrgencyDemand::isExempt(seed, 1) ? 1 : 0;
    }
    BOOST_TEST(std::abs(exempt / static_cast<double>(count) - UrgencyDemand::sExemptFraction)
               < 0.02);
    // Guards against an order by goals among ranks that are served by their exempt calls only.
    BOOST_TEST(moreUrgentExempt > exempt + count * 0.04);
}
