/*
 * listener.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"

#include <functional>
#include <memory>
#include <string>

namespace Loom {

/** Accepts TCP connections on one address. Shared by its owner and its accept loop. */
class Listener : public std::enable_shared_from_this<Listener>
{
public:
    using SocketHandler = std::function<void(Tcp::socket socket)>;

    Listener(const asio::any_io_executor &executor, SocketHandler handler);

    /** Sets how many bytes the system keeps unread for each connection; before listen(). */
    void setReceiveBytes(int bytes) { mReceiveBytes = bytes; }
    /** Starts to accept; the error tells why it cannot. */
    tl::expected<void, std::string> listen(const Tcp::endpoint &endpoint);
    /** The address in use, e.g. after asking for port 0. */
    Tcp::endpoint localEndpoint() const { return mLocal; }
    bool isStopped() const { return mStopped; }
    void stop();

private:
    static awaitable<void> acceptLoop(std::shared_ptr<Listener> self);

    Tcp::acceptor mAcceptor;
    SocketHandler mHandler;
    Tcp::endpoint mLocal;
    int mReceiveBytes = 0; ///< 0: as the system decides
    bool mStopped = false;
};

} // namespace Loom
