/*
 * test_endless.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A replica in trouble may send bytes that are no answer without end, in a head or a body, until
// the gateway closes. Gateways kept reading until a hedge or the request's time ended it: one of
// four such replicas brought a gateway with 60 callers from 13 MB to 532 MB, and a refusal whose
// body never ended refused callers although other replicas were idle.

#define BOOST_TEST_MODULE endless
#include <boost/test/unit_test.hpp>

#include "acceptconnections.h"
#include "gatewayfixture.h"
#include "streamtext.h"

using namespace Loom;

namespace {

constexpr std::size_t sFloodPieceBytes = std::size_t{64} * 1024;

/** A replica that sends some bytes and then the same piece again and again. */
class FloodingReplica
{
public:
    /** Maps the id of a request to the bytes that are sent first. */
    using Begin = std::function<std::string(const std::string &id)>;

    FloodingReplica(GatewayFixture &fixture, const std::string &service, Begin begin,
                    std::string piece, std::chrono::milliseconds interval)
        : mAcceptor(fixture.context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , mBegin(std::move(begin))
        , mPiece(std::move(piece))
        , mInterval(interval)
    {
        fixture.store.write(Feed::Replicas, "i-flood",
                            R"({"service":")" + service + R"(","address":")"
                                + endpointText(mAcceptor.local_endpoint())
                                + R"(","zone":"z1","slots":4,"state":"ready","models":[]})");
        asio::co_spawn(
            fixture.context,
            acceptConnections(mAcceptor,
                              [this](SharedSocket socket) { return serve(std::move(socket)); }),
            asio::detached);
    }

    Tcp::endpoint address() const { return mAcceptor.local_endpoint(); }

    int requests = 0;
    int closed = 0; ///< connections that the gateway has closed
    std::size_t sentBytes = 0;

private:
    awaitable<void> serve(SharedSocket socket)
    {
        std::string head;
        const std::string blank = "\r\n\r\n";
        auto [readError, size]
            = co_await asio::async_read_until(*socket, asio::dynamic_buffer(head), blank, sAsValue);
        if (readError) {
            co_return;
        }
        ++requests;
        const std::string begin = mBegin(requestIdOf(head));
        auto [error, count] = co_await asio::async_write(*socket, asio::buffer(begin), sAsValue);
        while (!error) {
            if (mInterval.count() > 0) {
                co_await sleepFor(mInterval);
            }
            std::tie(error, count)
                = co_await asio::async_write(*socket, asio::buffer(mPiece), sAsValue);
            sentBytes += count;
        }
        ++closed;
    }

    Tcp::acceptor mAcceptor;
    Begin mBegin;
    std::string mPiece;
    std::chrono::milliseconds mInterval;
};

std::string refusalHead(const std::string &id)
{
    return "HTTP/1.1 503 X\r\nLoomjunction-Request-Id: " + id
        + "\r\nLoomjunction-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string signedHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nLoomjunction-Request-Id: " + id
        + "\r\nLoomjunction-Response-Signature: s\r\n\r\n";
}

