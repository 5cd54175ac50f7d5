/*
 * asynctypes.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "asynctypes.h"

#include <charconv>
#include <memory>

namespace Loom {

tl::expected<Tcp::endpoint, std::string> parseEndpoint(std::string_view text)
{
    const std::string wrong = "expected IP:PORT, found '" + std::string(text) + "'";
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return tl::unexpected(wrong);
    }
    boost::system::error_code error;
    const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), error);
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || status != std::errc() || end != digits.data() + digits.size()) {
        return tl::unexpected(wrong);
    }
    return Tcp::endpoint(address, port);
}

std::string endpointText(const Tcp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

awaitable<void> sleepFor(std::chrono::microseconds span)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, span);
    co_await timer.async_wait(sAsValue);
}

awaitable<tl::expected<Tcp::socket, boost::system::error_code>>
connectWithin(Tcp::endpoint endpoint, std::chrono::milliseconds timeout)
{
    const auto executor = co_await asio::this_coro::executor;
    // Shared with the timer's handler, which may run after this coroutine ended.
    auto socket = std::make_shared<Tcp::socket>(executor);
    asio::steady_timer timer(executor, timeout);
    timer.async_wait([socket](const boost::system::error_code &error) {
        if (!error) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    auto [error] = co_await socket->async_connect(endpoint, sAsValue);
    timer.cancel();
    if (!error && !socket->is_open()) {
        error = asio::error::timed_out;
    }
    if (error) {
        co_return tl::unexpected(error);
    }
    co_return std::move(*socket);
}

awaitable<bool> Signal::waitUntil(std::chrono::steady_clock::time_point until)
{
    asio::steady_timer timer(mExecutor, until);
    mWaiting.push_back(&timer);
    auto [error] = co_await timer.async_wait(sAsValue);
    std::erase(mWaiting, &timer);
    co_return error == asio::error::operation_aborted;
}

awaitable<bool> Signal::waitFor(std::chrono::microseconds span)
{
    co_return co_await waitUntil(std::chrono::steady_clock::now() + span);
}

void Signal::notify()
{
    for (asio::steady_timer *timer : mWaiting) {
        timer->cancel();
    }
    mWaiting.clear();
}

} // namespace Loom
