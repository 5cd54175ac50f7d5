/*
 * test_adoptedchunks.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "chunkplan.h"
#include "fakelog.h"

#include <set>

using namespace Loom;

namespace {

constexpr std::uint32_t sChunks = 96;
constexpr Milliseconds sPullInterval{38};

/** A plan of the only member that starts at @p startedAtMs and has adopted @p adopted chunks. */
ChunkPlan planWith(std::uint32_t adopted, int startedAtMs)
{
    ChunkPlan::Options options;
    options.maxOriginRequests = 100;
    options.originPullInterval = sPullInterval;
    options.originPullStart = at(150);
    ChunkPlan plan("digest", sChunks, {"box-1", "dc-1"}, options, at(startedAtMs));
    for (std::uint32_t index = 0; index < adopted; ++index) {
        plan.addStored(index);
    }
    return plan;
}

std::set<std::uint32_t> pullsAt(ChunkPlan &plan, int timeMs)
{
    std::set<std::uint32_t> indexes;
    for (const ChunkFetch &fetch : plan.next(at(timeMs))) {
        indexes.insert(fetch.index);
    }
    return indexes;
}

} // namespace

// Guards against an idle origin after a restart: the first missing chunk waited for the turns
// of all adopted ones, 3 s for 80 of 96 chunks.
BOOST_AUTO_TEST_CASE(adopted_chunks_take_no_turns_at_the_origin)
{
    ChunkPlan plan = planWith(80, 10'000);
    BOOST_TEST(pullsAt(plan, 10'000) == std::set<std::uint32_t>{80},
               boost::test_tools::per_element());
    BOOST_TEST(pullsAt(plan, 10'038) == std::set<std::uint32_t>{81},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(adoption_during_a_fetch_moves_later_pulls_up)
{
    ChunkPlan plan = planWith(0, 10'000);
    BOOST_TEST(pullsAt(plan, 10'000) == std::set<std::uint32_t>{0},
               boost::test_tools::per_element());
    for (std::uint32_t index = 1; index < 90; ++index) {
        plan.addStored(index);
    }
    BOOST_TEST(pullsAt(plan, 10'038) == std::set<std::uint32_t>{90},
               boost::test_tools::per_element());
}

// Guards against takeovers from an agent that alone has restarted: the others expect its pulls
// at the scheduled times, not after its start.
BOOST_AUTO_TEST_CASE(adoption_does_not_delay_a_scheduled_pull)
{
    ChunkPlan plan = planWith(10, 2'000);
    const std::set<std::uint32_t> due = pullsAt(plan, 2'000);
    BOOST_TEST(due.contains(10));
    BOOST_TEST(due.contains(48)); // due at 150 + 48 * 38 ms
    BOOST_TEST(!due.contains(49));
}

// Guards against a second transfer of a chunk whose request fails after it was adopted.
BOOST_AUTO_TEST_CASE(a_chunk_adopted_during_its_request_is_complete)
{
    ChunkPlan plan = planWith(95, 10'000);
    BOOST_TEST(pullsAt(plan, 10'000) == std::set<std::uint32_t>{95},
               boost::test_tools::per_element());
    plan.addStored(95);
    BOOST_TEST(plan.isComplete());
    plan.failed(95, FromOrigin{}, ChunkFailure::Gone, at(10'100));
    BOOST_TEST(plan.isComplete());
    BOOST_TEST(pullsAt(plan, 20'000).empty());
}
