/*
 * test_requestreader.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace Loom;

namespace {

constexpr std::size_t sPieceBytes = 7;

std::string head(const std::string &lines)
{
    return "POST /a HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n" + lines + "\r\n";
}

const std::string sChunkedHead = head("Transfer-Encoding: chunked\r\n");

/** A server that answers with the body and, behind it, the names of the headers. */
class EchoServer
{
public:
    EchoServer()
        : mServer(mContext.get_executor(), [this](HttpExchange &exchange) -> awaitable<void> {
            ++requests;
            HttpResponse response;
            response.body = exchange.request().body;
            for (const HttpHeader &header : exchange.request().headers) {
                response.body += "|" + header.name;
            }
            co_await exchange.respond(std::move(response));
        })
    {
        BOOST_REQUIRE(
            mServer.listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0)).has_value());
    }

    /** The whole answer to @p bytes, which are sent in pieces of @p pieceBytes. */
    std::string answerTo(const std::string &bytes, std::size_t pieceBytes = std::string::npos)
    {
        std::string answer;
        asio::co_spawn(mContext, exchange(bytes, pieceBytes, answer), asio::detached);
        mContext.restart();
        while (!mIsAnswered) {
            mContext.run_one();
        }
        mIsAnswered = false;
        return answer;
    }

    int requests = 0;

private:
    awaitable<void> exchange(std::string bytes, std::size_t pieceBytes, std::string &answer)
    {
        Tcp::socket socket(mContext);
        co_await socket.async_connect(mServer.localEndpoint(), sAsValue);
        socket.set_option(Tcp::no_delay(true));
        std::string_view left = bytes;
        while (!left.empty()) {
            const std::string_view piece = left.substr(0, pieceBytes);
            left.remove_prefix(piece.size());
            co_await asio::async_write(socket, asio::buffer(piece), sAsValue);
            co_await sleepFor(std::chrono::microseconds(0));
        }
        co_await asio::async_read(socket, asio::dynamic_buffer(answer), sAsValue);
        mIsAnswered = true;
    }

    asio::io_context mContext{1};
    HttpServer mServer;
    bool mIsAnswered = false;
};

std::string bodyOf(const std::string &answer)
{
    const std::size_t end = answer.find("\r\n\r\n");
    return end == std::string::npos ? std::string() : answer.substr(end + 4);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_reader, EchoServer)

BOOST_AUTO_TEST_CASE(body_is_the_same_however_it_is_framed_and_split)
{
    const std::vector<std::string> requests{
        head("Content-Length: 5\r\n") + "hello",
        sChunkedHead + "5\r\nhello\r\n0\r\n\r\n",
        sChunkedHead + "1\r\nh\r\n1\r\ne\r\n1\r\nl\r\n1\r\nl\r\n1\r\no\r\n0\r\n\r\n",
        sChunkedHead + "005;a=b\r\nhello\r\n0;c\r\n\r\n",
    };
    for (const std::string &request : requests) {
        for (const std::size_t pieceBytes : {std::string::npos, sPieceBytes, std::size_t{1}}) {
            const std::string body = bodyOf(answerTo(request, pieceBytes));
            BOOST_TEST(body.substr(0, body.find('|')) == "hello");
        }
    }
}

// Guards against fields behind the body that pass for headers, such as a key or a deadline.
BOOST_AUTO_TEST_CASE(trailer_field_is_no_header)
{
    const std::string answer
        = answerTo(sChunkedHead + "1\r\nx\r\n0\r\nAuthorization: Bearer k\r\n\r\n");
    BOOST_TEST(bodyOf(answer) == "x|Host|Connection|Transfer-Encoding");
}

// Guards against framing that is kept, or worked on, without end.
BOOST_AUTO_TEST_CASE(framing_beyond_the_limit_is_refused)
{
    constexpr std::size_t tooMuch = std::size_t{64} * 1024;
    const std::string noise(tooMuch, '0');
    std::string extensions = sChunkedHead;
    for (int chunk = 0; chunk < 2'000; ++chunk) {
        extensions += "1;a=bbbbbbbbbbbbbbbb\r\nx\r\n";
    }
    std::string trailers = sChunkedHead + "1\r\nx\r\n0\r\n";
    for (int field = 0; field < 2'000; ++field) {
        trailers += "X-Trailer: yyyyyyyyyyyyyyyyyyyy\r\n";
    }
    for (const std::string &request :
         {sChunkedHead + "1;a=" + noise, sChunkedHead + noise, trailers + "\r\n",
          extensions + "0\r\n\r\n", sChunkedHead + "0;a=" + noise + "\r\n\r\n"}) {
        BOOST_TEST(answerTo(request).starts_with("HTTP/1.1 431 "));
    }
    BOOST_TEST(requests == 0);
}

// Guards against requests with two meanings, one for the gateway and one for a replica.
BOOST_AUTO_TEST_CASE(ambiguous_length_is_refused)
{
    for (const char *lines :
         {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
          "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: 5, 6\r\n",
          "Content-Length: -5\r\n", "Content-Length : 5\r\n"}) {
        BOOST_TEST_CONTEXT(lines)
        {
            BOOST_TEST(answerTo(head(lines) + "hello").starts_with("HTTP/1.1 400 "));
        }
    }
    BOOST_TEST(requests == 0);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against cutting a client that reads slowly, but does read: no piece of a stream is taken
// whole within the idle time here.
BOOST_AUTO_TEST_CASE(slow_reader_of_a_stream_keeps_its_connection)
{
    constexpr std::size_t streamBytes = std::size_t{16} * 1024 * 1024;
    constexpr std::size_t readBytes = std::size_t{1024} * 1024;
    constexpr std::chrono::milliseconds pause{300};
    asio::io_context context{1};
    HttpLimits limits;
    limits.idle = std::chrono::seconds(1);
    bool isWhole = false;
    HttpServer server(
        context.get_executor(),
        [&](HttpExchange &exchange) -> awaitable<void> {
            HttpResponse begin;
            const std::string data(streamBytes, 's');
            co_await exchange.beginStream(std::move(begin));
            isWhole = co_await exchange.write(data);
            co_await exchange.endStream();
        },
        limits);
    BOOST_REQUIRE(server.listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0)).has_value());
    asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            Tcp::socket socket(context);
            co_await socket.async_connect(server.localEndpoint(), sAsValue);
            const std::string request = head("Content-Length: 0\r\n");
            co_await asio::async_write(socket, asio::buffer(request), sAsValue);
            std::string piece(readBytes, '\0');
            boost::system::error_code error;
            while (!error) {
                std::size_t size = 0;
                std::tie(error, size)
                    = co_await asio::async_read(socket, asio::buffer(piece), sAsValue);
                co_await sleepFor(pause);
            }
            context.stop();
        },
        asio::detached);
    context.run();
    BOOST_TEST(isWhole);
}
