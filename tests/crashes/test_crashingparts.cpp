/*
 * test_crashingparts.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Requests that shared one part of their prompts, no two alike, crashed replica after replica:
// crashes were counted by whole request only.

#include "crashfleet.h"

#include <boost/test/unit_test.hpp>

using namespace Loom;

namespace {

constexpr std::size_t sReplicas = 24;
constexpr int sRequests = 20;
// The part must be refused once five replicas have crashed under it.
constexpr int sMaxCrashes = 5;

std::string crashingParts(int number)
{
    return "a0:40," + std::string(sCrashingPart) + ":300,f" + std::to_string(number) + ":20";
}

std::string soundParts(int number)
{
    return "a0:40,b" + std::to_string(number % 3) + ":300,e" + std::to_string(number) + ":20";
}

std::string numbered(const std::string &text, int number)
{
    return text + std::to_string(number);
}

awaitable<void> serveSoundRequests(CrashFleet &fleet, std::size_t gateways)
{
    for (int i = 0; i < sRequests; ++i) {
        const auto response = co_await fleet.call(static_cast<std::size_t>(i) % gateways,
                                                  numbered("sound", i), soundParts(i));
        BOOST_TEST(response.status == 200);
    }
}

awaitable<int> refusedCrashingRequests(CrashFleet &fleet, std::size_t gateways, int first)
{
    int refused = 0;
    for (int i = first; i < first + sRequests; ++i) {
        const auto response = co_await fleet.call(static_cast<std::size_t>(i) % gateways,
                                                  numbered("unlike", i), crashingParts(i));
        refused += response.status == 503 ? 1 : 0;
    }
    co_return refused;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_parts)

BOOST_AUTO_TEST_CASE(requests_that_share_a_crashing_part_are_refused_at_any_gateway)
{
    CrashFleet fleet(3, sReplicas);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        co_await serveSoundRequests(fleet, 3);
        const int refused = co_await refusedCrashingRequests(fleet, 3, 0);
        BOOST_TEST(fleet.crashingPartSends() <= sMaxCrashes);
        BOOST_TEST(refused >= sRequests - sMaxCrashes);
        co_await serveSoundRequests(fleet, 3);
    });
}

BOOST_AUTO_TEST_CASE(gateways_that_start_after_all_others_were_killed_refuse_a_crashing_part)
{
    CrashFleet fleet(2, sReplicas);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        co_await serveSoundRequests(fleet, 2);
        co_await refusedCrashingRequests(fleet, 2, 0);
        const int before = fleet.crashingPartSends();
        BOOST_TEST(before <= sMaxCrashes);
        fleet.gateway(0).kill();
        fleet.gateway(1).kill();
        fleet.addGateway();
        co_await fleet.waitFor([&] { return fleet.gateway(2).isReady(sReplicas, 0); });
        for (int i = 0; i < sRequests; ++i) {
            co_await fleet.call(2, numbered("later", i), crashingParts(sRequests + i));
        }
        BOOST_TEST(fleet.crashingPartSends() == before);
    });
}

// The connection of a replica that crashes is closed like that of one whose answer is complete.
BOOST_AUTO_TEST_CASE(an_answer_without_length_is_not_complete_if_its_replica_crashed)
{
    CrashFleet fleet(1, sReplicas);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        for (const auto &replica : fleet.replicas()) {
            replica->setCrashMoment(CrashMoment::DuringUnframedBody);
        }
        const auto answer = co_await fleet.tryCall(0, "/safe/a", "unlike", crashingParts(0));
        BOOST_TEST((!answer || answer->status != 200));
        const auto stream = co_await fleet.tryCall(0, "/stream/a", "unlike too", crashingParts(1));
        BOOST_TEST((!stream || stream->status != 200));
    });
}

BOOST_AUTO_TEST_CASE(crashes_during_answers_without_length_count_for_the_part)
{
    CrashFleet fleet(3, sReplicas);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        co_await serveSoundRequests(fleet, 3);
        for (const auto &replica : fleet.replicas()) {
            replica->setCrashMoment(CrashMoment::DuringUnframedBody);
        }
        const int refused = co_await refusedCrashingRequests(fleet, 3, 0);
        BOOST_TEST(fleet.crashingPartSends() <= sMaxCrashes);
        BOOST_TEST(refused >= sRequests - sMaxCrashes);
    });
}

BOOST_AUTO_TEST_SUITE_END()
