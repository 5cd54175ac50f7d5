/*
 * agentport.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "kernel.h"
#include "peerserver.h"
#include "wire.pb.h"

#include <memory>
#include <string_view>

namespace Loom {

class CallService;
class ConfigService;
class PlatformService;
class UpstreamService;
class WeightService;
class WatchSession;

/** Where other processes reach this agent: dispatches their streams by path. */
class AgentPort final : public Service
{
public:
    static constexpr std::string_view sName = "port";

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

private:
    awaitable<void> dispatch(PeerStreamPtr stream);
    awaitable<void> serveWatch(PeerStreamPtr stream);
    awaitable<void> serveStatus(PeerStreamPtr stream);
    static awaitable<void> pushStatus(AgentPort &self, std::shared_ptr<WatchSession> session);
    wire::AgentStatus status() const;

    PlatformService *mPlatform = nullptr;
    ConfigService *mConfig = nullptr;
    UpstreamService *mUpstream = nullptr;
    CallService *mCalls = nullptr;
    WeightService *mWeights = nullptr;
    std::unique_ptr<PeerServer> mServer;
};

} // namespace Loom
