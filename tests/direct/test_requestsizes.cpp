/*
 * test_requestsizes.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "overloadlab.h"

#include <algorithm>
#include <array>
#include <limits>

using namespace Loom;

namespace {

constexpr int sSeconds = 12;

/** Engines in three data centres 1 ms away, and prompts and answers of widely spread sizes. */
OverloadLab::Shape spreadShape(std::uint64_t seed, double sigma)
{
    OverloadLab::Shape shape;
    shape.seed = seed;
    shape.gateways = 16;
    shape.engines = 34;
    shape.dataCentres = 3;
    shape.probesAgents = true;
    shape.transitMs = 1;
    shape.sizeSigma = sigma;
    shape.figures = {.slots = 12,
                     .stepMs = 9.27,
                     .perSequenceMs = 0.03,
                     .contextMsPer1kTokens = 0.01,
                     .prefillTokensPerMs = 20.7,
                     .stepsPerPass = 5,
                     .meanPromptTokens = 960,
                     .meanAnswerTokens = 45};
    return shape;
}

struct SizeResult
{
    double inTime = 0; ///< fraction of all calls
    double late = 0; ///< fraction of all calls
    double largestServed = 0; ///< ratio of the tenth with the largest prompts to all
    double nextServed = 0; ///< ratio of the fifth below it to all
    std::vector<std::int64_t> decisions;
};

SizeResult runAt(const OverloadLab::Shape &shape, double load)
{
    OverloadLab lab(shape);
    SizeResult result;
    OverloadLab::Outcomes sum;
    for (const OverloadLab::Second &second : lab.run({{sSeconds, load * lab.capacity()}})) {
        sum.calls += second.calls;
        sum.inTime += second.inTime;
        sum.late += second.late;
    }
    result.inTime = static_cast<double>(sum.inTime) / sum.calls;
    result.late = static_cast<double>(sum.late) / sum.calls;
    std::vector<OverloadLab::SizedOutcome> sized = lab.sizedOutcomes();
    std::ranges::sort(sized, std::ranges::greater(), &OverloadLab::SizedOutcome::prompt);
    const auto served = [&](double from, double to) {
        const auto count = static_cast<double>(sized.size());
        const auto begin = sized.begin() + static_cast<std::ptrdiff_t>(from * count);
        const auto end = sized.begin() + static_cast<std::ptrdiff_t>(to * count);
        return static_cast<double>(
                   std::count_if(begin, end, [](const auto &call) { return call.isServed; }))
            / static_cast<double>(end - begin);
    };
    result.largestServed = served(0, 0.1) / served(0, 1);
    result.nextServed = served(0.1, 0.3) / served(0, 1);
    result.decisions = lab.decisions();
    BOOST_TEST_MESSAGE("sigma " << shape.sizeSigma << ", load " << load << ", seed " << shape.seed
                                << (shape.announcesSizes ? ", by tokens" : ", by number")
                                << (shape.usesOwnSize ? "" : ", mean for own size") << ": in time "
                                << result.inTime << ", late " << result.late
                                << ", largest tenth served " << result.largestServed
                                << ", fifth below " << result.nextServed);
    return result;
}

} // namespace

// Guards against predictions that take the waiting prompts to be of the mean size: a replica
// where large prompts wait is chosen, and one where small ones wait is refused.
BOOST_AUTO_TEST_CASE(sizes_spread_widely_at_nine_tenths_of_the_capacity)
{
    for (const double sigma : {1.2, 1.4, 1.6}) {
        double byNumber = 0;
        double byTokens = 0;
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            OverloadLab::Shape shape = spreadShape(seed, sigma);
            byNumber += runAt(shape, 0.9).inTime / 3;
            shape.announcesSizes = true;
            byTokens += runAt(shape, 0.9).inTime / 3;
        }
        BOOST_TEST_MESSAGE("sigma " << sigma << ": " << byNumber << ", " << byTokens);
        BOOST_TEST(byTokens >= byNumber + 0.02);
    }
}

// Guards against refusing large requests much more often than others.
BOOST_AUTO_TEST_CASE(large_requests_are_served_nearly_as_often_as_others)
{
    for (const double load : {0.9, 1.2}) {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            OverloadLab::Shape shape = spreadShape(seed, 1.5);
            runAt(shape, load);
            shape.announcesSizes = true;
            const SizeResult result = runAt(shape, load);
            BOOST_TEST(result.largestServed >= 0.8);
            BOOST_TEST(result.nextServed >= 0.8);
            shape.usesOwnSize = false;
            runAt(shape, load);
        }
    }
}

// Guards against changed decisions where no agent knows any size.
BOOST_AUTO_TEST_CASE(decisions_without_known_sizes_are_those_by_number_call_by_call)
{
    for (const double load : {0.9, 1.2}) {
        OverloadLab::Shape shape = spreadShape(1, 1.5);
        const SizeResult byNumber = runAt(shape, load);
        shape.announcesSizes = true;
        shape.earlierGateways = shape.gateways;
        BOOST_TEST((runAt(shape, load).decisions == byNumber.decisions));
        shape.earlierGateways = 0;
        BOOST_TEST((runAt(shape, load).decisions != byNumber.decisions));
    }
}

