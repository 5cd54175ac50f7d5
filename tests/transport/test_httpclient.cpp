/*
 * test_httpclient.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "clock.h"
#include "http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

using namespace Loom;

namespace {

/** Keeps each connection open after its answer, and sees which callers close theirs. */
class PatientServer
{
public:
    explicit PatientServer(asio::io_context &context)
        : mAcceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(context, acceptAll(), asio::detached);
    }

    Tcp::endpoint address() const { return mAcceptor.local_endpoint(); }
    int accepted() const { return mAccepted; }
    int closedByCaller() const { return mClosed; }
    void stop() { mAcceptor.close(); }

private:
    awaitable<void> acceptAll()
    {
        while (true) {
            auto [error, socket] = co_await mAcceptor.async_accept(sAsValue);
            if (error) {
                co_return;
            }
            ++mAccepted;
            asio::co_spawn(mAcceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    awaitable<void> serve(Tcp::socket socket)
    {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        const std::string blank = "\r\n\r\n";
        std::string head;
        while (true) {
            auto [error, size] = co_await asio::async_read_until(socket, asio::dynamic_buffer(head),
                                                                 blank, sAsValue);
            if (error) {
                ++mClosed;
                co_return;
            }
            head.erase(0, size);
            co_await asio::async_write(socket, asio::buffer(answer), sAsValue);
        }
    }

    Tcp::acceptor mAcceptor;
    int mAccepted = 0;
    int mClosed = 0;
};

/** Makes two calls, one after the other, and then lets go of what was kept. */
void callTwice(bool keepsConnection, int expectedConnections, int expectedClosed)
{
    asio::io_context context;
    PatientServer server(context);
    bool ended = false;
    const auto run = [&]() -> awaitable<void> {
        HttpClient client(context.get_executor());
        for (int i = 0; i < 2; ++i) {
            HttpCall call;
            call.endpoint = server.address();
            call.method = "GET";
            call.target = "/";
            call.keepsConnection = keepsConnection;
            const auto answer = co_await client.send(std::move(call));
            BOOST_REQUIRE(answer.has_value());
            BOOST_TEST(answer->body == "ok");
        }
        // The end of a connection that was closed is on its way to the server.
        for (int turn = 0; turn < 100 && server.closedByCaller() < expectedClosed; ++turn) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        BOOST_TEST(server.accepted() == expectedConnections);
        BOOST_TEST(server.closedByCaller() == expectedClosed);
        server.stop();
        ended = true;
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    BOOST_TEST(ended);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_connection_is_kept_for_the_next_call)
{
    callTwice(true, 1, 0);
}

BOOST_AUTO_TEST_CASE(a_connection_to_a_server_with_few_of_them_ends_with_its_call)
{
    callTwice(false, 2, 2);
}

// An answer whose bytes drip in may take longer than its time, but not for ever: whoever
// waits could learn the same elsewhere.
BOOST_AUTO_TEST_CASE(an_answer_that_drips_ends_at_last)
{
    asio::io_context context;
    Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    bool isOver = false;
    const auto drip = [&]() -> awaitable<void> {
        auto [error, socket] = co_await acceptor.async_accept(sAsValue);
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(head), sAsValue);
        const std::string byte = "x";
        for (int turn = 0; turn < 1'000 && !isOver; ++turn) {
            co_await sleepFor(std::chrono::milliseconds(20));
            co_await asio::async_write(socket, asio::buffer(byte), sAsValue);
        }
    };
    const auto ask = [&]() -> awaitable<void> {
        HttpClient client(context.get_executor());
        HttpCall call;
        call.endpoint = acceptor.local_endpoint();
        call.method = "GET";
        call.target = "/";
        call.timeout = std::chrono::milliseconds(200);
        call.pieceTimeout = std::chrono::milliseconds(200);
        const auto answer = co_await client.send(std::move(call));
        BOOST_TEST(!answer.has_value());
        BOOST_TEST((!answer && answer.error().failure == HttpFailure::TimedOut));
        isOver = true;
        context.stop();
    };
    asio::co_spawn(context, drip(), asio::detached);
    asio::co_spawn(context, ask(), asio::detached);
    context.run();
    BOOST_TEST(isOver);
}

namespace {

/** Calls a server that sends @p bytes and closes; returns the answer. */
tl::expected<HttpResponse, HttpError> answerTo(std::string bytes)
{
    asio::io_context context;
    Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tl::expected<HttpResponse, HttpError> answer = tl::unexpected(HttpError{});
    const auto serve = [&]() -> awaitable<void> {
        auto [error, socket] = co_await acceptor.async_accept(sAsValue);
        std::string head;
        const std::string blank = "\r\n\r\n";
        co_await asio::async_read_until(socket, asio::dynamic_buffer(head), blank, sAsValue);
        co_await asio::async_write(socket, asio::buffer(bytes), sAsValue);
    };
    const auto ask = [&]() -> awaitable<void> {
        HttpClient client(context.get_executor());
        HttpCall call;
        call.endpoint = acceptor.local_endpoint();
        call.method = "GET";
        call.target = "/";
        answer = co_await client.send(std::move(call));
    };
    asio::co_spawn(context, serve(), asio::detached);
    asio::co_spawn(context, ask(), asio::detached);
    context.run();
    return answer;
}

std::string textOf(const std::string &status, const std::string &fields = {})
{
    return "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: 2\r\n\r\nok";
}

} // namespace

// Stores, engines and origins are read by this client; a status of 000 counted as theirs.
BOOST_AUTO_TEST_CASE(an_answer_with_a_status_outside_the_protocol_is_a_failure)
{
    BOOST_TEST(answerTo(textOf("200"))->body == "ok");
    for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
        BOOST_TEST_CONTEXT("status " << status)
        {
            const auto answer = answerTo(textOf(status));
            BOOST_REQUIRE(!answer.has_value());
            BOOST_TEST((answer.error().failure == HttpFailure::Malformed));
        }
    }
}

// The client waited until its deadline after a server had closed without an answer, so that the
// agents took engines that broke off for slow ones.
BOOST_AUTO_TEST_CASE(a_connection_that_ends_without_a_whole_head_is_cut)
{
    for (const std::string bytes : {"", "HTTP/1.1 200 X\r\nContent-"}) {
        const auto answer = answerTo(bytes);
        BOOST_REQUIRE(!answer.has_value());
        BOOST_TEST((answer.error().failure == HttpFailure::Cut));
    }
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_malformed_head_is_a_failure)
{
    for (const std::string field :
         {"Bad Name: x", " Leading: x", "\tLeading: x", "Trailing : x", "Control\x01: x", ": x",
          "No colon", "Transfer-Encoding: gzip", "Transfer-Encoding: chunked"}) {
        BOOST_TEST_CONTEXT("field " << field)
        {
            BOOST_TEST(!answerTo(textOf("200", field + "\r\n")).has_value());
        }
    }
}

// An interim answer counted as the answer, and the one that followed as surplus bytes.
BOOST_AUTO_TEST_CASE(an_interim_answer_precedes_the_one_that_counts)
{
    const std::string interim = "HTTP/1.1 103 X\r\nX: y\r\n\r\n";
    const auto answer = answerTo(interim + interim + textOf("200"));
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->status == 200);
    BOOST_TEST(answer->body == "ok");
    std::string endless;
    for (int count = 0; count < 20; ++count) {
        endless += interim;
    }
    BOOST_TEST(!answerTo(endless + textOf("200")).has_value());
}
