/*
 * test_sizes.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE sizes
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "overloadlab.h"
#include "sizetable.h"

#include <array>
#include <ostream>
#include <string_view>

using namespace Loom;
namespace data = boost::unit_test::data;

namespace {

// The users' limit is 0.5; the project's target is stricter.
constexpr double sMinRelativeService = 0.8;
constexpr int sSeconds = 12;
constexpr std::array sLoads{0.9, 1.2, 1.6, 2.0, 2.5};

struct Fleet
{
    std::size_t gateways = 0;
    std::size_t engines = 0;
};
constexpr Fleet sSmallFleet{9, 12};
constexpr Fleet sMediumFleet{41, 45};
constexpr Fleet sLargeFleet{149, 180};

/** Three kinds of requests of different means and widely spread sizes. */
OverloadLab::Shape shapeOf(const Fleet &fleet)
{
    OverloadLab::Shape shape;
    shape.gateways = fleet.gateways;
    shape.engines = fleet.engines;
    shape.dataCentres = 3;
    shape.probesAgents = true;
    shape.transitMs = 1;
    shape.sharesDemand = true;
    shape.announcesSizes = true;
    shape.endsAtDeadline = true;
    shape.sizeSigma = 1.2;
    shape.maxSizeFactor = 3;
    shape.maxAnswerFactor = 1.6;
    shape.hasExactMean = true;
    shape.figures = {.slots = 12,
                     .stepMs = 8.9,
                     .perSequenceMs = 0.03,
                     .contextMsPer1kTokens = 0.01,
                     .prefillTokensPerMs = 19.1,
                     .stepsPerPass = 5,
                     .meanPromptTokens = 950,
                     .meanAnswerTokens = 98};
    shape.classes = {
        {{}, Milliseconds(500), 0.4, 1.36, 1.1},
        {{}, Milliseconds(400), 0.3, 0.83, 1.1},
        {{}, Milliseconds(400), 0.3, 0.64, 0.7},
    };
    return shape;
}

struct Result
{
    double inTime = 0; ///< fraction of all calls
    std::vector<SizeTable> tables; ///< by kind and order
};

/** Plays the phases with the seeds 1 to @p seeds; the tables are over all of them. */
Result play(OverloadLab::Shape shape, std::uint64_t seeds,
            const std::vector<OverloadLab::Phase> &phases, std::string_view name)
{
    OverloadLab::Outcomes sum;
    std::vector<OverloadLab::SizedOutcome> outcomes;
    for (shape.seed = 1; shape.seed <= seeds; ++shape.seed) {
        OverloadLab lab(shape);
        for (const OverloadLab::Second &second : lab.run(phases)) {
            sum.calls += second.calls;
            sum.inTime += second.inTime;
        }
        outcomes.insert(outcomes.end(), lab.sizedOutcomes().begin(), lab.sizedOutcomes().end());
    }
    Result result;
    result.inTime = static_cast<double>(sum.inTime) / sum.calls;
    BOOST_TEST_MESSAGE(name << ", " << shape.gateways << " x " << shape.engines << ", " << seeds
                            << " seeds: in time " << result.inTime);
    for (std::size_t kind = 0; kind < shape.classes.size(); ++kind) {
        for (const SizeTable::Order order : {SizeTable::Order::Prompt, SizeTable::Order::Work}) {
            result.tables.emplace_back(outcomes, kind, order);
            const bool isByPrompt = order == SizeTable::Order::Prompt;
            BOOST_TEST_MESSAGE("  kind " << kind << (isByPrompt ? " by prompt: " : " by work: ")
                                         << result.tables.back().text());
        }
    }
    return result;
}

Result playAt(const OverloadLab::Shape &shape, std::uint64_t seeds, double load,
              std::string_view name)
{
    const double capacity = OverloadLab(shape).capacity();
    return play(shape, seeds, {{sSeconds, load * capacity}},
                std::string(name) + ", load " + std::to_string(load).substr(0, 3));
}

void checkSizes(const Result &result)
{
    for (const SizeTable &table : result.tables) {
        BOOST_TEST(table.largest >= sMinRelativeService);
        BOOST_TEST(table.fifthBelow >= sMinRelativeService);
    }
}

} // namespace

// Guards against a gateway that gives each free place to a request that fits at once: under
// overload, only small ones ever do.
BOOST_DATA_TEST_CASE(large_requests_are_served_at_any_load, data::make(sLoads), load)
{
    checkSizes(playAt(shapeOf(sMediumFleet), 3, load, "all named"));
}

