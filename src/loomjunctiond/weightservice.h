/*
 * weightservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "adaptivetransferrate.h"
#include "chunkserver.h"
#include "chunkstore.h"
#include "daemonsettings.h"
#include "kernel.h"
#include "peerconnection.h"
#include "tokenbucket.h"
#include "weightfetch.h"

#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace Loom {

class AgentLinks;
class ConfigService;
class ListService;
class OrderService;
class PlatformService;
class UpstreamService;

/**
 * Brings the versions that the configuration wants to this box: fetches,
 * serves other agents, has the engine load, and lets go of what is old.
 */
class WeightService final : public Service
{
public:
    static constexpr std::string_view sName = "weights";

    WeightService(const asio::any_io_executor &executor, const AgentSettings &settings);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

    /** Gives other agents what this one holds. */
    ChunkServer &server() { return mServer; }

    /** First-byte latency of a live request at this box. */
    void noteLiveLatency(Microseconds latency);

    const FetchCounts &counts() const { return mCounts; }
    const WeightFetch *fetch() const { return mFetch.get(); }

private:
    awaitable<void> drive();
    void takeTargets();
    void perform(const SwitchAction &action);
    void beginFetch(const VersionTarget &target);
    awaitable<void> loadVersion(VersionTarget target);
    awaitable<void> unloadVersion(std::string version);
    awaitable<void> handWhileFetching(std::shared_ptr<WeightFetch> fetch);
    awaitable<bool> handToEngine(const VersionTarget &target);
    awaitable<bool> handChunk(std::string digest, std::uint32_t index);
    awaitable<std::string> originManifest(std::string digest);
    awaitable<tl::expected<std::string, ChunkFailure>> originChunk(std::string digest,
                                                                   std::uint32_t index);
    awaitable<bool> isMyTurn();
    awaitable<bool> hasLoaded(std::string box, std::string version);
    std::optional<VersionTarget> targetNamed(std::string_view key) const;
    std::vector<SwarmMember> members() const;

    asio::any_io_executor mExecutor;
    PlatformService *mPlatform = nullptr;
    ConfigService *mConfig = nullptr;
    ListService *mList = nullptr;
    UpstreamService *mUpstream = nullptr;
    OrderService *mOrders = nullptr;
    AgentLinks *mLinks = nullptr;
    ChunkStore mStore;
    TokenBucket mIngress;
    TokenBucket mEgress;
    ChunkServer mServer;
    AdaptiveTransferRate mRate;
    FetchCounts mCounts;
    std::shared_ptr<WeightFetch> mFetch;
    std::set<std::string> mHanded; ///< manifests whose chunks the engine has been given
    Signal mWake;
    Instant mWaitingSince;
    bool mWasWaiting = false;
    bool mStopped = false;
};

} // namespace Loom