std::string foreignHead(const std::string &)
{
    return "HTTP/1.1 200 OK\r\nLoomjunction-Request-Id: other\r\n"
           "Loomjunction-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string nothing(const std::string &)
{
    return {};
}

std::string bodyPiece()
{
    return chunk(std::string(sFloodPieceBytes, 'x'));
}

struct Flood
{
    std::string_view name;
    std::string_view part; ///< label of the metric
    FloodingReplica::Begin begin;
    std::string piece;
    std::chrono::milliseconds interval{0};
    std::string path = "/safe/a";
};

std::vector<Flood> floods()
{
    const std::string comments(sFloodPieceBytes / 4, ':');
    return {
        {"header lines", "head", [](const std::string &) { return "HTTP/1.1 200 OK\r\n"; },
         "X: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n"},
        {"a trickle of a header", "head",
         [](const std::string &) { return "HTTP/1.1 200 OK\r\nX: "; }, "y",
         std::chrono::milliseconds(100)},
        {"interim heads", "interim heads", nothing, "HTTP/1.1 100 Continue\r\n\r\n"},
        {"an extension of a chunk", "framing",
         [](const std::string &id) { return streamHead(id) + "5;a="; }, std::string(1'000, 'x'),
         std::chrono::milliseconds(0), "/stream/a"},
        {"a refusal", "refusal body", refusalHead, bodyPiece()},
        {"a trickle of a refusal", "refusal body", refusalHead, chunk("x"),
         std::chrono::milliseconds(20)},
        {"a surplus answer", "surplus body", foreignHead, bodyPiece()},
        {"an event", "event",
         [](const std::string &id) { return streamHead(id) + chunk("id: 1\ndata: "); }, bodyPiece(),
         std::chrono::milliseconds(0), "/stream/a"},
        {"a trickle of an event", "event",
         [](const std::string &id) { return streamHead(id) + chunk("id: 1\ndata: "); }, chunk("x"),
         std::chrono::milliseconds(100), "/stream/a"},
        {"comments", "event", streamHead, chunk(": " + comments + "\n\n"),
         std::chrono::milliseconds(0), "/stream/a"},
        {"a signed answer without length", "body", signedHead, bodyPiece()},
    };
}

ScriptedReplica::Answer answers(const std::string &head)
{
    const std::string id = requestIdOf(head);
    if (head.starts_with("POST /stream/")) {
        return {streamHead(id) + chunk(event(1)) + sLastChunk, false};
    }
    return {"HTTP/1.1 200 OK\r\nLoomjunction-Request-Id: " + id
                + "\r\nLoomjunction-Response-Signature: s\r\nContent-Length: 5\r\n\r\nwhole",
            false};
}

/** A gateway with a replica that sends bytes without end and a sound one. */
class FloodFixture : public GatewayFixture
{
public:
    explicit FloodFixture(const Flood &flood)
        : flooding(*this, "plain", flood.begin, flood.piece, flood.interval)
    {
        writeConfig(1);
        addReplica("i-sound", "plain", answers);
    }

    awaitable<void> waitUntilReady()
    {
        co_await waitFor(
            [this] { return front().isReady() && replicas().replicas().all().size() == 2; });
    }

    awaitable<int> statusOf(std::string path)
    {
        const auto response
            = co_await call("POST", std::move(path), "id" + std::to_string(mCallCount++));
        co_return response ? response->status : 0;
    }

    FloodingReplica flooding;

private:
    int mCallCount = 0;
};

} // namespace

// Guards against callers that get no answer although another replica is idle, and against further
// requests to a replica that sends bytes without end.
BOOST_AUTO_TEST_CASE(request_is_answered_elsewhere_and_the_connection_is_closed)
{
    for (const Flood &flood : floods()) {
        BOOST_TEST_CONTEXT(flood.name)
        {
            FloodFixture fixture(flood);
            fixture.run([&]() -> awaitable<void> {
                co_await fixture.waitUntilReady();
                while (fixture.flooding.requests == 0) {
                    BOOST_TEST(co_await fixture.statusOf(flood.path) == 200);
                }
                co_await fixture.waitFor([&] { return fixture.flooding.closed == 1; });
                BOOST_TEST(fixture.metrics().counter("endless_answers", flood.part) == 1U);
                for (int call = 0; call < 5; ++call) {
                    BOOST_TEST(co_await fixture.statusOf(flood.path) == 200);
                }
                BOOST_TEST(fixture.flooding.requests == 1);
            });
        }
    }
}

// Guards against repeating what may have run: only a refusal says that it didn't.
BOOST_AUTO_TEST_CASE(request_that_may_have_run_is_not_repeated)
{
    for (const Flood &flood : floods()) {
        const bool isRefusal = flood.part == "refusal body";
        if (flood.path != "/safe/a") {
            continue;
        }
        BOOST_TEST_CONTEXT(flood.name)
        {
            FloodFixture fixture(flood);
            fixture.run([&]() -> awaitable<void> {
                co_await fixture.waitUntilReady();
                int status = 0;
                while (fixture.flooding.requests == 0) {
                    status = co_await fixture.statusOf("/once/a");
                }
                BOOST_TEST(status == (isRefusal ? 200 : 502));
            });
        }
    }
}

// Guards against counting a replica as broken because it fell silent within a refusal, as a
// suspended one does.
BOOST_AUTO_TEST_CASE(silence_within_a_refusal_is_not_endless)
{
    const Flood silence{"silence", "refusal body", refusalHead, std::string(),
                        std::chrono::seconds(60)};
    FloodFixture fixture(silence);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        while (fixture.flooding.requests == 0) {
            BOOST_TEST(co_await fixture.statusOf(silence.path) == 200);
        }
        BOOST_TEST(fixture.metrics().counter("endless_answers", silence.part) == 0U);
    });
}