BOOST_AUTO_TEST_CASE(large_requests_are_served_in_small_and_large_fleets)
{
    for (const double load : {1.2, 2.5}) {
        checkSizes(playAt(shapeOf(sSmallFleet), 10, load, "small fleet"));
        checkSizes(playAt(shapeOf(sLargeFleet), 1, load, "large fleet"));
    }
}

// Guards against a gateway that notices only after a while that large requests are passed over.
BOOST_AUTO_TEST_CASE(large_requests_are_served_in_a_burst)
{
    const OverloadLab::Shape shape = shapeOf(sMediumFleet);
    const double capacity = OverloadLab(shape).capacity();
    checkSizes(
        play(shape, 3, {{4, 0.8 * capacity}, {4, 3.0 * capacity}, {4, 0.9 * capacity}}, "burst"));
}

// Prompts of up to twelve means, of which the largest miss the goal even at idle engines.
BOOST_AUTO_TEST_CASE(requests_that_cannot_meet_their_goal_are_served_nearly_as_often)
{
    OverloadLab::Shape shape = shapeOf(sMediumFleet);
    shape.sizeSigma = 1.5;
    shape.maxSizeFactor = 12;
    for (const double load : {0.9, 1.2, 2.5}) {
        checkSizes(playAt(shape, 2, load, "up to twelve means"));
    }
}

// At a slow engine, a large prompt takes even more of its goal.
BOOST_AUTO_TEST_CASE(large_requests_are_served_while_engines_are_slow)
{
    for (const double load : {0.9, 1.6, 2.5}) {
        OverloadLab::Shape shape = shapeOf(sMediumFleet);
        shape.slowPace = 1.3;
        shape.slowEngines = shape.engines;
        checkSizes(playAt(shape, 2, load / shape.slowPace, "all slow"));
        shape.slowPace = 2;
        shape.slowEngines = shape.engines / 3;
        checkSizes(playAt(shape, 2, load, "a third slow"));
    }
}

BOOST_AUTO_TEST_CASE(large_requests_are_served_while_engines_are_gone)
{
    for (const double load : {0.9, 1.6, 2.5}) {
        OverloadLab::Shape shape = shapeOf(sMediumFleet);
        shape.crashing = shape.engines / 4;
        shape.crashAtMs = 3'000;
        checkSizes(playAt(shape, 2, load, "a quarter gone"));
    }
}

BOOST_AUTO_TEST_CASE(large_requests_are_served_while_reports_are_late)
{
    for (const double load : {0.9, 1.6, 2.5}) {
        OverloadLab::Shape shape = shapeOf(sMediumFleet);
        shape.reportLagMs = 150;
        checkSizes(playAt(shape, 2, load, "late reports"));
    }
}

BOOST_AUTO_TEST_CASE(large_requests_are_served_whether_their_size_is_named_or_not)
{
    for (const double load : {0.9, 1.6, 2.5}) {
        for (const double named : {0.0, 0.5}) {
            OverloadLab::Shape shape = shapeOf(sMediumFleet);
            shape.namedSizes = named;
            checkSizes(playAt(shape, 2, load, named > 0 ? "half named" : "none named"));
        }
    }
}

// Shares of accounts count the work that they ask for, which must not pass over single requests.
BOOST_AUTO_TEST_CASE(large_requests_are_served_where_ranks_and_accounts_differ)
{
    for (const double load : {1.2, 1.6, 2.5}) {
        OverloadLab::Shape shape = shapeOf(sMediumFleet);
        shape.accounts = 24;
        shape.heavyAccountFraction = 0.3;
        checkSizes(playAt(shape, 2, load, "accounts"));
        for (std::uint32_t kind = 0; kind < shape.classes.size(); ++kind) {
            shape.classes[kind].rank.route = kind;
        }
        checkSizes(playAt(shape, 4, load, "ranks and accounts"));
    }
}

// Guards against a share for large requests that costs the small ones too much. The fraction
// before is of the same seeds, where each request was judged by its own size.
BOOST_AUTO_TEST_CASE(calls_in_time_fall_by_little)
{
    constexpr double sInTimeBefore = 0.873;
    constexpr double sMaxFall = 0.02;
    const Result result = playAt(shapeOf(sMediumFleet), 8, 1.2, "calls in time");
    BOOST_TEST(result.inTime >= sInTimeBefore - sMaxFall);
}
