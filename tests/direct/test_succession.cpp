/*
 * test_succession.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "successionsimulator.h"

using namespace Loom;

namespace {

constexpr int sLimitMs = 30'000;
constexpr std::uint64_t sSeeds = 4;

using Scenario = SuccessionSimulator::Scenario;
using Results = std::vector<SuccessionSimulator::VersionResult>;

/** Runs the scenario with each seed. */
std::vector<Results> runAll(Scenario scenario)
{
    std::vector<Results> all;
    for (std::uint64_t seed = 1; seed <= sSeeds; ++seed) {
        scenario.seed = seed;
        all.push_back(SuccessionSimulator(scenario).run(sLimitMs));
    }
    return all;
}

int meanCompleteMs(const std::vector<Results> &all, std::size_t version)
{
    int sum = 0;
    for (const Results &results : all) {
        BOOST_TEST(results[version].allCompleteMs > 0);
        sum += results[version].allCompleteMs;
    }
    return sum / static_cast<int>(all.size());
}

double meanOriginChunks(const std::vector<Results> &all, std::size_t version)
{
    double sum = 0;
    for (const Results &results : all) {
        sum += results[version].originChunks;
    }
    return sum / static_cast<double>(all.size());
}

Scenario killedScenario(SuccessionSimulator::Retention retention)
{
    Scenario scenario;
    scenario.killMs = 3'000;
    scenario.restartMs = 4'000;
    scenario.retention = retention;
    return scenario;
}

} // namespace

// Guards against two fetches that share the origin's link: 14 of 45 members fetch the older
// version beside the newer one, as after a silence of the store.
BOOST_AUTO_TEST_CASE(the_newer_version_arrives_earlier_if_the_older_one_is_skipped)
{
    Scenario scenario;
    scenario.versionCount = 2;
    scenario.startMs = [](std::uint32_t version, int member) {
        return version == 0 && member % 3 != 0 ? -1 : static_cast<int>(version) * 50;
    };
    const auto both = runAll(scenario);
    scenario.cancelMs = [](std::uint32_t version, int) { return version == 0 ? 100 : -1; };
    const auto skipped = runAll(scenario);
    BOOST_TEST_MESSAGE("both " << meanCompleteMs(both, 1) << " ms, origin "
                               << meanOriginChunks(both, 0) << " and " << meanOriginChunks(both, 1)
                               << "; skipped " << meanCompleteMs(skipped, 1) << " ms, origin "
                               << meanOriginChunks(skipped, 0) << " and "
                               << meanOriginChunks(skipped, 1));
    BOOST_TEST(meanCompleteMs(skipped, 1) + 1'000 < meanCompleteMs(both, 1));
}

// Guards against a second transfer of the whole version after all agents were killed.
BOOST_AUTO_TEST_CASE(a_version_is_complete_earlier_if_chunks_outlive_the_kill)
{
    const auto lost = runAll(killedScenario(SuccessionSimulator::Retention::None));
    const auto retained = runAll(killedScenario(SuccessionSimulator::Retention::All));
    BOOST_TEST_MESSAGE("lost " << meanCompleteMs(lost, 0) << " ms, origin "
                               << meanOriginChunks(lost, 0) << "; retained "
                               << meanCompleteMs(retained, 0) << " ms, origin "
                               << meanOriginChunks(retained, 0));
    BOOST_TEST(meanCompleteMs(retained, 0) + 1'500 < meanCompleteMs(lost, 0));
    BOOST_TEST(meanOriginChunks(retained, 0) < 96 * 1.25);
}

// Guards against members that wait for chunks which others are thought to hold: a fifth of
// the members lost their stages, and a tenth of the other chunks are corrupt.
BOOST_AUTO_TEST_CASE(members_with_lost_and_corrupt_stages_become_complete)
{
    Scenario scenario = killedScenario(SuccessionSimulator::Retention::All);
    scenario.corruptPercent = 10;
    scenario.emptyStageEvery = 5;
    const auto lost = runAll(killedScenario(SuccessionSimulator::Retention::None));
    const auto mixed = runAll(scenario);
    BOOST_TEST_MESSAGE("lost " << meanCompleteMs(lost, 0) << " ms; mixed "
                               << meanCompleteMs(mixed, 0) << " ms, origin "
                               << meanOriginChunks(mixed, 0));
    BOOST_TEST(meanCompleteMs(mixed, 0) < meanCompleteMs(lost, 0));
}
