/*
 * asynctypes.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace Loom {

namespace asio = boost::asio;
using asio::awaitable;
using Tcp = asio::ip::tcp;

/** Completion token: the error comes back as a value. */
inline constexpr auto sAsValue = asio::as_tuple(asio::use_awaitable);

/** Reads "IP:PORT"; the error says what was expected. */
tl::expected<Tcp::endpoint, std::string> parseEndpoint(std::string_view text);
std::string endpointText(const Tcp::endpoint &endpoint);

/** Suspends for @p span. */
awaitable<void> sleepFor(std::chrono::microseconds span);

/** A connection to @p endpoint, made within @p timeout, or why there is none. */
awaitable<tl::expected<Tcp::socket, boost::system::error_code>>
connectWithin(Tcp::endpoint endpoint, std::chrono::milliseconds timeout);

/**
 * The same to a box that may be coming up: its system drops opening packets until then,
 * and they would be sent again after a second only. So further connections are tried
 * beside the first, and the one that is made first is kept.
 */
awaitable<tl::expected<Tcp::socket, boost::system::error_code>>
connectPersistently(Tcp::endpoint endpoint, std::chrono::milliseconds timeout);

/**
 * Wakes coroutines that wait for something to change. A wake-up while nobody
 * waits is not kept: waiters check their condition first. One thread only.
 */
class Signal
{
public:
    explicit Signal(asio::any_io_executor executor)
        : mExecutor(std::move(executor))
    {
    }

    /** Waits for notify() or @p until; false when the time came first. */
    awaitable<bool> waitUntil(std::chrono::steady_clock::time_point until);
    awaitable<bool> waitFor(std::chrono::microseconds span);
    void notify();
    const asio::any_io_executor &executor() const { return mExecutor; }

private:
    asio::any_io_executor mExecutor;
    std::vector<asio::steady_timer *> mWaiting; ///< each lives in a suspended waitUntil()
};

} // namespace Loom
