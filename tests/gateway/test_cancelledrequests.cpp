/*
 * test_cancelledrequests.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "acceptconnections.h"
#include "gatewayfixture.h"

using namespace Loom;

namespace {

constexpr std::chrono::seconds sTestTimeout{20};
constexpr std::size_t sLargeBodyBytes = std::size_t{3} * 1024 * 1024;

std::string requestText(std::string_view path, std::size_t bodyBytes)
{
    return "POST " + std::string(path)
        + " HTTP/1.1\r\nHost: h\r\nLoomjunction-Request-Id: id1\r\nAuthorization: Token "
          "k\r\nContent-Length: "
        + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'b');
}

/** A replica that reads the head of a request and pauses before it reads the body. */
class PausedReplica
{
public:
    PausedReplica(asio::io_context &context, std::string answer)
        : mAcceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , mAnswer(std::move(answer))
        , mMayRead(context.get_executor())
    {
        asio::co_spawn(
            context,
            acceptConnections(mAcceptor,
                              [this](SharedSocket socket) { return serve(std::move(socket)); }),
            asio::detached);
    }

    std::string address() const { return endpointText(mAcceptor.local_endpoint()); }
    void resumeReading()
    {
        mIsReading = true;
        mMayRead.notify();
    }

    int headCount = 0; ///< requests whose head was read
    std::size_t bodyBytes = 0; ///< number of body bytes read
    std::vector<boost::system::error_code> endErrors; ///< errors that ended the connections

private:
    awaitable<void> serve(SharedSocket socket)
    {
        std::string buffer;
        const std::string blank = "\r\n\r\n";
        auto [headError, size] = co_await asio::async_read_until(
            *socket, asio::dynamic_buffer(buffer), blank, sAsValue);
        if (headError) {
            endErrors.push_back(headError);
            co_return;
        }
        ++headCount;
        co_await asio::async_write(*socket, asio::buffer(mAnswer), sAsValue);
        while (!mIsReading) {
            co_await mMayRead.waitFor(sTestTimeout);
        }
        bodyBytes += buffer.size() - size;
        boost::system::error_code end;
        std::string piece(std::size_t{64} * 1024, '\0');
        while (!end) {
            auto [error, count] = co_await socket->async_read_some(asio::buffer(piece), sAsValue);
            bodyBytes += count;
            end = error;
        }
        endErrors.push_back(end);
    }

    Tcp::acceptor mAcceptor;
    std::string mAnswer;
    Signal mMayRead;
    bool mIsReading = false;
};

/** A gateway with one paused replica and one caller. */
class CancelFixture : public GatewayFixture
{
public:
    explicit CancelFixture(std::string answer = "")
        : replica(context, std::move(answer))
    {
        writeConfig(1);
        store.write(Feed::Replicas, "i-1",
                    R"({"service":"plain","address":")" + replica.address()
                        + R"(","zone":"z1","slots":4,"state":"ready","models":[]})");
    }

    awaitable<void> sendRequest(std::string request)
    {
        co_await waitFor(
            [this] { return front().isReady() && replicas().replicas().all().size() == 1; });
        auto connected = co_await connectWithin(front().localEndpoint(), sTestTimeout);
        BOOST_REQUIRE(connected.has_value());
        caller.emplace(std::move(*connected));
        co_await asio::async_write(*caller, asio::buffer(request), sAsValue);
        co_await waitFor([this] { return replica.headCount == 1; });
    }

    awaitable<void> waitForConnectionEnd()
    {
        replica.resumeReading();
        co_await waitFor([this] { return replica.endErrors.size() == 1; });
    }

    PausedReplica replica;
    std::optional<Tcp::socket> caller;
};

} // namespace

// The connection of a cancelled request must be reset. With a normal close, data that had not left
// the box yet, because of a congested link or a long body, was still delivered. The replica read
// it and an end of file as after a complete request, and executed it for a caller that had left.
BOOST_AUTO_TEST_CASE(a_cancelled_request_is_reset_without_sending_its_buffered_data)
{
    CancelFixture fixture;
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.sendRequest(requestText("/long/a", sLargeBodyBytes));
        fixture.caller->close();
        co_await fixture.waitFor([&] { return fixture.front().inFlight() == 0; });
        co_await fixture.waitForConnectionEnd();
        BOOST_TEST((fixture.replica.endErrors.front() == asio::error::connection_reset));
        BOOST_TEST(fixture.replica.bodyBytes < sLargeBodyBytes);
    });
}

BOOST_AUTO_TEST_CASE(cancelling_a_request_that_awaits_its_response_resets_the_connection)
{
    CancelFixture fixture;
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.sendRequest(requestText("/long/a", 0));
        fixture.caller->close();
        co_await fixture.waitFor([&] { return fixture.front().inFlight() == 0; });
        co_await fixture.waitForConnectionEnd();
        BOOST_TEST((fixture.replica.endErrors.front() == asio::error::connection_reset));
    });
}

BOOST_AUTO_TEST_CASE(cancelling_a_stream_resets_the_connection)
{
    CancelFixture fixture("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                          "Loomjunction-Response-Signature: s\r\nLoomjunction-Request-Id: id1\r\n"
                          "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: e\n\n\r\n");
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.sendRequest(requestText("/calm/a", 0));
        std::string read;
        co_await asio::async_read_until(*fixture.caller, asio::dynamic_buffer(read),
                                        std::string("data: e"), sAsValue);
        fixture.caller->close();
        co_await fixture.waitFor([&] { return fixture.front().inFlight() == 0; });
        co_await fixture.waitForConnectionEnd();
        BOOST_TEST((fixture.replica.endErrors.front() == asio::error::connection_reset));
    });
}

BOOST_AUTO_TEST_CASE(a_connection_is_closed_normally_after_a_complete_response)
{
    // "Connection: close" prevents reuse, so the gateway closes it after forwarding the response.
    CancelFixture fixture("HTTP/1.1 200 OK\r\nLoomjunction-Response-Signature: s\r\n"
                          "Loomjunction-Request-Id: id1\r\nConnection: close\r\n"
                          "Content-Length: 0\r\n\r\n");
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.sendRequest(requestText("/long/a", 0));
        co_await fixture.waitFor([&] { return fixture.front().inFlight() == 0; });
        co_await fixture.waitForConnectionEnd();
        BOOST_TEST((fixture.replica.endErrors.front() == asio::error::eof));
    });
}
