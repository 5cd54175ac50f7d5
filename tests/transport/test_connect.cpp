/*
 * test_connect.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "asynctypes.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

using namespace Loom;

namespace {

// The system sends a lost opening packet again after a second.
constexpr std::chrono::milliseconds sTimeout{900};

} // namespace

// A box without power drops opening packets, as a full queue does here, and is there again
// 0.3 s later. Followers of a reader that had begun 0.1 to 0.3 s after them had their
// configuration 0.7 s after it; that they waited for one connection to time out is inferred:
//   started         box=(the reader)    at 36.15
//   config-in-force box=(the reader)    at 36.18 hops=0
//   config-in-force box=(13 followers)  at 36.85 to 36.88 hops=1,2
BOOST_AUTO_TEST_CASE(a_box_that_comes_up_is_reached_although_the_first_packet_was_lost)
{
    asio::io_context context{1};
    Tcp::acceptor acceptor(context);
    acceptor.open(Tcp::v4());
    acceptor.bind(Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    acceptor.listen(0);
    std::vector<Tcp::socket> filling;
    filling.reserve(16); // connections under way must not move
    for (int index = 0; index < 2; ++index) {
        filling.emplace_back(context);
        filling.back().async_connect(acceptor.local_endpoint(), [](auto) {});
    }
    bool isReached = false;
    asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            co_await sleepFor(std::chrono::milliseconds(50));
            const auto endpoint = acceptor.local_endpoint();
            const auto made = co_await connectPersistently(endpoint, sTimeout);
            isReached = made.has_value();
            context.stop();
        },
        asio::detached);
    asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            co_await sleepFor(std::chrono::milliseconds(350));
            while (true) {
                auto [error, socket] = co_await acceptor.async_accept(sAsValue);
                if (error) {
                    co_return;
                }
                filling.push_back(std::move(socket));
            }
        },
        asio::detached);
    context.run();
    BOOST_TEST(isReached);
}

BOOST_AUTO_TEST_CASE(a_port_that_refuses_is_told_at_once)
{
    asio::io_context context{1};
    Tcp::endpoint closed;
    {
        Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        closed = acceptor.local_endpoint();
    }
    boost::system::error_code error;
    asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            const auto made = co_await connectPersistently(closed, std::chrono::hours(1));
            error = made ? boost::system::error_code() : made.error();
            context.stop();
        },
        asio::detached);
    context.run();
    BOOST_TEST(error == asio::error::connection_refused);
}
