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

/** Makes gateways and agents, spread over the data centres; the first gateway is "g0". */
std::vector<MemberLocation> makeMembers(std::size_t gateways, std::size_t agents,
                                        std::size_t dataCentres)
{
    std::vector<MemberLocation> members;
    for (std::size_t index = 0; index < gateways; ++index) {
        members.push_back(
            {"g" + std::to_string(index), "z" + std::to_string(index % dataCentres), true});
    }
    for (std::size_t index = 0; index < agents; ++index) {
        members.push_back(
            {"s" + std::to_string(index), "z" + std::to_string(index % dataCentres), false});
    }
    return members;
}

std::vector<MemberLocation> withoutMember(std::vector<MemberLocation> members,
                                          const std::string &key)
{
    std::erase_if(members, [&](const MemberLocation &member) { return member.key == key; });
    return members;
}

MemberLocation memberWithKey(const std::vector<MemberLocation> &members, const std::string &key)
{
    return *std::ranges::find(members, key, &MemberLocation::key);
}

} // namespace

BOOST_AUTO_TEST_CASE(followed_gateways_do_not_grow_with_the_fleet)
{
    for (const auto &[gateways, agents, dataCentres] :
         {std::tuple{6U, 12U, 3U}, {34U, 45U, 3U}, {149U, 120U, 5U}, {320U, 1'800U, 13U}}) {
        const auto members = makeMembers(gateways, agents, dataCentres);
        const auto others = withoutMember(members, "g0");
        const MemberPlan plan(memberWithKey(members, "g0"), others);
        const auto followed = plan.gatewaysToFollow();
        BOOST_TEST(followed.size() == std::min<std::size_t>(gateways - 1, 16));
        const auto local = std::ranges::count_if(followed, [&](const std::string &key) {
            return memberWithKey(members, key).dataCentre == "z0";
        });
        if (gateways / dataCentres > 20) {
            BOOST_TEST(local >= 9); // three of the twelve may be remote readers
        }
        BOOST_TEST(followed.size() - static_cast<std::size_t>(local) >= 3U);
    }
}

BOOST_AUTO_TEST_CASE(every_gateway_follows_the_next_readers)
{
    const auto members = makeMembers(149, 120, 5);
    std::vector<std::string> expected;
    for (std::size_t index = 0; index < 149; ++index) {
        const std::string key = "g" + std::to_string(index);
        const auto others = withoutMember(members, key);
        const MemberPlan plan(memberWithKey(members, key), others);
        const auto order = plan.readerOrder(ReaderScope::Global);
        if (expected.empty()) {
            expected = order;
        }
        BOOST_TEST(order == expected, boost::test_tools::per_element());
        const auto followed = plan.gatewaysToFollow();
        for (std::size_t rank = 0; rank < 2; ++rank) {
            BOOST_TEST((order[rank] == key || followed.contains(order[rank])));
            const auto local = plan.readerOrder(ReaderScope::DataCentre);
            BOOST_TEST((local[rank] == key || followed.contains(local[rank])));
        }
    }
}

BOOST_AUTO_TEST_CASE(every_agent_is_watched_by_three_gateways)
{
    auto members = makeMembers(149, 120, 5);
    members.push_back({"lonely", "elsewhere", false});
    std::map<std::string, int> watchers;
    std::size_t maxWatched = 0;
    for (std::size_t index = 0; index < 149; ++index) {
        const std::string key = "g" + std::to_string(index);
        const auto others = withoutMember(members, key);
        const auto watched = MemberPlan(memberWithKey(members, key), others).agentsToWatch();
        maxWatched = std::max(maxWatched, watched.size());
        for (const std::string &agent : watched) {
            ++watchers[agent];
        }
    }
    BOOST_TEST(watchers.size() == 121U);
    for (const auto &[agent, count] : watchers) {
        BOOST_TEST(count == 3, agent << " has " << count);
    }
    BOOST_TEST(maxWatched <= 12U);
}

BOOST_AUTO_TEST_CASE(removed_gateway_changes_few_followed_gateways)
{
    const auto members = makeMembers(149, 120, 5);
    const auto others = withoutMember(members, "g0");
    const auto before = MemberPlan(memberWithKey(members, "g0"), others).gatewaysToFollow();
    const auto fewer = withoutMember(others, *before.begin());
    const auto after = MemberPlan(memberWithKey(members, "g0"), fewer).gatewaysToFollow();
    std::size_t kept = 0;
    for (const std::string &key : after) {
        kept += before.contains(key) ? 1 : 0;
    }
    BOOST_TEST(kept >= before.size() - 3);
}
