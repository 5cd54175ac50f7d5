/*
 * test_suspended.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A box may be suspended for seconds, during which the monotonic clock stops. When all ages and
// limits were measured with that clock, a gateway that had been suspended for nine seconds used
// expired weights, a stale configuration, and a connection that the replica had already closed.

#define BOOST_TEST_MODULE suspended
#include <boost/test/unit_test.hpp>

#include "bootclock.h"
#include "gatewayfixture.h"
#include "loopwatch.h"
#include "suspendedclock.h"

using namespace Loom;

namespace {

std::string answerTo(const std::string &head, const std::string &more = "")
{
    return "HTTP/1.1 200 X\r\nLoomjunction-Request-Id: " + requestIdOf(head) + "\r\n" + more
        + "Loomjunction-Response-Signature: s\r\nContent-Length: 5\r\n\r\nwhole";
}

ScriptedReplica::Answer succeeds(const std::string &head)
{
    return {answerTo(head), false};
}

ScriptedReplica::Answer keepsAliveTwoSeconds(const std::string &head)
{
    return {answerTo(head, "Keep-Alive: timeout=2\r\n"), false};
}

awaitable<void> waitUntilReady(GatewayFixture &fixture)
{
    co_await fixture.waitFor([&fixture] {
        return fixture.front().isReady() && fixture.replicas().replicas().all().size() == 1;
    });
}

} // namespace

BOOST_AUTO_TEST_CASE(weights_that_expired_during_a_suspension_start_no_request)
{
    SuspendedClock clock;
    GatewayFixture fixture;
    fixture.writeConfig(1);
    ScriptedReplica &replica = fixture.addReplica("i-1", "engine", succeeds);
    fixture.run([&]() -> awaitable<void> {
        co_await waitUntilReady(fixture);
        MemberBounds bounds;
        bounds.weightsGracePeriod = Milliseconds(8'000);
        bounds.maxConfigAge = Milliseconds(600'000);
        fixture.config().setBounds(bounds);
        fixture.store.write(Feed::Operators, "version/m", R"({"model":"m","version":2})");
        co_await fixture.waitFor(
            [&fixture] { return fixture.config().weights().newest("m") == 2; });
        clock.suspend(std::chrono::seconds(9));
        const auto response = co_await fixture.call("POST", "/patient/a", "id1");
        BOOST_TEST(response->status == 503);
        BOOST_TEST(replica.requests() == 0);
    });
}

BOOST_AUTO_TEST_CASE(a_configuration_from_before_a_suspension_causes_no_permanent_errors)
{
    SuspendedClock clock;
    GatewayFixture fixture;
    fixture.writeConfig(1);
    fixture.addReplica("i-1", "plain", succeeds);
    fixture.run([&]() -> awaitable<void> {
        co_await waitUntilReady(fixture);
        MemberBounds bounds;
        bounds.maxConfigAge = Milliseconds(60'000);
        fixture.config().setBounds(bounds);
        const auto before = co_await fixture.call("POST", "/nowhere/a", "id1");
        BOOST_TEST(before->status == 404);
        fixture.store.isUnreachable = true;
        clock.suspend(std::chrono::seconds(61));
        const auto after = co_await fixture.call("POST", "/nowhere/a", "id2");
        BOOST_TEST(after->status == 503);
    });
}

BOOST_AUTO_TEST_CASE(a_connection_idle_over_a_suspension_is_not_reused)
{
    SuspendedClock clock;
    GatewayFixture fixture;
    fixture.writeConfig(1);
    ScriptedReplica &replica = fixture.addReplica("i-1", "plain", keepsAliveTwoSeconds);
    fixture.run([&]() -> awaitable<void> {
        co_await waitUntilReady(fixture);
        co_await fixture.call("POST", "/once/a", "id1");
        co_await fixture.call("POST", "/once/a", "id2");
        BOOST_TEST(replica.closed() == 0);
        clock.suspend(std::chrono::seconds(3));
        const auto response = co_await fixture.call("POST", "/once/a", "id3");
        BOOST_TEST(response->status == 200);
        co_await fixture.waitFor([&] { return replica.requests() == 3; });
        BOOST_TEST(replica.connections() == 2);
    });
}

// If the deadline of a caller passes while the box is suspended, the call ends on resume and not
// later by the duration of the suspension.
BOOST_AUTO_TEST_CASE(a_deadline_that_passed_during_a_suspension_ends_the_call_on_resume)
{
    SuspendedClock clock;
    GatewayFixture fixture;
    fixture.writeConfig(1);
    ScriptedReplica &replica = fixture.addReplica("i-1", "plain", [](const std::string &) {
        return ScriptedReplica::Answer{"", false};
    });
    fixture.run([&]() -> awaitable<void> {
        co_await waitUntilReady(fixture);
        bool wasSuspended = false;
        asio::co_spawn(
            fixture.context,
            [&]() -> awaitable<void> {
                co_await fixture.waitFor([&] { return replica.requests() == 1; });
                clock.suspend(std::chrono::hours(1));
                wasSuspended = true;
            },
            asio::detached);
        const auto response = co_await fixture.call("POST", "/long/a", "id1", "k", "300000");
        BOOST_TEST(wasSuspended);
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(response->status == 504);
    });
}

BOOST_AUTO_TEST_CASE(a_suspension_is_reported_with_its_duration)
{
    SuspendedClock clock;
    asio::io_context context{1};
    Metrics metrics;
    Kernel kernel(context.get_executor());
    kernel.add(std::make_unique<LoopWatch>(metrics));
    BOOST_REQUIRE(kernel.start().has_value());
    auto &watch = kernel.find<LoopWatch>(LoopWatch::sName);
    asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            co_await sleepFor(std::chrono::milliseconds(1));
            clock.suspend(std::chrono::seconds(4));
            while (!watch.lastSleep()) {
                co_await sleepFor(std::chrono::milliseconds(5));
            }
            kernel.stop();
            context.stop();
        },
        asio::detached);
    context.run();
    BOOST_TEST(watch.lastSleep()->count() >= 3'900);
    BOOST_TEST(watch.lastSleep()->count() <= 4'100);
}
