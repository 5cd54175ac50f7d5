/*
 * test_statedlimits.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "gatewayfixture.h"

using namespace Loom;

namespace {

/** A gateway with one replica of the service "plain", whose answers the test sets. */
class StatedLimitFixture
{
public:
    StatedLimitFixture() { gateway.writeConfig(1); }

    void run(std::function<awaitable<void>()> test)
    {
        gateway.run([this, test = std::move(test)]() -> awaitable<void> {
            co_await gateway.waitFor([this] {
                return gateway.front().isReady() && gateway.replicas().replicas().all().size() == 1;
            });
            co_await test();
        });
    }

    /** Sends requests until the replica has answered with @p status and @p limitHeaders. */
    awaitable<void> sendRequestUntilAnswered(std::string status, std::string limitHeaders)
    {
        mStatus = std::move(status);
        mLimitHeaders = std::move(limitHeaders);
        const int before = replica.requests();
        // The gateway rejects requests while no permit is available.
        while (replica.requests() == before) {
            const std::string id = "id" + std::to_string(++mCallCount);
            co_await gateway.call("POST", "/brief/a", id);
            co_await sleepFor(std::chrono::milliseconds(10));
        }
    }

    std::optional<double> limit()
    {
        return gateway.replicas().replicas().find("i-1")->limit.perSecond();
    }

    GatewayFixture gateway;
    ScriptedReplica &replica = gateway.addReplica("i-1", "plain", [this](const std::string &head) {
        return ScriptedReplica::Answer{"HTTP/1.1 " + mStatus
                                           + "\r\nLoomjunction-Response-Signature: s\r\n"
                                             "Loomjunction-Request-Id: "
                                           + requestIdOf(head) + "\r\n" + mLimitHeaders
                                           + "Content-Length: 1\r\n\r\nw",
                                       false};
    });

private:
    std::string mStatus;
    std::string mLimitHeaders;
    int mCallCount = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(any_status_states_limit_and_only_success_removes_it)
{
    StatedLimitFixture fixture;
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.sendRequestUntilAnswered("500 X", "Server-Limit: 20\r\n");
        BOOST_TEST(fixture.limit().value_or(-1) == 20);
        co_await fixture.sendRequestUntilAnswered("500 X", "");
        BOOST_TEST(fixture.limit().value_or(-1) == 20);
        co_await fixture.sendRequestUntilAnswered("503 X", "Loomjunction-Not-Executed: 1\r\n");
        BOOST_TEST(fixture.limit().value_or(-1) == 20);
        co_await fixture.sendRequestUntilAnswered("200 X", "Server-Limit: many\r\n");
        BOOST_TEST(fixture.limit().value_or(-1) == 20);
        co_await fixture.sendRequestUntilAnswered(
            "503 X", "Loomjunction-Not-Executed: 1\r\nServer-Limit: 40\r\n");
        BOOST_TEST(fixture.limit().value_or(-1) == 40);
        co_await fixture.sendRequestUntilAnswered("200 X", "");
        BOOST_TEST(!fixture.limit().has_value());
    });
}

BOOST_AUTO_TEST_CASE(request_without_available_permit_is_rejected_immediately)
{
    StatedLimitFixture fixture;
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.sendRequestUntilAnswered("200 X", "Server-Limit: 0.3\r\n");
        const int before = fixture.replica.requests();
        const auto response = co_await fixture.gateway.call("POST", "/safe/a", "late");
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(response->status == 503);
        BOOST_TEST(!response->header("Retry-After").empty());
        BOOST_TEST(fixture.replica.requests() == before);
    });
}
