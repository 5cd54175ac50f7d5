/*
 * test_cold.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

// All gateways together must send a cold replica at most half as much again as its rate, and
// five requests, in any second, or it crashes.

#include "limitlab.h"

#include <array>

#include <boost/test/unit_test.hpp>

using namespace Loom;

namespace {

constexpr int sSeeds = 3;
constexpr double sColdRate = 14;
constexpr double sMinUsed = 0.8;

struct ColdLoad
{
    std::string name;
    LimitLab::Shape shape;
};

// 20 replicas return together while others serve what they can, and callers want more than that.
LimitLab::Shape returning(std::size_t gateways)
{
    LimitLab::Shape shape;
    shape.gateways = gateways;
    shape.replicas = 45;
    shape.limitedShare = 20.0 / 45;
    shape.coldRate = sColdRate;
    shape.rate = sColdRate; // for the load: what the cold replicas take
    shape.load = 1.3;
    shape.sendDelayMs = 300;
    shape.seconds = 20;
    return shape;
}

// The warm replicas take all for a while, and then callers want three times as much.
LimitLab::Shape rush(std::size_t gateways)
{
    LimitLab::Shape shape = returning(gateways);
    shape.load = 0.5;
    shape.rush = 3;
    return shape;
}

LimitLab::Result worstOf(LimitLab::Shape shape)
{
    LimitLab::Result worst;
    worst.coldUsed = 1e9;
    for (int seed = 1; seed <= sSeeds; ++seed) {
        shape.seed = static_cast<std::uint64_t>(seed);
        const LimitLab::Result one = LimitLab(shape).play();
        worst.mostOfColdBound = std::max(worst.mostOfColdBound, one.mostOfColdBound);
        worst.coldUsed = std::min(worst.coldUsed, one.coldUsed);
        worst.asksPerGateway = std::max(worst.asksPerGateway, one.asksPerGateway);
    }
    return worst;
}

LimitLab::Result played(LimitWay way, const std::string &name, LimitLab::Shape shape)
{
    shape.way = way;
    const LimitLab::Result result = worstOf(shape);
    const std::string_view wayName = way == LimitWay::AgentPermits ? "agents"
        : way == LimitWay::HomePermits                             ? "homes"
                                                                   : "shares";
    BOOST_TEST_MESSAGE("cold, " << wayName << ", " << shape.gateways << " gateways, " << name
                                << ": of bound " << result.mostOfColdBound << ", used "
                                << result.coldUsed << ", asks " << result.asksPerGateway);
    return result;
}

constexpr std::array<std::size_t, 3> sGatewayCounts{9, 41, 149};

} // namespace

BOOST_AUTO_TEST_CASE(twenty_replicas_that_return_cold_together_get_their_rate_and_no_more)
{
    for (const std::size_t gateways : sGatewayCounts) {
        for (const LimitWay way : {LimitWay::AgentPermits, LimitWay::HomePermits}) {
            const LimitLab::Result result = played(way, "returning", returning(gateways));
            BOOST_TEST(result.mostOfColdBound <= 1);
            BOOST_TEST(result.coldUsed >= sMinUsed);
        }
    }
}

// The new gateways know no sends of the others, and the home of half of the replicas moves.
BOOST_AUTO_TEST_CASE(gateways_that_double_within_a_second_do_not_double_what_a_cold_replica_gets)
{
    for (const std::size_t gateways : sGatewayCounts) {
        LimitLab::Shape shape = returning(gateways);
        shape.joining = gateways;
        const LimitLab::Result agents = played(LimitWay::AgentPermits, "doubling", shape);
        BOOST_TEST(agents.mostOfColdBound <= 1);
        BOOST_TEST(agents.coldUsed >= sMinUsed);
        const LimitLab::Result homes = played(LimitWay::HomePermits, "doubling", shape);
        BOOST_TEST(homes.mostOfColdBound <= 1);
    }
}

// An owner that starts again must not grant once more what it granted just before it ended.
BOOST_AUTO_TEST_CASE(permit_owners_that_end_and_start_again_grant_nothing_twice)
{
    for (const std::size_t gateways : sGatewayCounts) {
        for (const int goneMs : {1, 400, 3'000}) {
            LimitLab::Shape shape = returning(gateways);
            shape.ownerGoneMs = goneMs;
            const LimitLab::Result result
                = played(LimitWay::AgentPermits, "owners gone " + std::to_string(goneMs), shape);
            BOOST_TEST(result.mostOfColdBound <= 1);
            BOOST_TEST(result.coldUsed >= sMinUsed);
        }
        LimitLab::Shape shape = returning(gateways);
        shape.ownerRestartMs = 100;
        const LimitLab::Result result = played(LimitWay::AgentPermits, "owners restarting", shape);
        BOOST_TEST(result.mostOfColdBound <= 1);
    }
}

BOOST_AUTO_TEST_CASE(a_third_of_the_gateways_that_is_cut_off_from_the_permit_owners_sends_nothing)
{
    for (const std::size_t gateways : sGatewayCounts) {
        LimitLab::Shape shape = returning(gateways);
        shape.cutShare = 0.34;
        const LimitLab::Result agents = played(LimitWay::AgentPermits, "a third cut off", shape);
        BOOST_TEST(agents.mostOfColdBound <= 1);
        BOOST_TEST(agents.coldUsed >= sMinUsed);
        // Replicas whose home is cut off get nothing, so that not all is used.
        const LimitLab::Result homes = played(LimitWay::HomePermits, "a third cut off", shape);
        BOOST_TEST(homes.mostOfColdBound <= 1);
    }
}

// With the burst of a named limit, sends that are delayed meet those of the next second.
BOOST_AUTO_TEST_CASE(sends_that_arrive_in_another_second_than_they_left_stay_within_the_bound)
{
    for (const double rate : {2.0, 14.0, 60.0}) {
        for (LimitLab::Shape shape : {returning(41), rush(41)}) {
            shape.coldRate = rate;
            shape.rate = rate;
            const LimitLab::Result result
                = played(LimitWay::AgentPermits, "delayed, " + std::to_string(rate), shape);
            BOOST_TEST(result.mostOfColdBound <= 1);
            BOOST_TEST((shape.rush > 1 || result.coldUsed >= sMinUsed));
        }
    }
}

// Permits that nobody used must not add up.
BOOST_AUTO_TEST_CASE(rush_after_a_quiet_time_stays_within_the_bound)
{
    for (const std::size_t gateways : sGatewayCounts) {
        for (const LimitWay way : {LimitWay::AgentPermits, LimitWay::HomePermits}) {
            BOOST_TEST(played(way, "rush", rush(gateways)).mostOfColdBound <= 1);
        }
    }
}

// A share of the rate for each gateway by the number of gateways that it knows, for the record.
BOOST_AUTO_TEST_CASE(shares_by_the_number_of_gateways_exceed_the_bound_of_cold_replicas)
{
    for (const std::size_t gateways : sGatewayCounts) {
        played(LimitWay::EqualShares, "returning", returning(gateways));
        LimitLab::Shape doubling = returning(gateways);
        doubling.joining = gateways;
        played(LimitWay::EqualShares, "doubling", doubling);
        // A share of less than one request is a whole request, and all shares are used at once.
        const LimitLab::Result result = played(LimitWay::EqualShares, "rush", rush(gateways));
        BOOST_TEST((gateways == sGatewayCounts.front() || result.mostOfColdBound > 1));
    }
}
