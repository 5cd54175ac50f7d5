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

// Two versions two seconds apart; agents are killed between them and are back at once.
// They fetched the second only, so that their chunks of the first were missing at all
// others until the origin returned:
//   fetch-begun   version=3 (an agent that began at 20.0 s; none of version 2)
//   fetch-stalled version=2 have=45 unheld=3 owner=(a box that had begun again)
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
        // What runs lies in the store, too, and is of no use to an agent that begins.
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

// An engine loses power right after its stage was found right. Its next life has taken
// no order either, so the number of orders does not tell them apart.
BOOST_AUTO_TEST_CASE(no_load_is_ordered_on_the_lost_stage_of_a_restarted_engine)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    store.write(Feed::Operators, "config", sConfig);
    store.write(Feed::Operators, "version/m", versionRecord(2));
    StagingFixture lab(context, store, "box-1");
    int completeReads = 0;
    lab.engine.onStageGet = [&](std::uint32_t index) {
        const bool isWhole = lab.engine.stage.size() == FakeEngine::sChunks;
        if (isWhole && index + 1 == FakeEngine::sChunks && ++completeReads == 1) {
            lab.engine.stage.clear();
            lab.engine.born += 1;
        }
    };
    lab.start();
    runTest(context, [&]() -> awaitable<void> {
        co_await waitFor([&] { return lab.engine.loaded == 2; });
        BOOST_TEST(lab.engine.ordersOnIncompleteStage == 0);
        BOOST_TEST(lab.engine.loadOrders == 1);
    });
}
