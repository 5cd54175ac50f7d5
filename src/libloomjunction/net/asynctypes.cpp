/*
 * asynctypes.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "asynctypes.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

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

namespace {

// Some dozens of times the way between the farthest data centres. All boxes begin within
// 0.3 s of each other after a loss of power, so two further tries find any of them.
constexpr std::chrono::milliseconds sFurtherTry{150};

struct ConnectRace
{
    explicit ConnectRace(const asio::any_io_executor &executor)
        : changed(executor)
    {
    }

    bool isOver() const { return made.has_value() || isRefused; }

    Signal changed;
    std::optional<Tcp::socket> made; ///< the first
    boost::system::error_code error = asio::error::timed_out;
    bool isRefused = false; ///< there is somebody, who does not want it
};

awaitable<void> tryConnect(std::shared_ptr<ConnectRace> race, Tcp::endpoint endpoint,
                           std::chrono::milliseconds timeout)
{
    auto made = co_await connectWithin(endpoint, timeout);
    if (race->isOver()) {
        co_return;
    }
    if (made) {
        race->made = std::move(*made);
    } else {
        race->error = made.error();
        race->isRefused = race->error == asio::error::connection_refused;
    }
    race->changed.notify();
}

} // namespace

awaitable<tl::expected<Tcp::socket, boost::system::error_code>>
connectPersistently(Tcp::endpoint endpoint, std::chrono::milliseconds timeout)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto race = std::make_shared<ConnectRace>(executor);
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    auto time = std::chrono::steady_clock::now();
    while (!race->isOver() && time < deadline) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - time);
        asio::co_spawn(executor, tryConnect(race, endpoint, left), asio::detached);
        const auto next = std::min(deadline, time + sFurtherTry);
        while (!race->isOver() && time < next) {
            co_await race->changed.waitUntil(next);
            time = std::chrono::steady_clock::now();
        }
    }
    if (!race->made) {
        co_return tl::unexpected(race->error);
    }
    co_return std::move(*race->made);
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
