/*
 * test_memberplan.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "memberplan.h"

#include <algorithm>
#include <map>

using namespace Loom;

namespace {

/** So many gateways and agents, spread over data centres; the first gateway is "g0". */
std::vector<MemberPlace> fleet(std::size_t gateways, std::size_t agents, std::size_t dataCentres)
{
    std::vector<MemberPlace> places;
    for (std::size_t index = 0; index < gateways; ++index) {
        places.push_back(
            {"g" + std::to_string(index), "z" + std::to_string(index % dataCentres), true});
    }
    for (std::size_t index = 0; index < agents; ++index) {
        places.push_back(
            {"s" + std::to_string(index), "z" + std::to_string(index % dataCentres), false});
    }
    return places;
}

std::vector<MemberPlace> without(std::vector<MemberPlace> places, const std::string &key)
{
    std::erase_if(places, [&](const MemberPlace &place) { return place.key == key; });
    return places;
}

MemberPlace self(const std::vector<MemberPlace> &places, const std::string &key)
{
    return *std::ranges::find(places, key, &MemberPlace::key);
}

} // namespace

BOOST_AUTO_TEST_CASE(what_a_gateway_follows_does_not_grow_with_the_fleet)
{
    for (const auto &[gateways, agents, zones] :
         {std::tuple{6U, 12U, 3U}, {34U, 45U, 3U}, {149U, 120U, 5U}, {320U, 1'800U, 13U}}) {
        const auto places = fleet(gateways, agents, zones);
        const auto others = without(places, "g0");
        const MemberPlan plan(self(places, "g0"), others);
        const auto followed = plan.gatewaysToFollow();
        BOOST_TEST(followed.size() == std::min<std::size_t>(gateways - 1, 16));
        const auto near = std::ranges::count_if(
            followed, [&](const std::string &key) { return self(places, key).dataCentre == "z0"; });
        if (gateways / zones > 20) {
            BOOST_TEST(near >= 9); // of twelve, three may be readers that stand elsewhere
        }
        BOOST_TEST(followed.size() - static_cast<std::size_t>(near) >= 3U);
    }
}

BOOST_AUTO_TEST_CASE(every_gateway_knows_whether_the_next_readers_live)
{
    const auto places = fleet(149, 120, 5);
    std::vector<std::string> expected;
    for (std::size_t index = 0; index < 149; ++index) {
        const std::string key = "g" + std::to_string(index);
        const auto others = without(places, key);
        const MemberPlan plan(self(places, key), others);
        const auto order = plan.readerOrder(ReaderScope::Everywhere);
        if (expected.empty()) {
            expected = order;
        }
        BOOST_TEST(order == expected, boost::test_tools::per_element());
        const auto followed = plan.gatewaysToFollow();
        for (std::size_t turn = 0; turn < 2; ++turn) {
            BOOST_TEST((order[turn] == key || followed.contains(order[turn])));
            const auto near = plan.readerOrder(ReaderScope::DataCentre);
            BOOST_TEST((near[turn] == key || followed.contains(near[turn])));
        }
    }
}

BOOST_AUTO_TEST_CASE(every_agent_is_watched_by_three_gateways_wherever_it_stands)
{
    auto places = fleet(149, 120, 5);
    places.push_back({"lonely", "elsewhere", false});
    std::map<std::string, int> watchers;
    std::size_t most = 0;
    for (std::size_t index = 0; index < 149; ++index) {
        const std::string key = "g" + std::to_string(index);
        const auto others = without(places, key);
        const auto watched = MemberPlan(self(places, key), others).stagersToWatch();
        most = std::max(most, watched.size());
        for (const std::string &agent : watched) {
            ++watchers[agent];
        }
    }
    BOOST_TEST(watchers.size() == 121U);
    for (const auto &[agent, count] : watchers) {
        BOOST_TEST(count == 3, agent << " has " << count);
    }
    BOOST_TEST(most <= 12U);
}

BOOST_AUTO_TEST_CASE(a_gateway_that_goes_changes_little_for_the_others)
{
    const auto places = fleet(149, 120, 5);
    const auto others = without(places, "g0");
    const auto before = MemberPlan(self(places, "g0"), others).gatewaysToFollow();
    const auto fewer = without(others, *before.begin());
    const auto after = MemberPlan(self(places, "g0"), fewer).gatewaysToFollow();
    std::size_t kept = 0;
    for (const std::string &key : after) {
        kept += before.contains(key) ? 1 : 0;
    }
    BOOST_TEST(kept >= before.size() - 3);
}
