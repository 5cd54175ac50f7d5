/*
 * test_leaving.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "scriptedagent.h"

using namespace Loom;

// What a caller's close does in each state of its request. The states stand in
// the order in which a request passes through them (docs/operators/callers.md).

namespace {

constexpr std::chrono::seconds sGenerous{20};
constexpr std::size_t sLongBody = std::size_t{3} * 1024 * 1024;

std::string requestText(std::string_view path, std::string_view id, std::size_t bodyBytes = 0)
{
    return "POST " + std::string(path)
        + " HTTP/1.1\r\nHost: h\r\nLoomjunction-Request-Id: " + std::string(id)
        + "\r\nLoomjunction-Model: m\r\nAuthorization: Token k\r\nContent-Length: "
        + std::to_string(bodyBytes) + "\r\n\r\n";
}

ScriptedReplica::Answer saysNothing(const std::string &)
{
    return {"", false};
}

ScriptedReplica::Answer good(const std::string &head)
{
    return {"HTTP/1.1 200 OK\r\nLoomjunction-Request-Id: " + requestIdOf(head)
                + "\r\nLoomjunction-Response-Signature: s\r\nContent-Length: 0\r\n\r\n",
            false};
}

/** The head of a stream and its first event, and no more. */
ScriptedReplica::Answer beginsStream(const std::string &head)
{
    return {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Loomjunction-Response-Signature: s\r\nLoomjunction-Request-Id: "
                + requestIdOf(head)
                + "\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: e\n\n\r\n",
            false};
}

/** A gateway and callers whose connections the test holds. */
class LeavingLab : public GatewayFixture
{
public:
    LeavingLab() { writeConfig(1); }

    awaitable<void> untilReady(std::size_t count = 1)
    {
        co_await waitFor([this, count] {
            return front().isReady() && replicas().replicas().all().size() == count;
        });
    }

    awaitable<void> sendAsCaller(std::string bytes)
    {
        auto connected = co_await connectWithin(front().localEndpoint(), sGenerous);
        BOOST_REQUIRE(connected.has_value());
        caller.emplace(std::move(*connected));
        co_await asio::async_write(*caller, asio::buffer(bytes), sAsValue);
    }

    /** Until nothing of any request is left at the gateway. */
    awaitable<void> untilLetGo()
    {
        co_await waitFor([this] { return front().inFlight() == 0; });
    }

    std::optional<Tcp::socket> caller;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_request_that_is_not_whole_when_its_caller_leaves_begins_nothing)
{
    LeavingLab lab;
    ScriptedReplica &replica = lab.addReplica("i-1", "plain", good);
    lab.run([&]() -> awaitable<void> {
        co_await lab.untilReady();
        const std::string whole = requestText("/once/a", "id1", 10) + "12345";
        for (const std::size_t length : {std::size_t{9}, whole.size() - 7, whole.size()}) {
            co_await lab.sendAsCaller(whole.substr(0, length));
            lab.caller->close();
        }
        const auto after = co_await lab.call("POST", "/once/a", "after");
        BOOST_REQUIRE(after);
        co_await lab.untilLetGo();
        BOOST_TEST(replica.requests() == 1);
    });
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_while_agents_are_asked_costs_no_replica_anything)
{
    LeavingLab lab;
    ScriptedReplica &replica = lab.addReplica("i-1", "engine", beginsStream);
    ScriptedAgent agent(lab, replica);
    bool hasLeft = false;
    agent.onQuery = [&] {
        if (lab.front().inFlight() == 1) {
            agent.isSilent = true;
            lab.caller->close();
            hasLeft = true;
        }
    };
    lab.run([&]() -> awaitable<void> {
        co_await lab.untilReady();
        co_await lab.waitFor([&] { return agent.queryCount > 0; });
        co_await lab.sendAsCaller(requestText("/model/a", "id1"));
        co_await lab.waitFor([&] { return hasLeft; });
        co_await lab.untilLetGo();
        BOOST_TEST(replica.requests() == 0);
    });
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_while_the_replica_is_connected_sends_it_nothing)
{
    LeavingLab lab;
    Tcp::acceptor full(lab.context);
    full.open(Tcp::v4());
    full.bind(Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    full.listen(0);
    // Nobody accepts and the queue is full, so connecting takes until its time is over.
    std::vector<Tcp::socket> queued;
    constexpr std::size_t enough = 3;
    for (std::size_t index = 0; index < enough; ++index) {
        queued.emplace_back(lab.context);
        queued.back().async_connect(full.local_endpoint(),
                                    [](const boost::system::error_code &) {});
    }
    lab.store.write(Feed::Replicas, "i-1",
                    R"({"service":"plain","address":")" + endpointText(full.local_endpoint())
                        + R"(","zone":"z1","slots":4,"state":"ready","models":[]})");
    lab.run([&]() -> awaitable<void> {
        co_await lab.untilReady();
        co_await lab.sendAsCaller(requestText("/long/a", "id1"));
        co_await lab.waitFor([&] { return lab.front().inFlight() == 1; });
        lab.caller->close();
        co_await lab.untilLetGo();
        // What has come in meanwhile has brought no byte.
        full.non_blocking(true);
        boost::system::error_code error;
        while (!error) {
            Tcp::socket accepted(lab.context);
            full.accept(accepted, error);
            if (!error) {
                BOOST_TEST(accepted.available() == 0);
            }
        }
    });
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_before_the_answer_begins_ends_the_work_at_the_replica)
{
    LeavingLab lab;
    ScriptedReplica &replica = lab.addReplica("i-1", "plain", saysNothing);
    lab.run([&]() -> awaitable<void> {
        co_await lab.untilReady();
        co_await lab.sendAsCaller(requestText("/long/a", "id1"));
        co_await lab.waitFor([&] { return replica.requests() == 1; });
        lab.caller->close();
        co_await lab.waitFor([&] { return replica.closed() == 1; });
        co_await lab.untilLetGo();
    });
}

