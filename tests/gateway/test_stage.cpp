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

constexpr std::chrono::seconds sTestTimeout{20};

const std::string sConfig = R"({"version":1,"routes":[],"services":[
    {"name":"weights","origin":"127.0.0.1:9","link_mbps":9.0},
    {"name":"engine","engine":{"slots":4,"step_ms":5,"read_per_s":100000,"stride":1,"layers":1,
     "usual":{"prompt":10,"answer":10},"models":[{"name":"m"}]}}]})";

std::string versionRecord(int version)
{
    return R"({"model":"m","version":)" + std::to_string(version) + "}";
}

awaitable<void> waitFor(std::function<bool()> condition)
{
    const auto until = std::chrono::steady_clock::now() + sTestTimeout;
    while (!condition()) {
        BOOST_REQUIRE(std::chrono::steady_clock::now() < until);
        co_await sleepFor(std::chrono::milliseconds(5));
    }
}

void runTest(asio::io_context &context, std::function<awaitable<void>()> test)
{
    std::exception_ptr thrown;
    asio::co_spawn(context, std::move(test), [&](std::exception_ptr error) {
        thrown = error;
        context.stop();
    });
    context.run();
    if (thrown) {
        std::rethrow_exception(thrown);
    }
}

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
    store.write(Feed::Operators, "config", sConfig);
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
    store.write(Feed::Operators, "config", sConfig);
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
