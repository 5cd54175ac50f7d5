/*
 * test_overload.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "overloadlab.h"

#include <algorithm>
#include <utility>

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

namespace {

/** Callers of three data centres, with engines in all of them 1 ms away. */
OverloadLab::Shape shapeWithDataCentres(std::uint64_t seed)
{
    OverloadLab::Shape probing = shapeWithManyGateways(seed);
    probing.gateways = 16;
    probing.engines = 34;
    probing.transitMs = 1;
    probing.figures.meanAnswerTokens = 45;
    return probing;
}

/** Results of a run, from the time at which half of one data centre's callers have moved. */
struct MovedCallers
{
    double refusedAtFirst = 0; ///< fraction, in the data centre that they moved to
    double inTime = 0; ///< fraction, in all data centres
    double worstInTime = 1; ///< fraction, in the worst data centre
};

// The drawn sizes are 5% below the configured means, so that this is 0.9 of the true capacity.
constexpr double sMovedLoad = 0.95;
constexpr std::size_t sReceiving = 1; // data centre that the callers move to

MovedCallers runMovedCallers(OverloadLab::Shape shape, bool sharesDemand)
{
    shape.sharesDemand = sharesDemand;
    OverloadLab lab(shape);
    const double calls = sMovedLoad * lab.capacity();
    constexpr std::size_t sMovedAt = 6;
    lab.run({{6, calls, {143, 131, 164}}, {14, calls, {143 - 71.5, 131 + 71.5, 164}}});
    MovedCallers result;
    OverloadLab::Second all;
    for (std::size_t dataCentre = 0; dataCentre < shape.dataCentres; ++dataCentre) {
        const auto &seconds = lab.secondsByDataCentre()[dataCentre];
        OverloadLab::Second sum;
        for (std::size_t second = sMovedAt; second < seconds.size(); ++second) {
            sum.calls += seconds[second].calls;
            sum.inTime += seconds[second].inTime;
            sum.refusedAtFirst += seconds[second].refusedAtFirst;
        }
        all.calls += sum.calls;
        all.inTime += sum.inTime;
        result.worstInTime
            = std::min(result.worstInTime, static_cast<double>(sum.inTime) / sum.calls);
        if (dataCentre == sReceiving) {
            result.refusedAtFirst = static_cast<double>(sum.refusedAtFirst) / sum.calls;
        }
    }
    result.inTime = static_cast<double>(all.inTime) / all.calls;
    BOOST_TEST_MESSAGE((sharesDemand ? "with" : "without")
                       << " reported rates: in time " << result.inTime << ", worst data centre "
                       << result.worstInTime << ", refused at first where callers moved to "
                       << result.refusedAtFirst);
    return result;
}

} // namespace

// The gateways that got more callers expected too many calls, and probed mostly replicas of
// their own data centre after those were full. They refused calls while replicas in other data
// centres had free slots.
BOOST_AUTO_TEST_CASE(data_centre_that_callers_move_to_serves_them_like_others)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        const MovedCallers without = runMovedCallers(shapeWithDataCentres(seed), false);
        const MovedCallers with = runMovedCallers(shapeWithDataCentres(seed), true);
        BOOST_TEST(without.refusedAtFirst > 0.03);
        BOOST_TEST(with.refusedAtFirst < 0.3 * without.refusedAtFirst);
        BOOST_TEST(with.inTime > without.inTime + 0.01);
        BOOST_TEST(with.worstInTime > with.inTime - 0.03);
    }
}

// Rates that differ by chance must not change decisions where all gateways get equal shares.
// The few exceptions must cost nothing.
BOOST_AUTO_TEST_CASE(reported_rates_change_nothing_at_even_demand)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        const auto run = [&](bool sharesDemand) {
            OverloadLab::Shape even = shapeWithDataCentres(seed);
            even.sharesDemand = sharesDemand;
            OverloadLab lab(even);
            const auto seconds = lab.run({{10, sMovedLoad * lab.capacity()}});
            return std::pair(goodput(seconds, 0, 10), lab.probes());
        };
        const auto [without, probesWithout] = run(false);
        const auto [with, probesWith] = run(true);
        BOOST_TEST_MESSAGE("goodput without " << without << ", with " << with << ", probes "
                                              << probesWithout << ", " << probesWith);
        BOOST_TEST(with == without, boost::test_tools::tolerance(0.005));
        BOOST_TEST(static_cast<double>(probesWith) < 1.01 * static_cast<double>(probesWithout));
    }
}
