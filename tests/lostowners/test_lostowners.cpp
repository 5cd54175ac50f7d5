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
#include "swarmlab.h"

using namespace Loom;

// Some boxes are killed while the last chunks leave the origin, which dies soon after.
// Two chunks had left with their owners, and everybody waited for the origin's return:
//   fetch-stalled version=2 have=46 unheld=2 owner=(a box that had been killed)
BOOST_AUTO_TEST_CASE(chunks_whose_owners_were_killed_leave_an_origin_that_dies_soon)
{
    for (const int killed : {1'450, 1'600, 1'700}) {
        SwarmLab::Shape shape;
        for (int i = 0; i < 76; ++i) {
            shape.members.push_back({"box-" + std::to_string(i), "dc-" + std::to_string(i % 3)});
        }
        shape.originRate = 1'125; // 9 Mbit/s
        shape.originDiesMs = 2'500;
        shape.mostBeginMs = 100;
        shape.deadFromMs = killed;
        for (int i = 0; i < 6; ++i) {
            shape.dead.insert("box-" + std::to_string(i * 12 + 3));
        }
        ChunkPlan::Options options;
        options.neighbours = 12;
        options.nearOnly = true;
        options.takeover = Milliseconds(2'000);
        options.originParallel = 1;
        options.peerParallel = 3;
        options.originSpacing = Microseconds(37'000);
        options.originFrom = at(150);
        const SwarmLab::Result result = SwarmLab(shape, options).play(20'000);
        BOOST_TEST_MESSAGE("last " << result.lastMs << " ms, origin " << result.originChunks);
        BOOST_TEST(result.lastMs > 0);
        BOOST_TEST(result.lastMs < 5'000);
        BOOST_TEST(result.originChunks <= shape.chunkCount * 13 / 10);
    }
}