// Guards against answers that are given up because they are large.
BOOST_AUTO_TEST_CASE(large_answers_arrive_whole)
{
    constexpr std::size_t sLargeBytes = std::size_t{12} * 1024 * 1024;
    const std::string body(sLargeBytes, 'w');
    for (const bool hasLength : {true, false}) {
        GatewayFixture fixture;
        fixture.writeConfig(1);
        fixture.addReplica("i-1", "plain", [&](const std::string &head) -> ScriptedReplica::Answer {
            const std::string start = "HTTP/1.1 200 OK\r\nLoomjunction-Request-Id: "
                + requestIdOf(head) + "\r\nLoomjunction-Response-Signature: s\r\n";
            if (hasLength) {
                return {start + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                            + body,
                        false};
            }
            return {start + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + sLastChunk, false};
        });
        fixture.run([&]() -> awaitable<void> {
            co_await fixture.waitFor([&] {
                return fixture.front().isReady() && fixture.replicas().replicas().all().size() == 1;
            });
            const auto response = co_await fixture.call("POST", "/safe/a", "id1");
            BOOST_REQUIRE(response.has_value());
            BOOST_TEST(response->status == 200);
            BOOST_TEST((response->body == body));
        });
    }
}

// Guards against lines of chunks and trailers of the engine, the origin or the store that are kept
// whatever their size, until the call's time is over.
BOOST_AUTO_TEST_CASE(client_gives_up_framing_that_is_too_large)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string &begin : {chunked + "5;a=", chunked + "1\r\nx\r\n0\r\nX-Trailer: "}) {
        GatewayFixture fixture;
        FloodingReplica flooding(
            fixture, "plain", [&](const std::string &) { return begin; },
            std::string(sFloodPieceBytes, 'y'), std::chrono::milliseconds(0));
        fixture.run([&]() -> awaitable<void> {
            HttpClient client(fixture.context.get_executor());
            HttpCall call;
            call.endpoint = flooding.address();
            call.method = "GET";
            call.target = "/report";
            const auto response = co_await client.send(call);
            BOOST_REQUIRE(!response.has_value());
            BOOST_TEST((response.error().failure == HttpFailure::Cut));
            co_await fixture.waitFor([&] { return flooding.closed == 1; });
        });
    }
}

// Guards against an answer of the engine, the origin or the store that is kept whatever its size.
BOOST_AUTO_TEST_CASE(client_gives_up_a_body_that_is_too_large)
{
    GatewayFixture fixture;
    FloodingReplica flooding(
        fixture, "plain",
        [](const std::string &) { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; },
        bodyPiece(), std::chrono::milliseconds(0));
    fixture.run([&]() -> awaitable<void> {
        HttpClient client(fixture.context.get_executor());
        HttpCall call;
        call.endpoint = flooding.address();
        call.method = "GET";
        call.target = "/report";
        call.maxBodyBytes = std::size_t{1} * 1024 * 1024;
        const auto response = co_await client.send(call);
        BOOST_REQUIRE(!response.has_value());
        BOOST_TEST((response.error().failure == HttpFailure::TooLarge));
        co_await fixture.waitFor([&] { return flooding.closed == 1; });
    });
}