// Guards against predictions that get worse than those by number when sizes are missing: a tenth
// of the announcements is lost, agents restart, or half of the gateways announce no sizes.
BOOST_AUTO_TEST_CASE(missing_announcements_leave_predictions_better_than_by_number)
{
    const std::array<void (*)(OverloadLab::Shape &), 3> faults{
        [](OverloadLab::Shape &shape) { shape.lostAnnouncements = 0.1; },
        [](OverloadLab::Shape &shape) { shape.agentsRestartAtMs = 6'000; },
        [](OverloadLab::Shape &shape) { shape.earlierGateways = shape.gateways / 2; },
    };
    for (const auto fault : faults) {
        double byNumber = 0;
        double byTokens = 0;
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            OverloadLab::Shape shape = spreadShape(seed, 1.5);
            fault(shape);
            byNumber += runAt(shape, 0.9).inTime / 3;
            shape.announcesSizes = true;
            byTokens += runAt(shape, 0.9).inTime / 3;
        }
        BOOST_TEST_MESSAGE("with a fault: " << byNumber << ", " << byTokens);
        BOOST_TEST(byTokens >= byNumber);
    }
}

namespace {

/** The predicted time to an answer at a replica whose agent reported @p load. */
double predictedMs(const EngineProfile &engine, const ReplicaLoad &load, std::uint64_t ownTokens)
{
    ReplicaSet replicas(Milliseconds(2'000));
    ReplicaRecord record;
    record.id = "r0";
    record.service = "scorer";
    record.address = "10.0.0.1:1";
    record.slots = engine.slots;
    record.weightsVersion = 1;
    replicas.put(record, at(0));
    replicas.report(record.address, load, at(0));
    replicas.began(record.id, false, at(1), ownTokens);
    ReplicaQuery query;
    query.service = record.service;
    query.engine = &engine;
    query.goal = Milliseconds(10'000);
    query.minVersion = 1;
    query.gatewayCount = 1;
    const ReplicaChoice choice = replicas.choose(query, at(1));
    const auto *chosen = std::get_if<ChosenReplica>(&choice);
    BOOST_REQUIRE(chosen != nullptr);
    return chosen->answerMs;
}

ReplicaLoad waitingLoad(std::uint32_t waiting, std::uint64_t tokens)
{
    ReplicaLoad load;
    load.waiting = waiting;
    load.waitingTokens = tokens;
    load.weightsVersion = 1;
    return load;
}

} // namespace

// Guards against a prediction that misses what this gateway sent after the report.
BOOST_AUTO_TEST_CASE(own_requests_since_the_report_count_with_their_tokens)
{
    const EngineProfile engine = spreadShape(1, 0).figures;
    const double small = predictedMs(engine, waitingLoad(2, 1'000), 100);
    BOOST_TEST(predictedMs(engine, waitingLoad(2, 1'000), 2'170) - small == 100,
               boost::test_tools::tolerance(1e-9));
    BOOST_TEST(predictedMs(engine, waitingLoad(2, 3'070), 100) - small == 100,
               boost::test_tools::tolerance(1e-9));
    // A request of unknown size counts with the mean.
    BOOST_TEST(predictedMs(engine, waitingLoad(2, 1'000), 0)
               == predictedMs(engine, waitingLoad(2, 1'000), 960));
}

// Guards against counting the prompts of patient requests, which do not delay others.
BOOST_AUTO_TEST_CASE(patient_requests_are_left_out_with_their_share_of_the_tokens)
{
    const EngineProfile engine = spreadShape(1, 0).figures;
    ReplicaLoad load = waitingLoad(3, 3'000);
    load.waitingPatient = 2;
    BOOST_TEST(predictedMs(engine, load, 1'000)
                   == predictedMs(engine, waitingLoad(1, 1'000), 1'000),
               boost::test_tools::tolerance(1e-9));
}

// Guards against one agent with a wrong sum that makes its replica look full.
BOOST_AUTO_TEST_CASE(absurd_sums_of_waiting_tokens_count_as_unknown)
{
    EngineProfile engine = spreadShape(1, 0).figures;
    const double byNumber = predictedMs(engine, waitingLoad(2, 0), 50);
    const std::uint64_t max = std::numeric_limits<std::uint64_t>::max();
    BOOST_TEST(predictedMs(engine, waitingLoad(2, max), 50) == byNumber);
    engine.kvCacheTokens = 4'000;
    BOOST_TEST(predictedMs(engine, waitingLoad(2, 8'002), 50) == byNumber);
    BOOST_TEST(predictedMs(engine, waitingLoad(2, 8'000), 50) > byNumber);
    BOOST_TEST(EngineModel(engine).knownTokens(4'001, 1) == 0U);
    BOOST_TEST(EngineModel(engine).knownTokens(4'000, 1) == 4'000U);
}
