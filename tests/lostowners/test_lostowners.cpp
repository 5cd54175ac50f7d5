/*
 * test_lostowners.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE lostowners
#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "swarmsimulator.h"

using namespace Loom;

// Guards against a stall after owners are killed while the origin sends the last chunks,
// shortly before it fails itself. Two chunks were lost with their owners, and all members
// waited for the origin's return:
//   fetch-stalled version=2 have=46 unheld=2 owner=(a killed box)
BOOST_AUTO_TEST_CASE(chunks_of_killed_owners_are_taken_over_before_the_origin_fails)
{
    for (const int killedAtMs : {1'450, 1'600, 1'700}) {
        SwarmSimulator::Scenario scenario;
        for (int i = 0; i < 76; ++i) {
            scenario.members.push_back({"box-" + std::to_string(i), "dc-" + std::to_string(i % 3)});
        }
        scenario.originRate = 1'125; // 9 Mbit/s
        scenario.originFailsMs = 2'500;
        scenario.maxStartDelayMs = 100;
        scenario.killedAtMs = killedAtMs;
        for (int i = 0; i < 6; ++i) {
            scenario.killed.insert("box-" + std::to_string(i * 12 + 3));
        }
        ChunkPlan::Options options;
        options.neighbourCount = 12;
        options.hasSingleImport = true;
        options.maxTakeoverDelay = Milliseconds(2'000);
        options.maxOriginRequests = 1;
        options.maxPeerRequests = 3;
        options.originPullInterval = Microseconds(37'000);
        options.originPullStart = at(150);
        const SwarmSimulator::Result result = SwarmSimulator(scenario, options).run(20'000);
        BOOST_TEST_MESSAGE("last " << result.allCompleteMs << " ms, origin "
                                   << result.originChunks);
        BOOST_TEST(result.allCompleteMs > 0);
        BOOST_TEST(result.allCompleteMs < 5'000);
        BOOST_TEST(result.originChunks <= scenario.chunkCount * 13 / 10);
    }
}
