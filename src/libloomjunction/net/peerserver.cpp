/*
 * peerserver.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "peerserver.h"

#include "listener.h"

namespace Loom {

PeerServer::PeerServer(const asio::any_io_executor &executor, PeerStreamHandler handler,
                       PeerLimits limits)
    : mConnections(std::make_shared<std::vector<std::weak_ptr<PeerConnection>>>())
{
    mListener = std::make_shared<Listener>(
        executor,
        [connections = mConnections, handler = std::move(handler), limits](Tcp::socket socket) {
            std::erase_if(*connections, [](const auto &weak) { return weak.expired(); });
            connections->push_back(PeerConnection::accept(std::move(socket), handler, limits));
        });
}

PeerServer::~PeerServer()
{
    stopListening();
}

tl::expected<void, std::string> PeerServer::listen(const Tcp::endpoint &endpoint)
{
    return mListener->listen(endpoint);
}

Tcp::endpoint PeerServer::localEndpoint() const
{
    return mListener->localEndpoint();
}

void PeerServer::stopListening()
{
    mListener->stop();
    for (const auto &weak : *mConnections) {
        if (const PeerConnectionPtr connection = weak.lock()) {
            connection->goAway();
        }
    }
}

} // namespace Loom
