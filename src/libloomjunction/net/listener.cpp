/*
 * listener.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// Out of descriptors, most likely: some connections must end first.
constexpr std::chrono::milliseconds sAcceptPause{10};

} // namespace

Listener::Listener(const asio::any_io_executor &executor, SocketHandler handler)
    : mAcceptor(executor)
    , mHandler(std::move(handler))
{
}

tl::expected<void, std::string> Listener::listen(const Tcp::endpoint &endpoint)
{
    boost::system::error_code error;
    mAcceptor.open(endpoint.protocol(), error);
    if (!error) {
        mAcceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error && mReceiveBytes > 0) {
        mAcceptor.set_option(asio::socket_base::receive_buffer_size(mReceiveBytes), error);
    }
    if (!error) {
        mAcceptor.bind(endpoint, error);
    }
    if (!error) {
        mAcceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return tl::unexpected("cannot listen on " + endpointText(endpoint) + ": "
                              + error.message());
    }
    mLocal = mAcceptor.local_endpoint();
    asio::co_spawn(mAcceptor.get_executor(), acceptLoop(shared_from_this()), asio::detached);
    return {};
}

void Listener::stop()
{
    mStopped = true;
    boost::system::error_code ignored;
    mAcceptor.close(ignored);
}

awaitable<void> Listener::acceptLoop(std::shared_ptr<Listener> self)
{
    while (!self->mStopped) {
        auto [error, socket] = co_await self->mAcceptor.async_accept(sAsValue);
        if (self->mStopped) {
            co_return;
        }
        if (error) {
            co_await sleepFor(sAcceptPause);
            continue;
        }
        boost::system::error_code ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        self->mHandler(std::move(socket));
    }
}

} // namespace Loom
