/*
 * peerlinks.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "peerconnection.h"

#include <map>
#include <string>

namespace Loom {

/** Connections to other processes by address, made on demand and kept while in use. */
class PeerLinks
{
public:
    PeerLinks(const asio::any_io_executor &executor, std::chrono::milliseconds connectTimeout,
              PeerLimits limits = {});

    /** Begins to close links that nobody uses; the object must outlive the executor's work. */
    void start();
    void stop();

    /** A stream to the process at @p address; null where it cannot be reached. */
    awaitable<PeerStreamPtr> open(Tcp::endpoint address, std::string path);

private:
    struct Link
    {
        PeerConnectionPtr connection;
        Instant lastUsed;
    };

    PeerStreamPtr openKept(const Tcp::endpoint &address, const std::string &path);
    awaitable<void> closeIdle();

    asio::any_io_executor mExecutor;
    std::chrono::milliseconds mConnectTimeout;
    PeerLimits mLimits;
    std::map<Tcp::endpoint, Link> mLinks;
    bool mStopped = false;
};

} // namespace Loom
