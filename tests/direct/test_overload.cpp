/*
 * test_overload.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "overloadlab.h"

using namespace Loom;

namespace {

OverloadLab::Shape shape(std::uint64_t seed)
{
    OverloadLab::Shape shape;
    shape.seed = seed;
    shape.figures.slots = 16;
    shape.figures.stepMs = 7;
    shape.figures.perSequenceMs = 0.03;
    shape.figures.contextMsPerK = 0.01;
    shape.figures.readTokensPerMs = 30;
    shape.figures.stepsPerPass = 6;
    shape.figures.usualPrompt = 900;
    shape.figures.usualAnswer = 120;
    return shape;
}

/** Calls in time a second, from second @p begin up to @p end. */
double goodput(const std::vector<OverloadLab::Second> &seconds, std::size_t begin, std::size_t end)
{
    double sum = 0;
    for (std::size_t second = begin; second < end; ++second) {
        sum += seconds[second].inTime;
    }
    return sum / static_cast<double>(end - begin);
}

} // namespace

BOOST_AUTO_TEST_CASE(goodput_holds_under_overload_and_recovers_at_once)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        OverloadLab lab(shape(seed));
        const double full = lab.capacity();
        const auto seconds = lab.play({{8, 0.8 * full},
                                       {8, 1.0 * full},
                                       {10, 1.3 * full},
                                       {10, 2.0 * full},
                                       {8, 0.8 * full}});
        const double before = goodput(seconds, 2, 8);
        const double atFull = goodput(seconds, 10, 16);
        const double over = goodput(seconds, 18, 26);
        const double twice = goodput(seconds, 28, 36);
        const double after = goodput(seconds, 38, 44);
        BOOST_TEST_MESSAGE("capacity " << full << ", in time a second: 0.8 " << before << ", 1.0 "
                                       << atFull << ", 1.3 " << over << ", 2.0 " << twice
                                       << ", 0.8 again " << after);
        BOOST_TEST(before > 0.95 * 0.8 * full);
        BOOST_TEST(over > 0.9 * atFull);
        BOOST_TEST(twice > 0.8 * atFull);
        BOOST_TEST(after > 0.95 * before);
    }
}

namespace {

struct Size
{
    std::size_t gateways = 0;
    std::size_t engines = 0;
    std::size_t dataCentres = 0;
};

} // namespace

// Replays a load of 1.3 and 2.0 times what the engines finish, at sizes where
// each gateway sends one engine something every few seconds.
BOOST_AUTO_TEST_CASE(probing_gateways_keep_their_goodput_at_any_fleet_size)
{
    for (const Size size : {Size{9, 12, 3}, Size{39, 45, 3}, Size{149, 120, 5}}) {
        OverloadLab::Shape asking = shape(1);
        asking.gateways = size.gateways;
        asking.engines = size.engines;
        asking.dataCentres = size.dataCentres;
        asking.probesAgents = true;
        asking.figures.slots = 8;
        OverloadLab lab(asking);
        const double full = lab.capacity();
        const auto seconds = lab.play(
            {{6, 0.8 * full}, {6, 1.0 * full}, {6, 1.3 * full}, {6, 2.0 * full}, {6, 0.8 * full}});
        const double before = goodput(seconds, 2, 6);
        const double atFull = goodput(seconds, 8, 12);
        const double over = goodput(seconds, 14, 18);
        const double twice = goodput(seconds, 20, 24);
        const double after = goodput(seconds, 26, 30);
        double calls = 0;
        for (const OverloadLab::Second &second : seconds) {
            calls += second.asked;
        }
        const double probes = static_cast<double>(lab.probes()) / calls;
        BOOST_TEST_MESSAGE(size.gateways
                           << " gateways, capacity " << full << ", in time a second: 0.8 " << before
                           << ", 1.0 " << atFull << ", 1.3 " << over << ", 2.0 " << twice
                           << ", 0.8 again " << after << ", questions a call " << probes);
        BOOST_TEST(before > 0.95 * 0.8 * full);
        BOOST_TEST(over > 0.92 * atFull);
        BOOST_TEST(twice > 0.8 * atFull);
        BOOST_TEST(after > 0.95 * before);
        // Two messages each, whatever the size.
        BOOST_TEST(probes < 12);
    }
}

// Replays 1.3 times what the engines finish while a request needs some
// milliseconds to its engine: a place that turns free is seen by several gateways.
BOOST_AUTO_TEST_CASE(freed_slot_is_assigned_once)
{
    const auto lateShare = [](bool includesInTransit) {
        OverloadLab::Shape asking = shape(1);
        asking.gateways = 9;
        asking.engines = 12;
        asking.probesAgents = true;
        asking.includesInTransit = includesInTransit;
        asking.transitMs = 6;
        OverloadLab lab(asking);
        const auto seconds = lab.play({{4, lab.capacity()}, {12, 1.3 * lab.capacity()}});
        double late = 0;
        double answered = 0;
        for (std::size_t second = 6; second < seconds.size(); ++second) {
            late += seconds[second].late;
            answered += seconds[second].late + seconds[second].inTime;
        }
        BOOST_TEST_MESSAGE((includesInTransit ? "with" : "without")
                           << " claims late " << late / answered << ", in time a second "
                           << goodput(seconds, 6, 16));
        return late / answered;
    };
    const double without = lateShare(false);
    const double with = lateShare(true);
    BOOST_TEST(with < without * 0.7);
}

namespace {

/** Dozens of gateways before engines that read prompts slowly. */
OverloadLab::Shape shapeWithManyGateways(std::uint64_t seed)
{
    OverloadLab::Shape asking;
    asking.seed = seed;
    asking.gateways = 41;
    asking.engines = 45;
    asking.dataCentres = 3;
    asking.probesAgents = true;
    asking.figures = {.slots = 12,
                      .stepMs = 9.27,
                      .perSequenceMs = 0.03,
                      .contextMsPerK = 0.01,
                      .readTokensPerMs = 20.7,
                      .stepsPerPass = 5,
                      .usualPrompt = 960,
                      .usualAnswer = 97};
    return asking;
}

} // namespace

// Replays a second of 1.8 times what the engines finish, with room before and after it.
// Callers that were told to come back within their goal found the rush still there, and
// 5 to 8 in 100 of the seven seconds' calls were refused for good.
BOOST_AUTO_TEST_CASE(callers_refused_in_a_short_burst_are_served_after_it)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        OverloadLab lab(shapeWithManyGateways(seed));
        const double full = lab.capacity();
        const auto seconds = lab.play({{6, 0.8 * full}, {1, 1.8 * full}, {6, 0.8 * full}});
        double asked = 0;
        double inTime = 0;
        double refused = 0;
        for (std::size_t second = 6; second < seconds.size(); ++second) {
            asked += seconds[second].asked;
            inTime += seconds[second].inTime;
            refused += seconds[second].refused;
        }
        BOOST_TEST_MESSAGE("of " << asked << " calls in time " << inTime / asked
                                 << ", refused for good " << refused / asked);
        BOOST_TEST(refused < 0.04 * asked);
        BOOST_TEST(inTime > 0.88 * asked);
    }
}
