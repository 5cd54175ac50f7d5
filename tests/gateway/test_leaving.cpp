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

// Effect of a caller's disconnect in each state of its request. The tests follow the order in
// which a request passes through the states (docs/operators/callers.md).

namespace {

constexpr std::chrono::seconds sConnectTimeout{20};
constexpr std::size_t sLongBodyBytes = std::size_t{3} * 1024 * 1024;

std::string requestText(std::string_view path, std::string_view id, std::size_t bodyBytes = 0)
{
    return "POST " + std::string(path)
        + " HTTP/1.1\r\nHost: h\r\nLoomjunction-Request-Id: " + std::string(id)
        + "\r\nLoomjunction-Model: m\r\nAuthorization: Token k\r\nContent-Length: "
        + std::to_string(bodyBytes) + "\r\n\r\n";
}

ScriptedReplica::Answer neverResponds(const std::string &)
{
    return {"", false};
}

ScriptedReplica::Answer respondsOk(const std::string &head)
{
    return {"HTTP/1.1 200 OK\r\nLoomjunction-Request-Id: " + requestIdOf(head)
                + "\r\nLoomjunction-Response-Signature: s\r\nContent-Length: 0\r\n\r\n",
            false};
}

/** Sends only the head of a stream and its first event. */
ScriptedReplica::Answer startsStream(const std::string &head)
{
    return {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Loomjunction-Response-Signature: s\r\nLoomjunction-Request-Id: "
                + requestIdOf(head)
                + "\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: e\n\n\r\n",
            false};
}

/** A gateway and a caller whose connection the test controls. */
class DisconnectFixture : public GatewayFixture
{
public:
    DisconnectFixture() { writeConfig(1); }

    awaitable<void> waitUntilReady(std::size_t count = 1)
    {
        co_await waitFor([this, count] {
            return front().isReady() && replicas().replicas().all().size() == count;
        });
    }

    awaitable<void> sendAsCaller(std::string bytes)
    {
        auto connected = co_await connectWithin(front().localEndpoint(), sConnectTimeout);
        BOOST_REQUIRE(connected.has_value());
        caller.emplace(std::move(*connected));
        co_await asio::async_write(*caller, asio::buffer(bytes), sAsValue);
    }

    /** Waits until the gateway has no request in flight. */
    awaitable<void> waitUntilIdle()
    {
        co_await waitFor([this] { return front().inFlight() == 0; });
    }

    std::optional<Tcp::socket> caller;
};

} // namespace

BOOST_AUTO_TEST_CASE(incomplete_request_is_not_sent_after_caller_disconnects)
{
    DisconnectFixture fixture;
    ScriptedReplica &replica = fixture.addReplica("i-1", "plain", respondsOk);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        const std::string whole = requestText("/once/a", "id1", 10) + "12345";
        for (const std::size_t length : {std::size_t{9}, whole.size() - 7, whole.size()}) {
            co_await fixture.sendAsCaller(whole.substr(0, length));
            fixture.caller->close();
        }
        const auto after = co_await fixture.call("POST", "/once/a", "after");
        BOOST_REQUIRE(after);
        co_await fixture.waitUntilIdle();
        BOOST_TEST(replica.requests() == 1);
    });
}

BOOST_AUTO_TEST_CASE(caller_disconnect_during_agent_queries_sends_nothing_to_replicas)
{
    DisconnectFixture fixture;
    ScriptedReplica &replica = fixture.addReplica("i-1", "engine", startsStream);
    ScriptedAgent agent(fixture, replica);
    bool hasDisconnected = false;
    agent.onQuery = [&] {
        if (fixture.front().inFlight() == 1) {
            agent.isSilent = true;
            fixture.caller->close();
            hasDisconnected = true;
        }
    };
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        co_await fixture.waitFor([&] { return agent.queryCount > 0; });
        co_await fixture.sendAsCaller(requestText("/model/a", "id1"));
        co_await fixture.waitFor([&] { return hasDisconnected; });
        co_await fixture.waitUntilIdle();
        BOOST_TEST(replica.requests() == 0);
    });
}

BOOST_AUTO_TEST_CASE(caller_disconnect_during_replica_connect_sends_nothing)
{
    DisconnectFixture fixture;
    Tcp::acceptor acceptor(fixture.context);
    acceptor.open(Tcp::v4());
    acceptor.bind(Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    acceptor.listen(0);
    // Nothing accepts connections and the queue is full, so the connect runs into its timeout.
    std::vector<Tcp::socket> queued;
    constexpr std::size_t socketCount = 3;
    for (std::size_t index = 0; index < socketCount; ++index) {
        queued.emplace_back(fixture.context);
        queued.back().async_connect(acceptor.local_endpoint(),
                                    [](const boost::system::error_code &) {});
    }
    fixture.store.write(Feed::Replicas, "i-1",
                        R"({"service":"plain","address":")"
                            + endpointText(acceptor.local_endpoint())
                            + R"(","zone":"z1","slots":4,"state":"ready","models":[]})");
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        co_await fixture.sendAsCaller(requestText("/long/a", "id1"));
        co_await fixture.waitFor([&] { return fixture.front().inFlight() == 1; });
        fixture.caller->close();
        co_await fixture.waitUntilIdle();
        // The connections that have arrived meanwhile carry no data.
        acceptor.non_blocking(true);
        boost::system::error_code error;
        while (!error) {
            Tcp::socket accepted(fixture.context);
            acceptor.accept(accepted, error);
            if (!error) {
                BOOST_TEST(accepted.available() == 0);
            }
        }
    });
}

