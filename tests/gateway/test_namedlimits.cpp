/*
 * test_namedlimits.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "gatewayfixture.h"

using namespace Loom;

namespace {

/** A gateway with one plain replica, whose answers the test sets. */
class NamingLab
{
public:
    NamingLab() { lab.writeConfig(1); }

    void run(std::function<awaitable<void>()> test)
    {
        lab.run([this, test = std::move(test)]() -> awaitable<void> {
            co_await lab.waitFor([this] {
                return lab.front().isReady() && lab.replicas().replicas().all().size() == 1;
            });
            co_await test();
        });
    }

    /** Lets the replica answer once, with @p status and the headers @p named. */
    awaitable<void> answer(std::string status, std::string named)
    {
        mStatus = std::move(status);
        mNamed = std::move(named);
        const int before = replica.requests();
        // A request that is denied tries later.
        while (replica.requests() == before) {
            const std::string id = "id" + std::to_string(++mCalls);
            co_await lab.call("POST", "/brief/a", id);
            co_await sleepFor(std::chrono::milliseconds(10));
        }
    }

    std::optional<double> limit()
    {
        return lab.replicas().replicas().find("i-1")->limit.perSecond();
    }

    GatewayFixture lab;
    ScriptedReplica &replica = lab.addReplica("i-1", "plain", [this](const std::string &head) {
        return ScriptedReplica::Answer{"HTTP/1.1 " + mStatus
                                           + "\r\nLoomjunction-Response-Signature: s\r\n"
                                             "Loomjunction-Request-Id: "
                                           + requestIdOf(head) + "\r\n" + mNamed
                                           + "Content-Length: 1\r\n\r\nw",
                                       false};
    });

private:
    std::string mStatus;
    std::string mNamed;
    int mCalls = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(answers_of_any_status_name_a_limit_and_only_good_ones_end_it)
{
    NamingLab test;
    test.run([&]() -> awaitable<void> {
        co_await test.answer("500 X", "Server-Limit: 20\r\n");
        BOOST_TEST(test.limit().value_or(-1) == 20);
        co_await test.answer("500 X", "");
        BOOST_TEST(test.limit().value_or(-1) == 20);
        co_await test.answer("503 X", "Loomjunction-Not-Executed: 1\r\n");
        BOOST_TEST(test.limit().value_or(-1) == 20);
        co_await test.answer("200 X", "Server-Limit: many\r\n");
        BOOST_TEST(test.limit().value_or(-1) == 20);
        co_await test.answer("503 X", "Loomjunction-Not-Executed: 1\r\nServer-Limit: 40\r\n");
        BOOST_TEST(test.limit().value_or(-1) == 40);
        co_await test.answer("200 X", "");
        BOOST_TEST(!test.limit().has_value());
    });
}

BOOST_AUTO_TEST_CASE(a_request_that_finds_no_send_left_is_refused_at_once_and_has_not_run)
{
    NamingLab test;
    test.run([&]() -> awaitable<void> {
        co_await test.answer("200 X", "Server-Limit: 0.3\r\n");
        const int before = test.replica.requests();
        const auto response = co_await test.lab.call("POST", "/safe/a", "late");
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(response->status == 503);
        BOOST_TEST(!response->header("Retry-After").empty());
        BOOST_TEST(test.replica.requests() == before);
    });
}
