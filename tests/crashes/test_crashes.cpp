/*
 * test_crashes.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A caller's request ended every replica that began to run it, and came again at other
// gateways, each time with a new id. Nobody connected the attempts: what a call had broken
// was forgotten with the call, and every budget counted calls, gateways or replicas. In
// 17 seconds 41 replicas ended under one request.
//
//   45.655 s  its run ends: crashed                   (first replica of this attempt)
//   45.674 s  reaches server i-bb429b8f76 from the same gateway
//   45.899 s  its run ends: crashed
//   "event":"call", "status":502, "outcome":"unknown", "reason":"connection closed", "sends":2
//
// All 16 replicas that ended while logs were kept had broken a call of the same account on
// the same route, beside up to 16 calls of others.

#define BOOST_TEST_MODULE crashes
#include <boost/test/unit_test.hpp>

#include "crashfleet.h"

#include <map>

using namespace Loom;

namespace {

// What may run under one request: the replicas that have to end before anybody can know,
// and the retries that are allowed after that.
constexpr int sMostSends = 3 + 3;
constexpr int sReturns = 20;
constexpr std::chrono::milliseconds sReturnPause{20};
constexpr std::chrono::seconds sGenerous{20};

} // namespace

BOOST_AUTO_TEST_CASE(a_request_under_which_replicas_end_is_stopped_whichever_gateway_it_meets)
{
    CrashFleet fleet(3, 24);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        int refused = 0;
        for (int i = 0; i < sReturns; ++i) {
            const auto response
                = co_await fleet.call(static_cast<std::size_t>(i % 3), std::string(sCrashing));
            refused += response.status == 503 ? 1 : 0;
        }
        BOOST_TEST(fleet.reached(sCrashing) <= sMostSends);
        BOOST_TEST(refused >= sReturns - sMostSends);
        const auto other = co_await fleet.call(0, "another body");
        BOOST_TEST(other.status == 200);
    });
}

BOOST_AUTO_TEST_CASE(gateways_that_begin_after_all_others_were_killed_know_it_too)
{
    CrashFleet fleet(2, 24);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        for (int i = 0; i < sReturns; ++i) {
            co_await fleet.call(static_cast<std::size_t>(i % 2), std::string(sCrashing));
        }
        const int before = fleet.reached(sCrashing);
        BOOST_TEST(before <= sMostSends);
        fleet.gateway(0).kill();
        fleet.gateway(1).kill();
        fleet.addGateway();
        co_await fleet.waitFor([&] { return fleet.gateway(2).isReady(24, 0); });
        for (int i = 0; i < sReturns; ++i) {
            co_await fleet.call(2, std::string(sCrashing));
        }
        BOOST_TEST(fleet.reached(sCrashing) == before);
    });
}

// Guards against a quarantine that ends with the gateways that know it, after the store has lost
// its record.
BOOST_AUTO_TEST_CASE(a_quarantined_request_is_recorded_again_after_a_restore)
{
    CrashFleet fleet(2, 24);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        const auto isRecorded
            = [&] { return fleet.store.hasKeyWithPrefix(Feed::Members, sQuarantineKeys); };
        fleet.store.copy();
        for (int i = 0; i < sReturns; ++i) {
            co_await fleet.call(static_cast<std::size_t>(i % 2), std::string(sCrashing));
        }
        co_await fleet.waitFor(isRecorded);
        co_await sleepFor(std::chrono::milliseconds(500)); // until the gateways have read it
        fleet.store.restore();
        BOOST_TEST(!isRecorded());
        co_await fleet.waitFor(isRecorded);
        const int before = fleet.reached(sCrashing);
        fleet.gateway(0).kill();
        fleet.gateway(1).kill();
        fleet.addGateway();
        co_await fleet.waitFor([&] { return fleet.gateway(2).isReady(24, 0); });
        co_await fleet.call(2, std::string(sCrashing));
        BOOST_TEST(fleet.reached(sCrashing) == before);
    });
}

// Each is another request. One whose two attempts both met a replica that ended has had all
// that its route allows; every other one is served.
BOOST_AUTO_TEST_CASE(callers_that_lost_their_run_beside_it_are_served)
{
    CrashFleet fleet(2, 12);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        constexpr int held = 24;
        std::map<std::string, int> statuses;
        for (int i = 0; i < held; ++i) {
            asio::co_spawn(
                fleet.context,
                [&, i]() -> awaitable<void> {
                    const std::string body = std::string(sHolding) + std::to_string(i);
                    const auto response
                        = co_await fleet.call(static_cast<std::size_t>(i % 2), body);
                    statuses[body] = response.status;
                },
                asio::detached);
        }
        co_await fleet.waitFor([&] { return fleet.reached(sHolding) >= held; });
        co_await fleet.call(0, std::string(sCrashing));
        BOOST_TEST(fleet.ended() == 2);
        for (const auto &replica : fleet.replicas()) {
            replica->letGo();
        }
        co_await fleet.waitFor([&] { return statuses.size() == held; });
        for (const auto &[body, status] : statuses) {
            BOOST_TEST((status == 200 || fleet.endedUnder(body) == 2));
            const auto again = co_await fleet.call(1, body);
            BOOST_TEST(again.status == 200);
        }
    });
}

BOOST_AUTO_TEST_CASE(a_replica_that_resets_connections_and_lives_convicts_nobody)
{
    CrashFleet fleet(1, 4);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        int served = 0;
        const auto until = std::chrono::steady_clock::now() + sGenerous;
        while (served == 0 && std::chrono::steady_clock::now() < until) {
            const auto response = co_await fleet.call(0, std::string(sResetting));
            served += response.status == 200 ? 1 : 0;
            co_await sleepFor(sReturnPause);
        }
        BOOST_TEST(served == 1);
        BOOST_TEST(fleet.reached(sResetting) > 3);
    });
}