BOOST_AUTO_TEST_CASE(caller_disconnect_before_response_closes_replica_connection)
{
    DisconnectFixture fixture;
    ScriptedReplica &replica = fixture.addReplica("i-1", "plain", neverResponds);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        co_await fixture.sendAsCaller(requestText("/long/a", "id1"));
        co_await fixture.waitFor([&] { return replica.requests() == 1; });
        fixture.caller->close();
        co_await fixture.waitFor([&] { return replica.closed() == 1; });
        co_await fixture.waitUntilIdle();
    });
}

// Detection of the caller's disconnect stopped permanently once a byte of a pipelined request
// was in the socket, because the check for the end of the connection found that byte instead.
// The replica then continued until the timeout of the route, here ten minutes.
BOOST_AUTO_TEST_CASE(caller_disconnect_after_pipelined_byte_is_detected)
{
    DisconnectFixture fixture;
    ScriptedReplica &replica = fixture.addReplica("i-1", "plain", neverResponds);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        co_await fixture.sendAsCaller(requestText("/long/a", "id1"));
        co_await fixture.waitFor([&] { return replica.requests() == 1; });
        co_await asio::async_write(*fixture.caller, asio::buffer(std::string("P")), sAsValue);
        // A complete call passes meanwhile, so that the gateway has seen the byte. The call itself
        // reaches no replica.
        const auto other = co_await fixture.call("POST", "/model/a", "other");
        BOOST_REQUIRE(other);
        fixture.caller->close();
        co_await fixture.waitFor([&] { return replica.closed() == 1; });
        co_await fixture.waitUntilIdle();
    });
}

// Request, pipelined byte and close are in the socket together, as after a pause of the
// gateway process. Both checks of the socket found the byte and regarded the caller as
// connected.
BOOST_AUTO_TEST_CASE(request_followed_by_pipelined_data_and_close_is_not_sent)
{
    DisconnectFixture fixture;
    ScriptedReplica &replica = fixture.addReplica("i-1", "plain", respondsOk);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        const auto first = co_await fixture.call("POST", "/once/a", "first");
        BOOST_REQUIRE(first);
        asio::io_context own{1};
        Tcp::socket socket(own);
        socket.connect(fixture.front().localEndpoint());
        // More than the gateway reads at once, so that some data stays in the socket.
        const std::string next(std::size_t{40} * 1024, 'P');
        asio::write(socket, asio::buffer(requestText("/once/a", "gone") + next));
        socket.close();
        const auto after = co_await fixture.call("POST", "/once/a", "after");
        BOOST_REQUIRE(after);
        co_await fixture.waitUntilIdle();
        BOOST_TEST(replica.requests() == 2);
    });
}

BOOST_AUTO_TEST_CASE(caller_disconnect_during_long_body_closes_replica_connection)
{
    DisconnectFixture fixture;
    // The replica does not respond to the head and continues to read the body.
    ScriptedReplica &replica = fixture.addReplica("i-1", "plain", neverResponds);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        co_await fixture.sendAsCaller(requestText("/long/a", "id1", sLongBodyBytes)
                                      + std::string(sLongBodyBytes, 'b'));
        co_await fixture.waitFor([&] { return replica.requests() == 1; });
        fixture.caller->close();
        co_await fixture.waitFor([&] { return replica.closed() == 1; });
        co_await fixture.waitUntilIdle();
    });
}

BOOST_AUTO_TEST_CASE(caller_disconnect_during_stream_closes_replica_connection)
{
    for (const std::string_view trailing : {"", "P"}) {
        DisconnectFixture fixture;
        ScriptedReplica &replica = fixture.addReplica("i-1", "plain", startsStream);
        fixture.run([&]() -> awaitable<void> {
            co_await fixture.waitUntilReady();
            // The timeouts of this route are so long that only the disconnect can end the stream
            // during the test.
            co_await fixture.sendAsCaller(requestText("/calm/a", "id1"));
            std::string read;
            co_await asio::async_read_until(*fixture.caller, asio::dynamic_buffer(read),
                                            std::string("data: e"), sAsValue);
            const std::string next(trailing);
            co_await asio::async_write(*fixture.caller, asio::buffer(next), sAsValue);
            fixture.caller->close();
            co_await fixture.waitFor([&] { return replica.closed() == 1; });
            co_await fixture.waitUntilIdle();
            BOOST_TEST(replica.requests() == 1);
        });
    }
}

BOOST_AUTO_TEST_CASE(caller_disconnect_between_attempts_prevents_retry)
{
    DisconnectFixture fixture;
    const auto disconnectsAndRejects = [&](const std::string &head) {
        if (fixture.caller) {
            fixture.caller->close();
        }
        return ScriptedReplica::Answer{"HTTP/1.1 503 X\r\nLoomjunction-Request-Id: "
                                           + requestIdOf(head)
                                           + "\r\nLoomjunction-Not-Executed: 1\r\n"
                                             "Content-Length: 0\r\n\r\n",
                                       false};
    };
    ScriptedReplica &first = fixture.addReplica("i-1", "plain", disconnectsAndRejects);
    ScriptedReplica &second = fixture.addReplica("i-2", "plain", disconnectsAndRejects);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady(2);
        co_await fixture.sendAsCaller(requestText("/safe/a", "id1"));
        co_await fixture.waitFor([&] { return first.requests() + second.requests() > 0; });
        co_await fixture.waitUntilIdle();
        BOOST_TEST(first.requests() + second.requests() == 1);
    });
}
