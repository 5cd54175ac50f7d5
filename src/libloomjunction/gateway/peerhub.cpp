/*
 * peerhub.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "peerhub.h"

#include "clock.h"
#include "jsonlog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// Many times the way between the farthest data centres; a lost opening packet
// is tried again by the caller.
constexpr std::chrono::milliseconds sConnectTimeout{600};
// Bytes of one stream under way at most. Links are narrow, and what waits on one
// delays the answers and requests that share it.
constexpr std::uint32_t sStreamWindow = 16 * 1024;
constexpr std::chrono::seconds sIdle{30};
constexpr std::chrono::seconds sSweepEvery{10};

PeerLimits peerLimits()
{
    PeerLimits limits;
    limits.streamWindow = sStreamWindow;
    return limits;
}

} // namespace

PeerHub::PeerHub(Tcp::endpoint address)
    : mAddress(std::move(address))
{
}

tl::expected<void, std::string> PeerHub::start(Kernel &kernel)
{
    mServer = std::make_unique<PeerServer>(
        kernel.executor(), [this](PeerStreamPtr stream) { return dispatch(std::move(stream)); },
        peerLimits());
    asio::co_spawn(kernel.executor(), closeIdle(), asio::detached);
    return mServer->listen(mAddress);
}

void PeerHub::stop()
{
    mStopped = true;
    mServer->stopListening();
    for (const auto &[address, link] : mLinks) {
        link.connection->close();
    }
    mLinks.clear();
}

void PeerHub::serve(std::string path, PeerStreamHandler handler)
{
    mHandlers[std::move(path)] = std::move(handler);
}

awaitable<void> PeerHub::dispatch(PeerStreamPtr stream)
{
    const auto it = mHandlers.find(stream->path());
    if (it == mHandlers.end()) {
        logLine(LogLevel::Warning, "peer-path-unknown", {{"path", stream->path()}});
        stream->reset();
        co_return;
    }
    co_await it->second(std::move(stream));
}

awaitable<PeerStreamPtr> PeerHub::open(Tcp::endpoint address, std::string path)
{
    const auto openKept = [&]() -> PeerStreamPtr {
        const auto it = mLinks.find(address);
        if (it == mLinks.end() || !it->second.connection->isOpen()) {
            return nullptr;
        }
        it->second.lastUsed = now();
        return it->second.connection->open(path);
    };
    if (PeerStreamPtr stream = openKept()) {
        co_return stream;
    }
    const PeerLimits limits = peerLimits();
    auto connected = co_await PeerConnection::connect(address, sConnectTimeout, limits);
    if (!connected || mStopped) {
        co_return nullptr;
    }
    // Another coroutine may have connected meanwhile; one connection is enough.
    if (PeerStreamPtr stream = openKept()) {
        (*connected)->close();
        co_return stream;
    }
    mLinks[address] = {*connected, now()};
    co_return (*connected)->open(path);
}

awaitable<void> PeerHub::closeIdle()
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
