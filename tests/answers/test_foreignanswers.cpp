/*
 * test_foreignanswers.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A replica may answer a request a second time, late, where the answer to the next request on the
// connection is due. The third such refusal passed for the refusal of the present request, which
// was running: it was sent to another replica as well, or its caller got a 503.

#include <boost/test/unit_test.hpp>

#include "answertexts.h"
#include "gatewayfixture.h"

using namespace Loom;

namespace {

using Answer = ScriptedReplica::Answer;

// Longer than a replica is avoided after a refusal.
constexpr Milliseconds sAfterRefusal{200};

std::string refusal(const std::string &id)
{
    return answerText(503, id, "Loomjunction-Not-Executed: 1\r\n", "");
}

std::string success(const std::string &id)
{
    return answerText(200, id, "Loomjunction-Response-Signature: s\r\n", "of " + id);
}

awaitable<void> waitUntilReady(GatewayFixture &fixture, std::size_t count)
{
    co_await fixture.waitFor([&fixture, count] {
        return fixture.front().isReady() && fixture.replicas().replicas().all().size() == count;
    });
}

/** Lets the only replica refuse the requests "r1" to "r@p count" on one connection. */
awaitable<void> refuseRequests(GatewayFixture &fixture, int count)
{
    for (int number = 1; number <= count; ++number) {
        const auto response
            = co_await fixture.call("POST", "/once/a", "r" + std::to_string(number));
        BOOST_TEST(response->status == 503);
        co_await sleepFor(sAfterRefusal);
    }
}

/** Second refusals of the requests "r1" to "r@p count". */
std::string secondRefusals(int count)
{
    std::string text;
    for (int number = 1; number <= count; ++number) {
        text += refusal("r" + std::to_string(number));
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(late_second_refusals_are_not_taken_for_the_refusal_of_a_running_request)
{
    constexpr int refusedCount = 5;
    GatewayFixture fixture;
    fixture.writeConfig(1);
    ScriptedReplica &first = fixture.addReplica("i-1", "plain", [](const std::string &head) {
        const std::string id = requestIdOf(head);
        const bool isRefused = id != "present";
        return Answer{isRefused ? refusal(id) : secondRefusals(refusedCount) + success(id), false};
    });
    fixture.run([&]() -> awaitable<void> {
        co_await waitUntilReady(fixture, 1);
        co_await refuseRequests(fixture, refusedCount);
        const auto response = co_await fixture.call("POST", "/once/a", "present");
        BOOST_TEST(first.connections() == 1);
        BOOST_TEST(response->status == 200);
        BOOST_TEST(response->body == "of present");
    });
}

BOOST_AUTO_TEST_CASE(a_request_among_second_refusals_runs_at_one_replica_only)
{
    constexpr int refusedCount = 3;
    GatewayFixture fixture;
    fixture.writeConfig(1);
    bool isDone = false;
    fixture.addReplica("i-1", "plain", [&](const std::string &head) {
        const std::string id = requestIdOf(head);
        if (id != "present") {
            return Answer{refusal(id), false};
        }
        return Answer{secondRefusals(refusedCount), false, [&] { return !isDone; }, success(id)};
    });
    fixture.run([&]() -> awaitable<void> {
        co_await waitUntilReady(fixture, 1);
        co_await refuseRequests(fixture, refusedCount);
        asio::co_spawn(
            fixture.context,
            [&]() -> awaitable<void> {
                co_await fixture.waitFor([&] { return fixture.front().inFlight() == 1; });
                co_await sleepFor(sAfterRefusal);
                isDone = true;
            },
            asio::detached);
        ScriptedReplica *second = nullptr;
        asio::co_spawn(
            fixture.context,
            [&]() -> awaitable<void> {
                co_await fixture.waitFor([&] { return fixture.front().inFlight() == 1; });
                second = &fixture.addReplica("i-2", "plain", [](const std::string &head) {
                    return Answer{success(requestIdOf(head)), false};
                });
            },
            asio::detached);
        const auto response = co_await fixture.call("POST", "/once/a", "present");
        BOOST_TEST(response->status == 200);
        BOOST_REQUIRE(second != nullptr);
        BOOST_TEST(second->requests() == 0);
    });
}

BOOST_AUTO_TEST_CASE(more_foreign_refusals_than_requests_leave_the_outcome_unknown)
{
    GatewayFixture fixture;
    fixture.writeConfig(1);
    int sends = 0;
    const auto script = [&](const std::string &) {
        ++sends;
        return Answer{secondRefusals(100), false};
    };
    fixture.addReplica("i-1", "plain", script);
    fixture.addReplica("i-2", "plain", script);
    fixture.run([&]() -> awaitable<void> {
        co_await waitUntilReady(fixture, 2);
        const auto response = co_await fixture.call("POST", "/once/a", "present");
        BOOST_TEST(response->status == 502);
        BOOST_TEST(sends == 1);
    });
}

// Every answer carries the id of its request, so that a refusal without one belongs to none.
BOOST_AUTO_TEST_CASE(a_refusal_that_does_not_name_the_request_leaves_the_outcome_unknown)
{
    const std::string otherId = "Loomjunction-Request-Id: other\r\n";
    const std::string fields = "Loomjunction-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    const std::string ownId = "Loomjunction-Request-Id: present\r\n";
    for (const std::string &ids : {std::string(), ownId + otherId, otherId + ownId}) {
        for (const std::string &status : {std::string("503 X"), std::string("421 X")}) {
            GatewayFixture fixture;
            fixture.writeConfig(1);
            int sends = 0;
            const auto script = [&](const std::string &) {
                ++sends;
                return Answer{"HTTP/1.1 " + status + "\r\n" + ids + fields, true};
            };
            fixture.addReplica("i-1", "plain", script);
            fixture.addReplica("i-2", "plain", script);
            fixture.run([&]() -> awaitable<void> {
                co_await waitUntilReady(fixture, 2);
                const auto response = co_await fixture.call("POST", "/once/a", "present");
                BOOST_TEST(response->status == 502);
                BOOST_TEST(sends == 1);
            });
        }
    }
}