// The watch for the caller's close ended for good once a byte of a next request
// lay behind the one in hand: it looked for the end behind the byte and found the
// byte. The replica then worked on until the route's time, here ten minutes.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_with_a_next_request_behind_the_first_is_seen)
{
    LeavingLab lab;
    ScriptedReplica &replica = lab.addReplica("i-1", "plain", saysNothing);
    lab.run([&]() -> awaitable<void> {
        co_await lab.untilReady();
        co_await lab.sendAsCaller(requestText("/long/a", "id1"));
        co_await lab.waitFor([&] { return replica.requests() == 1; });
        co_await asio::async_write(*lab.caller, asio::buffer(std::string("P")), sAsValue);
        // A whole call passes meanwhile, so the byte has been seen; it reaches no replica.
        const auto other = co_await lab.call("POST", "/model/a", "other");
        BOOST_REQUIRE(other);
        lab.caller->close();
        co_await lab.waitFor([&] { return replica.closed() == 1; });
        co_await lab.untilLetGo();
    });
}

// As above, but request, byte and close lie there together, as after a standstill:
// both looks at the socket found the byte and took the caller for living.
BOOST_AUTO_TEST_CASE(a_caller_that_left_behind_a_next_request_costs_no_replica_anything)
{
    LeavingLab lab;
    ScriptedReplica &replica = lab.addReplica("i-1", "plain", good);
    lab.run([&]() -> awaitable<void> {
        co_await lab.untilReady();
        const auto first = co_await lab.call("POST", "/once/a", "first");
        BOOST_REQUIRE(first);
        asio::io_context own{1};
        Tcp::socket socket(own);
        socket.connect(lab.front().localEndpoint());
        // More than the gateway reads at once, so that some stays in the socket.
        const std::string next(std::size_t{40} * 1024, 'P');
        asio::write(socket, asio::buffer(requestText("/once/a", "gone") + next));
        socket.close();
        const auto after = co_await lab.call("POST", "/once/a", "after");
        BOOST_REQUIRE(after);
        co_await lab.untilLetGo();
        BOOST_TEST(replica.requests() == 2);
    });
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_while_its_long_body_is_sent_ends_the_sending)
{
    LeavingLab lab;
    // Its head is answered by nothing and its body is read on and on.
    ScriptedReplica &replica = lab.addReplica("i-1", "plain", saysNothing);
    lab.run([&]() -> awaitable<void> {
        co_await lab.untilReady();
        co_await lab.sendAsCaller(requestText("/long/a", "id1", sLongBody)
                                  + std::string(sLongBody, 'b'));
        co_await lab.waitFor([&] { return replica.requests() == 1; });
        lab.caller->close();
        co_await lab.waitFor([&] { return replica.closed() == 1; });
        co_await lab.untilLetGo();
    });
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_within_a_stream_ends_the_work_at_the_replica)
{
    for (const std::string_view behind : {"", "P"}) {
        LeavingLab lab;
        ScriptedReplica &replica = lab.addReplica("i-1", "plain", beginsStream);
        lab.run([&]() -> awaitable<void> {
            co_await lab.untilReady();
            // Only the caller's leaving ends a stream on this route while the test waits.
            co_await lab.sendAsCaller(requestText("/calm/a", "id1"));
            std::string read;
            co_await asio::async_read_until(*lab.caller, asio::dynamic_buffer(read),
                                            std::string("data: e"), sAsValue);
            const std::string next(behind);
            co_await asio::async_write(*lab.caller, asio::buffer(next), sAsValue);
            lab.caller->close();
            co_await lab.waitFor([&] { return replica.closed() == 1; });
            co_await lab.untilLetGo();
            BOOST_TEST(replica.requests() == 1);
        });
    }
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_between_two_tries_has_no_second_one)
{
    LeavingLab lab;
    const auto leavesAndRefuses = [&](const std::string &head) {
        if (lab.caller) {
            lab.caller->close();
        }
        return ScriptedReplica::Answer{"HTTP/1.1 503 X\r\nLoomjunction-Request-Id: "
                                           + requestIdOf(head)
                                           + "\r\nLoomjunction-Not-Executed: 1\r\n"
                                             "Content-Length: 0\r\n\r\n",
                                       false};
    };
    ScriptedReplica &first = lab.addReplica("i-1", "plain", leavesAndRefuses);
    ScriptedReplica &second = lab.addReplica("i-2", "plain", leavesAndRefuses);
    lab.run([&]() -> awaitable<void> {
        co_await lab.untilReady(2);
        co_await lab.sendAsCaller(requestText("/safe/a", "id1"));
        co_await lab.waitFor([&] { return first.requests() + second.requests() > 0; });
        co_await lab.untilLetGo();
        BOOST_TEST(first.requests() + second.requests() == 1);
    });
}
