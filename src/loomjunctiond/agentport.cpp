/*
 * agentport.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "agentport.h"

#include "callservice.h"
#include "configservice.h"
#include "jsonlog.h"
#include "platformservice.h"
#include "upstreamservice.h"
#include "watchsession.h"
#include "weightservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::chrono::milliseconds sHeartbeat{1'000};
// Entries speak on this stream only when the configuration changes; a dead one
// is noticed by TCP, a frozen one does no harm here.
constexpr std::chrono::hours sEntrySilence{24};

} // namespace

tl::expected<void, std::string> AgentPort::start(Kernel &kernel)
{
    mPlatform = &kernel.find<PlatformService>(PlatformService::sName);
    mConfig = &kernel.find<ConfigService>(ConfigService::sName);
    mUpstream = &kernel.find<UpstreamService>(UpstreamService::sName);
    mCalls = &kernel.find<CallService>(CallService::sName);
    mWeights = &kernel.find<WeightService>(WeightService::sName);
    mServer = std::make_unique<PeerServer>(
        kernel.executor(), [this](PeerStreamPtr stream) { return dispatch(std::move(stream)); });
    return mServer->listen(mPlatform->settings().peers);
}

void AgentPort::stop()
{
    mServer->stopListening();
}

awaitable<void> AgentPort::dispatch(PeerStreamPtr stream)
{
    const std::string &path = stream->path();
    if (path == "/call") {
        co_await mCalls->serveCall(std::move(stream));
    } else if (path == "/revoke") {
        co_await mCalls->serveRevoke(std::move(stream));
    } else if (path == "/watch") {
        co_await serveWatch(std::move(stream));
    } else if (path == "/status") {
        co_await serveStatus(std::move(stream));
    } else if (path == "/have") {
        co_await mWeights->server().serveHave(std::move(stream));
    } else if (path == "/chunk") {
        co_await mWeights->server().serveChunk(std::move(stream));
    } else {
        mPlatform->metrics().count("unknown_streams");
        stream->reset();
    }
}

wire::AgentStatus AgentPort::status() const
{
    const CallGate &gate = mUpstream->gate();
    wire::AgentStatus status;
    status.set_incarnation(mPlatform->incarnation());
    status.set_service(mUpstream->settings().service);
    for (const std::string &version : gate.versions()) {
        status.add_loaded_versions(version);
    }
    status.set_in_flight(gate.inFlight());
    status.set_capacity(gate.capacity());
    status.set_leaving(gate.isLeaving());
    status.set_upstream_alive(gate.isUpstreamAlive());
    status.set_engine_queue(mUpstream->engineLoad());
    if (const WeightFetch *fetch = mWeights->fetch()) {
        status.set_fetching_version(fetch->target().version);
        status.set_fetched_chunks(fetch->storedCount());
        status.set_total_chunks(fetch->chunkCount());
    }
    const FetchCounts &counts = mWeights->counts();
    status.set_origin_bytes(counts.originBytes);
    status.set_peer_bytes(counts.peerBytes);
    status.set_bad_chunks(counts.corruptChunks);
    return status;
}

awaitable<void> AgentPort::serveStatus(PeerStreamPtr stream)
{
    stream->send(status());
    stream->finish();
    co_return;
}

awaitable<void> AgentPort::serveWatch(PeerStreamPtr stream)
{
    auto session = std::make_shared<WatchSession>(*mPlatform, *mConfig, std::move(stream),
                                                  WatchSession::Callbacks{});
    asio::co_spawn(co_await asio::this_coro::executor, pushStatus(*this, session), asio::detached);
    co_await session->run(sEntrySilence);
}

awaitable<void> AgentPort::pushStatus(AgentPort &self, std::shared_ptr<WatchSession> session)
{
    while (session->isOpen()) {
        wire::WatchFrame frame;
        *frame.mutable_agent_status() = self.status();
        session->send(frame);
        co_await self.mUpstream->changed().waitFor(sHeartbeat);
    }
}

} // namespace Loom
