/*
 * test_limitways.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Who may send to a replica that named a limit, each way under the same loads.

#include "limitlab.h"

#include <boost/test/unit_test.hpp>

using namespace Loom;

namespace {

constexpr int sSeeds = 3;
constexpr double sMostOfAllowed = 0.9;
constexpr double sMostWithFaults = 1.0;
constexpr double sLeastUsed = 0.9;
constexpr double sLeastWithFaults = 0.8;

struct Load
{
    std::string name;
    LimitLab::Shape shape;
    bool hasFaults = false;
};

// The best for what is wanted, the worst for what is not.
LimitLab::Result played(LimitLab::Shape shape)
{
    LimitLab::Result worst;
    worst.limitUsed = 1e9;
    for (int seed = 1; seed <= sSeeds; ++seed) {
        shape.seed = static_cast<std::uint64_t>(seed);
        const LimitLab::Result one = LimitLab(shape).play();
        worst.worstOfAllowed = std::max(worst.worstOfAllowed, one.worstOfAllowed);
        worst.limitUsed = std::min(worst.limitUsed, one.limitUsed);
        worst.refused = std::max(worst.refused, one.refused);
        worst.refusedWhileRoom = std::max(worst.refusedWhileRoom, one.refusedWhileRoom);
        worst.asksPerGateway = std::max(worst.asksPerGateway, one.asksPerGateway);
    }
    return worst;
}

void show(std::string_view way, const Load &load, const LimitLab::Result &result)
{
    BOOST_TEST_MESSAGE(way << ", " << load.name << ": of allowed " << result.worstOfAllowed
                           << ", used " << result.limitUsed << ", refused " << result.refused
                           << ", while room " << result.refusedWhileRoom << ", asks "
                           << result.asksPerGateway);
}

std::vector<Load> loads()
{
    LimitLab::Shape few;
    few.load = 0.9;
    LimitLab::Shape all = few;
    all.limitedShare = 1;
    all.load = 1.3;
    LimitLab::Shape large;
    large.gateways = 41;
    large.replicas = 45;
    large.load = 0.9;
    LimitLab::Shape huge = large;
    huge.gateways = 149;
    huge.replicas = 76;
    huge.load = 1.3;
    LimitLab::Shape slow = large;
    slow.rate = 0.3;
    LimitLab::Shape quick = large;
    quick.rate = 10;
    LimitLab::Shape changing = large;
    changing.rate = 10;
    changing.changesEveryMs = 1'000;
    LimitLab::Shape uneven = all;
    uneven.uneven = 10;
    LimitLab::Shape killed = large;
    killed.killShare = 0.34;
    return {{"9 gateways, half limited", few},
            {"9 gateways, all limited", all},
            {"9 uneven gateways, all limited", uneven},
            {"41 gateways", large},
            {"41 gateways, 0.3 a second", slow},
            {"41 gateways, 10 a second", quick},
            {"149 gateways", huge},
            {"41 gateways, limits that change each second", changing, true},
            {"41 gateways, a third killed", killed, true}};
}

void checkKept(LimitWay way, std::string_view name)
{
    for (const Load &load : loads()) {
        LimitLab::Shape shape = load.shape;
        shape.way = way;
        const LimitLab::Result result = played(shape);
        show(name, load, result);
        BOOST_TEST(result.worstOfAllowed <= (load.hasFaults ? sMostWithFaults : sMostOfAllowed));
        BOOST_TEST(result.limitUsed >= (load.hasFaults ? sLeastWithFaults : sLeastUsed));
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(agents_hand_out_what_their_replicas_take_and_no_more)
{
    checkKept(LimitWay::AgentPermits, "agents");
}

BOOST_AUTO_TEST_CASE(home_gateways_hand_out_what_their_replicas_take_and_no_more)
{
    checkKept(LimitWay::HomePermits, "homes");
}

// The other ways, for the record; each misses on some load what the kept ones reach.
BOOST_AUTO_TEST_CASE(ways_that_were_not_kept_for_limits)
{
    for (const Load &load : loads()) {
        LimitLab::Shape shape = load.shape;
        shape.way = LimitWay::Nobody;
        const LimitLab::Result before = played(shape);
        show("nobody", load, before);
        BOOST_TEST(before.worstOfAllowed > 1);
        for (const auto &[way, name] : {std::pair(LimitWay::EachAlone, "each alone"),
                                        std::pair(LimitWay::EqualShares, "equal shares"),
                                        std::pair(LimitWay::OneSender, "one sender")}) {
            shape.way = way;
            show(name, load, played(shape));
        }
    }
}
