/*
 * test_store.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "asynctypes.h"
#include "storeclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

using namespace Loom;

namespace {

constexpr std::size_t sPieceCount = 10;

/** Store behind a saturated link: its answer starts late, or arrives in pieces with pauses. */
class SlowStore
{
public:
    SlowStore(asio::io_context &context, std::chrono::milliseconds answerDelay,
              std::chrono::milliseconds pieceDelay)
        : mAcceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , mAnswerDelay(answerDelay)
        , mPieceDelay(pieceDelay)
    {
        asio::co_spawn(context, acceptAll(), asio::detached);
    }

    Tcp::endpoint address() const { return mAcceptor.local_endpoint(); }
    int requestCount() const { return mRequestCount; }
    void stop() { mAcceptor.close(); }

private:
    awaitable<void> acceptAll()
    {
        while (true) {
            auto [error, socket] = co_await mAcceptor.async_accept(sAsValue);
            if (error) {
                co_return;
            }
            asio::co_spawn(mAcceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    awaitable<void> serve(Tcp::socket socket)
    {
        const std::string answer = answerText();
        const std::string headerEnd = "\r\n\r\n";
        std::string head;
        while (true) {
            auto [error, size] = co_await asio::async_read_until(socket, asio::dynamic_buffer(head),
                                                                 headerEnd, sAsValue);
            if (error) {
                co_return;
            }
            head.erase(0, size);
            ++mRequestCount;
            co_await sleepFor(mAnswerDelay);
            const std::size_t step = answer.size() / sPieceCount + 1;
            for (std::size_t at = 0; at < answer.size(); at += step) {
                co_await sleepFor(mPieceDelay);
                const std::string_view piece = std::string_view(answer).substr(at, step);
                const auto [failure, sent]
                    = co_await asio::async_write(socket, asio::buffer(piece), sAsValue);
                if (failure) {
                    co_return;
                }
            }
        }
    }

    // Returns one record with the key "config" and the value "routes", encoded as base64.
    static std::string answerText()
    {
        const std::string body
            = R"({"items":[{"tls_key":"config","value":"cm91dGVz","offset":4}],"more":false,"end":5})";
        return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    Tcp::acceptor mAcceptor;
    std::chrono::milliseconds mAnswerDelay;
    std::chrono::milliseconds mPieceDelay;
    int mRequestCount = 0;
};

/**
 * Reads a whole feed, with up to @p maxAttempts attempts. Returns the number of attempts that
 * it took; 0 if all failed.
 */
int attemptsUntilRead(SlowStore &server, asio::io_context &context, int maxAttempts)
{
    int attemptsTaken = 0;
    const auto run = [&]() -> awaitable<void> {
        Platform::StoreClient store(context.get_executor(), server.address());
        for (int attempt = 1; attempt <= maxAttempts && attemptsTaken == 0; ++attempt) {
            const auto batch = co_await store.newest(Feed::Operators);
            if (batch) {
                BOOST_TEST(batch->records.size() == 1U);
                attemptsTaken = attempt;
            }
        }
        server.stop();
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    return attemptsTaken;
}

} // namespace

// Guards against aborting a read whose bytes are arriving. After a power failure ten gateways
// in one data centre read a configuration of 417 KB from a store in another over a link of
// 27 Mbit/s: 4.2 MB, which take at least 1.2 s. Each read was aborted 1.5 s after its request
// and repeated. The bytes of the aborted reads kept the link saturated, which delayed
// requests of callers by 1.35 s.
BOOST_AUTO_TEST_CASE(full_read_in_progress_is_not_aborted)
{
    asio::io_context context;
    SlowStore server(context, std::chrono::milliseconds(0), std::chrono::milliseconds(250));
    BOOST_TEST(attemptsUntilRead(server, context, 1) == 1);
}

// Guards against repeating a read that can't succeed. Over a saturated link the first byte
// may itself arrive after the timeout of 1.5 s. Repeating the read with the same timeout adds
// to the load and never succeeds.
BOOST_AUTO_TEST_CASE(timeout_of_a_full_read_grows_after_a_timeout)
{
    asio::io_context context;
    SlowStore server(context, std::chrono::milliseconds(2'200), std::chrono::milliseconds(0));
    BOOST_TEST(attemptsUntilRead(server, context, 4) > 1);
}
