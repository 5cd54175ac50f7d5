/*
 * peerserver.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "peerconnection.h"

namespace Loom {

class Listener;

/** Accepts connections from other processes of the system. */
class PeerServer
{
public:
    PeerServer(const asio::any_io_executor &executor, PeerStreamHandler handler,
               PeerLimits limits = {});
    ~PeerServer();

    tl::expected<void, std::string> listen(const Tcp::endpoint &endpoint);
    Tcp::endpoint localEndpoint() const;
    /** Takes no new connections; those open are told to open no more streams. */
    void stopListening();

private:
    std::shared_ptr<Listener> mListener;
    std::shared_ptr<std::vector<std::weak_ptr<PeerConnection>>> mConnections;
};

} // namespace Loom
