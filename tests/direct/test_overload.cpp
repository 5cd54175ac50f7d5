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
    shape.figures.contextMsPer1kTokens = 0.01;
    shape.figures.prefillTokensPerMs = 30;
    shape.figures.stepsPerPass = 6;
    shape.figures.meanPromptTokens = 900;
    shape.figures.meanAnswerTokens = 120;
    return shape;
}

/** Calls per second that met their goal, from second @p begin up to @p end. */
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
        const double capacity = lab.capacity();
        const auto seconds = lab.run({{8, 0.8 * capacity},
                                      {8, 1.0 * capacity},
                                      {10, 1.3 * capacity},
                                      {10, 2.0 * capacity},
                                      {8, 0.8 * capacity}});
        const double before = goodput(seconds, 2, 8);
        const double atCapacity = goodput(seconds, 10, 16);
        const double overloaded = goodput(seconds, 18, 26);
        const double atDouble = goodput(seconds, 28, 36);
        const double after = goodput(seconds, 38, 44);
        BOOST_TEST_MESSAGE("capacity " << capacity << ", goodput per second: 0.8 " << before
                                       << ", 1.0 " << atCapacity << ", 1.3 " << overloaded
                                       << ", 2.0 " << atDouble << ", 0.8 again " << after);
        BOOST_TEST(before > 0.95 * 0.8 * capacity);
        BOOST_TEST(overloaded > 0.9 * atCapacity);
        BOOST_TEST(atDouble > 0.8 * atCapacity);
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

// Runs 1.3 and 2.0 times the engines' capacity, at fleet sizes where each gateway sends a
// request to a given engine only every few seconds and so has to probe for its load.
BOOST_AUTO_TEST_CASE(probing_gateways_keep_their_goodput_at_any_fleet_size)
{
    for (const Size size : {Size{9, 12, 3}, Size{39, 45, 3}, Size{149, 120, 5}}) {
        OverloadLab::Shape probing = shape(1);
        probing.gateways = size.gateways;
        probing.engines = size.engines;
        probing.dataCentres = size.dataCentres;
        probing.probesAgents = true;
        probing.figures.slots = 8;
        OverloadLab lab(probing);
        const double capacity = lab.capacity();
        const auto seconds = lab.run({{6, 0.8 * capacity},
                                      {6, 1.0 * capacity},
                                      {6, 1.3 * capacity},
                                      {6, 2.0 * capacity},
                                      {6, 0.8 * capacity}});
        const double before = goodput(seconds, 2, 6);
        const double atCapacity = goodput(seconds, 8, 12);
        const double overloaded = goodput(seconds, 14, 18);
        const double atDouble = goodput(seconds, 20, 24);
        const double after = goodput(seconds, 26, 30);
        double calls = 0;
        for (const OverloadLab::Second &second : seconds) {
            calls += second.calls;
        }
        const double probes = static_cast<double>(lab.probes()) / calls;
        BOOST_TEST_MESSAGE(
            size.gateways << " gateways, capacity " << capacity << ", goodput per second: 0.8 "
                          << before << ", 1.0 " << atCapacity << ", 1.3 " << overloaded << ", 2.0 "
                          << atDouble << ", 0.8 again " << after << ", probes per call " << probes);
        BOOST_TEST(before > 0.95 * 0.8 * capacity);
        BOOST_TEST(overloaded > 0.92 * atCapacity);
        BOOST_TEST(atDouble > 0.8 * atCapacity);
        BOOST_TEST(after > 0.95 * before);
        // Each probe takes two messages, and their number must not grow with the fleet.
        BOOST_TEST(probes < 12);
    }
}

// Runs 1.3 times the engines' capacity while a request takes some milliseconds to reach its
// engine. Without a count of requests in transit, several gateways see the same freed slot.
BOOST_AUTO_TEST_CASE(freed_slot_is_assigned_once)
{
    const auto lateFraction = [](bool includesInTransit) {
        OverloadLab::Shape probing = shape(1);
        probing.gateways = 9;
        probing.engines = 12;
        probing.probesAgents = true;
        probing.includesInTransit = includesInTransit;
        probing.transitMs = 6;
        OverloadLab lab(probing);
        const auto seconds = lab.run({{4, lab.capacity()}, {12, 1.3 * lab.capacity()}});
        double late = 0;
        double answered = 0;
        for (std::size_t second = 6; second < seconds.size(); ++second) {
            late += seconds[second].late;
            answered += seconds[second].late + seconds[second].inTime;
        }
        BOOST_TEST_MESSAGE((includesInTransit ? "with" : "without")
                           << " a count of requests in transit: late " << late / answered
                           << ", goodput per second " << goodput(seconds, 6, 16));
        return late / answered;
    };
    const double without = lateFraction(false);
    const double with = lateFraction(true);
    BOOST_TEST(with < without * 0.7);
}

namespace {

/** Dozens of gateways in front of engines that read prompts slowly. */
OverloadLab::Shape shapeWithManyGateways(std::uint64_t seed)
{
    OverloadLab::Shape probing;
    probing.seed = seed;
    probing.gateways = 41;
    probing.engines = 45;
    probing.dataCentres = 3;
    probing.probesAgents = true;
    probing.figures = {.slots = 12,
                       .stepMs = 9.27,
                       .perSequenceMs = 0.03,
                       .contextMsPer1kTokens = 0.01,
                       .prefillTokensPerMs = 20.7,
                       .stepsPerPass = 5,
                       .meanPromptTokens = 960,
                       .meanAnswerTokens = 97};
    return probing;
}

} // namespace

// Runs one second at 1.8 times the engines' capacity, with spare capacity before and after it.
// When callers were told to retry within their goal, the overload had not ended by then, and
// 5% to 8% of the calls of these seven seconds were finally refused.
BOOST_AUTO_TEST_CASE(callers_refused_in_a_short_burst_are_served_after_it)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        OverloadLab lab(shapeWithManyGateways(seed));
        const double capacity = lab.capacity();
        const auto seconds
            = lab.run({{6, 0.8 * capacity}, {1, 1.8 * capacity}, {6, 0.8 * capacity}});
        double calls = 0;
        double inTime = 0;
        double refused = 0;
        for (std::size_t second = 6; second < seconds.size(); ++second) {
            calls += seconds[second].calls;
            inTime += seconds[second].inTime;
            refused += seconds[second].refused;
        }
        BOOST_TEST_MESSAGE("of " << calls << " calls in time " << inTime / calls
                                 << ", finally refused " << refused / calls);
        BOOST_TEST(refused < 0.04 * calls);
        BOOST_TEST(inTime > 0.88 * calls);
    }
}
