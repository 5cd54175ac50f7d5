/*
 * test_stage.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "stagingfixture.h"

using namespace Loom;

namespace {

// The origin needs 2.5 s to send a copy.
const std::string sSlowOriginConfig = R"({"version":1,"routes":[],"services":[
    {"name":"weights","origin":"127.0.0.1:9","link_mbps":0.01},
    {"name":"engine","engine":{"slots":4,"step_ms":5,"read_per_s":100000,"stride":1,"layers":1,
     "usual":{"prompt":10,"answer":10},"models":[{"name":"m"}]}}]})";

} // namespace

// Guards against missing chunks of an older version. Two versions were published two
// seconds apart; agents were killed in between and restarted at once. They fetched only
// the second version, so that all others lacked their chunks of the first one until the
// origin returned:
//   fetch-begun   version=3 (an agent started at 20.0 s; no fetch of version 2)
//   fetch-stalled version=2 have=45 unheld=3 owner=(a restarted box)
BOOST_AUTO_TEST_CASE(a_starting_agent_joins_the_fetch_of_an_older_version)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    store.write(Feed::Operators, "config", sStagingConfig);
    store.write(Feed::Operators, "version/m", versionRecord(1));
    StagingFixture first(context, store, "box-1");
    first.engine.unavailableVersions = {2, 3};
    StagingFixture second(context, store, "box-2");
    second.engine.unavailableVersions = {3};
    first.start();
    runTest(context, [&]() -> awaitable<void> {
        // The loaded version is in the store, too, but a starting agent does not need it.
        co_await waitFor([&] { return first.engine.servedChunks >= FakeEngine::sChunks; });
        store.write(Feed::Operators, "version/m", versionRecord(2));
        co_await waitFor([&] { return first.engine.requestedVersions.contains(2); });
        store.write(Feed::Operators, "version/m", versionRecord(3));
        co_await waitFor([&] { return first.engine.requestedVersions.contains(3); });
        second.start();
        co_await waitFor([&] { return second.engine.requestedVersions.contains(2); });
        co_await waitFor([&] { return first.engine.loaded == 2; });
        BOOST_TEST(second.engine.ordersOnIncompleteStage == 0);
    });
}

// Guards against ordering a load from an engine that restarted and lost its staging area
// right after this was verified. The new incarnation has accepted no order either, so the
// number of accepted orders does not reveal the restart.
BOOST_AUTO_TEST_CASE(no_load_is_ordered_on_the_lost_stage_of_a_restarted_engine)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    store.write(Feed::Operators, "config", sStagingConfig);
    store.write(Feed::Operators, "version/m", versionRecord(2));
    StagingFixture fixture(context, store, "box-1");
    int completeReads = 0;
    fixture.engine.onStageGet = [&](std::uint32_t index) {
        const bool isWhole = fixture.engine.stage.size() == FakeEngine::sChunks;
        if (isWhole && index + 1 == FakeEngine::sChunks && ++completeReads == 1) {
            fixture.engine.stage.clear();
            fixture.engine.born += 1;
        }
    };
    fixture.start();
    runTest(context, [&]() -> awaitable<void> {
        co_await waitFor([&] { return fixture.engine.loaded == 2; });
        BOOST_TEST(fixture.engine.ordersOnIncompleteStage == 0);
        BOOST_TEST(fixture.engine.loadOrders == 1);
    });
}

// Guards against two fetches that share the origin's link. Two versions were published 2 s
// apart while the store was silent, so that agents received both within milliseconds. 14 of
// 45 agents fetched the older one as well, and the newer one was incomplete 7.7 s later:
//   fetch-begun version=2, fetch-begun version=3 (within 0.1 s)
BOOST_AUTO_TEST_CASE(a_version_received_right_before_a_newer_one_is_not_fetched)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    store.write(Feed::Operators, "config", sSlowOriginConfig);
    store.write(Feed::Operators, "version/m", versionRecord(1));
    StagingFixture fixture(context, store, "box-1");
    fixture.start();
    runTest(context, [&]() -> awaitable<void> {
        co_await waitFor([&] { return fixture.engine.requestedVersions.contains(1); });
        store.write(Feed::Operators, "version/m", versionRecord(2));
        co_await waitFor([&] { return fixture.engine.requestedVersions.contains(2); });
        store.write(Feed::Operators, "version/m", versionRecord(3));
        co_await waitFor([&] { return fixture.engine.loaded == 3; });
        BOOST_TEST(fixture.engine.servedByVersion[2] < FakeEngine::sChunks / 4);
        BOOST_TEST(fixture.engine.loadedVersions.size() == 1U);
    });
}

// Guards against cancelling a fetch that is well ahead. The older version is due earlier, and
// the origin may fail before it has sent the newer one.
BOOST_AUTO_TEST_CASE(a_version_received_long_before_a_newer_one_is_loaded_first)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    store.write(Feed::Operators, "config", sSlowOriginConfig);
    store.write(Feed::Operators, "version/m", versionRecord(1));
    StagingFixture fixture(context, store, "box-1");
    fixture.start();
    runTest(context, [&]() -> awaitable<void> {
        co_await waitFor([&] { return fixture.engine.requestedVersions.contains(1); });
        store.write(Feed::Operators, "version/m", versionRecord(2));
        co_await waitFor(
            [&] { return fixture.engine.servedByVersion[2] >= FakeEngine::sChunks / 2; });
        store.write(Feed::Operators, "version/m", versionRecord(3));
        co_await waitFor([&] { return fixture.engine.loaded == 3; });
        BOOST_TEST(fixture.engine.loadedVersions == (std::vector<std::uint64_t>{2, 3}),
                   boost::test_tools::per_element());
        BOOST_TEST(fixture.engine.ordersOnMixedStage == 0);
    });
}

// Guards against a version that is fetched by nobody: the newer version's manifest cannot be
// had, so the older version is the only one that can be loaded.
BOOST_AUTO_TEST_CASE(an_older_version_is_fetched_while_the_newer_manifest_is_missing)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    store.write(Feed::Operators, "config", sSlowOriginConfig);
    store.write(Feed::Operators, "version/m", versionRecord(1));
    StagingFixture fixture(context, store, "box-1");
    fixture.engine.missingManifests = {3};
    fixture.start();
    runTest(context, [&]() -> awaitable<void> {
        co_await waitFor([&] { return fixture.engine.requestedVersions.contains(1); });
        store.write(Feed::Operators, "version/m", versionRecord(2));
        co_await waitFor([&] { return fixture.engine.requestedVersions.contains(2); });
        store.write(Feed::Operators, "version/m", versionRecord(3));
        co_await waitFor([&] { return fixture.engine.loaded == 2; });
    });
}

// Guards against an agent that joins the fetch of an outdated version: the peer still fetches
// it because it lacks the newer manifest, but received both versions at nearly the same time.
BOOST_AUTO_TEST_CASE(a_starting_agent_does_not_join_the_fetch_of_a_skipped_version)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    store.write(Feed::Operators, "config", sSlowOriginConfig);
    store.write(Feed::Operators, "version/m", versionRecord(1));
    StagingFixture first(context, store, "box-1");
    first.engine.missingManifests = {3};
    first.engine.unavailableVersions = {2};
    StagingFixture second(context, store, "box-2");
    first.start();
    runTest(context, [&]() -> awaitable<void> {
        co_await waitFor([&] { return first.engine.requestedVersions.contains(1); });
        store.write(Feed::Operators, "version/m", versionRecord(2));
        co_await waitFor([&] { return first.engine.requestedVersions.contains(2); });
        store.write(Feed::Operators, "version/m", versionRecord(3));
        second.start();
        co_await waitFor([&] { return second.engine.loaded == 3; });
        BOOST_TEST(!second.engine.requestedVersions.contains(2));
    });
}

// Guards against losing all chunks with the agent's process. All agents were killed with the
// newest version incomplete after 7.7 s; each started again with 0 chunks and needed another
// 7.8 s:
//   stage-adopted version=3 chunks=0 (45 agents)
BOOST_AUTO_TEST_CASE(chunks_outlive_an_agent_that_is_killed_during_a_fetch)
{
    std::map<std::uint32_t, std::string> stage;
    {
        asio::io_context context{1};
        MemoryStore store(context.get_executor());
        store.write(Feed::Operators, "config", sSlowOriginConfig);
        store.write(Feed::Operators, "version/m", versionRecord(2));
        StagingFixture killed(context, store, "box-1");
        killed.start();
        runTest(context, [&]() -> awaitable<void> {
            co_await waitFor([&] { return killed.engine.servedChunks >= FakeEngine::sChunks / 2; });
            co_await sleepFor(std::chrono::milliseconds(100));
        });
        stage = killed.engine.stage;
    }
    BOOST_TEST(stage.size() >= FakeEngine::sChunks / 2);
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    store.write(Feed::Operators, "config", sSlowOriginConfig);
    store.write(Feed::Operators, "version/m", versionRecord(2));
    StagingFixture restarted(context, store, "box-1");
    restarted.engine.stage = stage;
    restarted.start();
    runTest(context, [&]() -> awaitable<void> {
        co_await waitFor([&] { return restarted.engine.loaded == 2; });
        BOOST_TEST(restarted.engine.servedChunks <= FakeEngine::sChunks - stage.size());
        BOOST_TEST(restarted.engine.ordersOnIncompleteStage == 0);
    });
}

// Guards against passing over intact chunks because the first one is of another version, and
// against loading corrupt ones.
BOOST_AUTO_TEST_CASE(intact_staged_chunks_are_adopted_at_any_index)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    store.write(Feed::Operators, "config", sStagingConfig);
    store.write(Feed::Operators, "version/m", versionRecord(2));
    StagingFixture fixture(context, store, "box-1");
    for (std::uint32_t index = 0; index < FakeEngine::sChunks; ++index) {
        fixture.engine.stage[index] = FakeEngine::chunkOf(2, index);
    }
    fixture.engine.stage[0] = FakeEngine::chunkOf(1, 0);
    fixture.engine.stage[3][5] ^= 1;
    fixture.engine.stage.erase(7);
    fixture.start();
    runTest(context, [&]() -> awaitable<void> {
        co_await waitFor([&] { return fixture.engine.loaded == 2; });
        BOOST_TEST(fixture.engine.servedChunks == 3U);
        BOOST_TEST(fixture.engine.ordersOnMixedStage == 0);
        BOOST_TEST(fixture.engine.ordersOnIncompleteStage == 0);
    });
}

// Guards against a request for each chunk at the start of a fetch, when the stage is empty.
BOOST_AUTO_TEST_CASE(an_empty_stage_is_searched_with_one_request)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    store.write(Feed::Operators, "config", sStagingConfig);
    store.write(Feed::Operators, "version/m", versionRecord(2));
    StagingFixture fixture(context, store, "box-1");
    int readsOfEmptyStage = 0;
    fixture.engine.onStageGet
        = [&](std::uint32_t) { readsOfEmptyStage += fixture.engine.stage.empty() ? 1 : 0; };
    fixture.start();
    runTest(context, [&]() -> awaitable<void> {
        co_await waitFor([&] { return fixture.engine.loaded == 2; });
        BOOST_TEST(readsOfEmptyStage == 0);
        BOOST_TEST(fixture.engine.listReads == 1);
    });
}

// Guards against a chunk that reads back wrong after it was written: only a repaired stage may
// be loaded, and the chunk comes from memory.
BOOST_AUTO_TEST_CASE(a_chunk_that_turns_corrupt_in_the_stage_is_written_again)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    store.write(Feed::Operators, "config", sStagingConfig);
    store.write(Feed::Operators, "version/m", versionRecord(2));
    StagingFixture fixture(context, store, "box-1");
    bool hasCorrupted = false;
    fixture.engine.onStageGet = [&](std::uint32_t) {
        if (!std::exchange(hasCorrupted, true)) {
            fixture.engine.stage[5][1] ^= 1;
        }
    };
    fixture.start();
    runTest(context, [&]() -> awaitable<void> {
        co_await waitFor([&] { return fixture.engine.loaded == 2; });
        BOOST_TEST(hasCorrupted);
        BOOST_TEST(fixture.engine.ordersOnMixedStage == 0);
        BOOST_TEST(fixture.engine.servedChunks == FakeEngine::sChunks);
    });
}

// Guards against writing to a stage that a load reads. The load was ordered by an agent that
// was killed since.
BOOST_AUTO_TEST_CASE(nothing_is_written_to_the_stage_during_a_load)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    store.write(Feed::Operators, "config", sStagingConfig);
    store.write(Feed::Operators, "version/m", versionRecord(2));
    StagingFixture fixture(context, store, "box-1");
    fixture.engine.isBusy = true;
    fixture.start();
    runTest(context, [&]() -> awaitable<void> {
        co_await waitFor([&] { return fixture.engine.servedChunks == FakeEngine::sChunks; });
        co_await sleepFor(std::chrono::milliseconds(300));
        BOOST_TEST(fixture.engine.stage.empty());
        fixture.engine.isBusy = false;
        co_await waitFor([&] { return fixture.engine.loaded == 2; });
        BOOST_TEST(fixture.engine.putsWhileBusy == 0);
    });
}

// Guards against a load of mixed weights: a chunk of the newer version was being written when
// the older one became complete, and took effect after the stage was verified.
BOOST_AUTO_TEST_CASE(an_open_write_ends_before_the_stage_is_verified)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    store.write(Feed::Operators, "config", sSlowOriginConfig);
    store.write(Feed::Operators, "version/m", versionRecord(2));
    StagingFixture fixture(context, store, "box-1");
    fixture.engine.putDuration = Milliseconds(400);
    fixture.engine.loaded = 0; // an empty engine loads at once, without waiting for its turn
    fixture.start();
    runTest(context, [&]() -> awaitable<void> {
        co_await waitFor(
            [&] { return fixture.engine.servedByVersion[2] >= FakeEngine::sChunks / 3; });
        fixture.engine.unavailableVersions = {2};
        store.write(Feed::Operators, "version/m", versionRecord(3));
        // The newer version takes over the stage.
        co_await waitFor([&] {
            return std::ranges::any_of(fixture.engine.stage, [](const auto &piece) {
                return piece.second == FakeEngine::chunkOf(3, piece.first);
            });
        });
        fixture.engine.unavailableVersions = {3};
        co_await waitFor([&] { return fixture.engine.loaded == 2; });
        fixture.engine.unavailableVersions.clear();
        co_await waitFor([&] { return fixture.engine.loaded == 3; });
        BOOST_TEST(fixture.engine.ordersOnMixedStage == 0);
    });
}
