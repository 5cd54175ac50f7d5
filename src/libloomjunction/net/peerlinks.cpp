/*
 * peerlinks.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "peerlinks.h"

#include "clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// A rollout asks many agents once; their connections must not stay for ever.
constexpr std::chrono::seconds sIdle{30};
constexpr std::chrono::seconds sSweepEvery{10};

} // namespace

PeerLinks::PeerLinks(const asio::any_io_executor &executor,
                     std::chrono::milliseconds connectTimeout, PeerLimits limits)
    : mExecutor(executor)
    , mConnectTimeout(connectTimeout)
    , mLimits(limits)
{
}

void PeerLinks::start()
{
    asio::co_spawn(mExecutor, closeIdle(), asio::detached);
}

void PeerLinks::stop()
{
    mStopped = true;
    for (const auto &[address, link] : mLinks) {
        link.connection->close();
    }
    mLinks.clear();
}

PeerStreamPtr PeerLinks::openKept(const Tcp::endpoint &address, const std::string &path)
{
    const auto it = mLinks.find(address);
    if (it == mLinks.end() || !it->second.connection->isOpen()) {
        return nullptr;
    }
    it->second.lastUsed = now();
    return it->second.connection->open(path);
}

awaitable<PeerStreamPtr> PeerLinks::open(Tcp::endpoint address, std::string path)
{
    if (PeerStreamPtr stream = openKept(address, path)) {
        co_return stream;
    }
    auto connected = co_await PeerConnection::connect(address, mConnectTimeout, mLimits);
    if (!connected || mStopped) {
        co_return nullptr;
    }
    // Another coroutine may have connected meanwhile; one connection is enough.
    if (PeerStreamPtr stream = openKept(address, path)) {
        (*connected)->close();
        co_return stream;
    }
    mLinks[address] = {*connected, now()};
    co_return (*connected)->open(path);
}

awaitable<void> PeerLinks::closeIdle()
{
    while (!mStopped) {
        co_await sleepFor(sSweepEvery);
        std::erase_if(mLinks, [](const auto &pair) {
            const Link &link = pair.second;
            const bool idle = link.connection->openStreams() == 0 && now() - link.lastUsed > sIdle;
            if (idle) {
                link.connection->close();
            }
            return idle || !link.connection->isOpen();
        });
    }
}

} // namespace Loom
