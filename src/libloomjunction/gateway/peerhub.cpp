/*
 * peerhub.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "peerhub.h"

#include "jsonlog.h"
#include "metrics.h"

namespace Loom {

namespace {

// Many times the latency between the farthest data centres. If the first packet of a
// connection is lost, the caller tries again.
constexpr std::chrono::milliseconds sConnectTimeout{600};
// Limits the bytes of a stream that are in transit. Links are narrow, and data queued on a link
// delays the requests and responses that share it.
constexpr std::uint32_t sStreamWindow = 16 * 1024;

PeerLimits peerLimits()
{
    PeerLimits limits;
    limits.streamWindow = sStreamWindow;
    return limits;
}

} // namespace

std::string_view peerLocationName(PeerLocation location)
{
    switch (location) {
    case PeerLocation::Unknown:
        return "data centre unknown";
    case PeerLocation::OwnDataCentre:
        return "own data centre";
    case PeerLocation::OtherDataCentre:
        return "other data centre";
    }
    return "";
}

PeerHub::PeerHub(Tcp::endpoint address)
    : mAddress(std::move(address))
{
}

tl::expected<void, std::string> PeerHub::start(Kernel &kernel)
{
    mServer = std::make_unique<PeerServer>(
        kernel.executor(), [this](PeerStreamPtr stream) { return dispatch(std::move(stream)); },
        peerLimits());
    mLinks = std::make_unique<PeerLinks>(kernel.executor(), sConnectTimeout, peerLimits());
    mLinks->start();
    return mServer->listen(mAddress);
}

void PeerHub::stop()
{
    mServer->stopListening();
    mLinks->stop();
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
    countBytes(*stream);
    co_await it->second(std::move(stream));
}

awaitable<PeerStreamPtr> PeerHub::open(Tcp::endpoint address, std::string path)
{
    PeerStreamPtr stream = co_await mLinks->open(std::move(address), std::move(path));
    if (stream) {
        countBytes(*stream);
    }
    co_return stream;
}

// Looks up the counter once per stream, so that each send costs only one addition.
void PeerHub::countBytes(PeerStream &stream) const
{
    if (mMetrics == nullptr) {
        return;
    }
    const Tcp::endpoint &remote = stream.connection()->remote();
    const PeerLocation location = mPeerLocator ? mPeerLocator(remote) : PeerLocation::Unknown;
    const std::string purpose = stream.path().substr(1); // paths begin with a slash
    const std::string label = purpose + ", " + std::string(peerLocationName(location));
    stream.countInto(mMetrics->counted("peer_bytes", label));
}

} // namespace Loom
