/*
 * stageservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "chunkserver.h"
#include "chunkstore.h"
#include "directsettings.h"
#include "kernel.h"
#include "manifestexchange.h"
#include "memberservice.h"
#include "ports.h"
#include "reloadschedule.h"
#include "tokenbucket.h"
#include "weightfetch.h"

#include <memory>
#include <optional>
#include <string>

namespace Loom {

class DirectConfig;
class LoadReporter;
class Metrics;
class PeerHub;

/**
 * Brings the named weights to the engine of this box: gets their chunks from
 * the origin and other agents, puts them into the engine's stage when it is
 * this box's turn, reads them back, and orders the load only when every one
 * is right. Nobody else gives this engine orders.
 */
class StageService final : public Service
{
public:
    static constexpr std::string_view sName = "stage";

    StageService(EnginePort &engine, Metrics &metrics, const DirectSettings &settings);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

private:
    /** A version by its number and the digest of its manifest. */
    struct VersionInHand
    {
        std::uint64_t version = 0; ///< zero: none
        std::string digest;
    };

    struct VersionFetch
    {
        VersionInHand wanted;
        std::shared_ptr<WeightFetch> fetch;
    };

    awaitable<void> drive();
    awaitable<void> drivePeers();
    awaitable<bool> lookAtEngine();
    void noteEngineLife(const std::optional<EngineReport> &report);
    bool isCalm() const;
    awaitable<void> bringWeights();
    awaitable<bool> startFetch(std::string model, std::uint64_t version);
    awaitable<std::optional<VersionInHand>> keepManifest(std::string model, std::uint64_t version,
                                                         std::string text);
    awaitable<void> joinOlderFetch(std::string model, std::uint64_t newest);
    void noteFetched();
    const std::string *heldManifest(std::string_view model, std::uint64_t version) const;
    awaitable<void> adoptStage(std::string model, VersionInHand wanted);
    awaitable<tl::expected<std::string, ChunkFailure>>
    originChunk(std::string model, std::uint64_t version, std::uint32_t index);
    Microseconds originSpacing(const VersionInHand &wanted) const;
    std::shared_ptr<WeightFetch> beginFetch(const std::string &model, const VersionInHand &wanted);
    void noteLoaded(std::string_view model, std::uint64_t loaded);
    awaitable<bool> loadStaged(std::string model, VersionInHand wanted);
    awaitable<bool> emptyQueue();
    awaitable<bool> fillStage(std::string model, std::string digest);
    awaitable<bool> isStageRight(std::string model, std::string digest);
    bool isMyTurn(const std::string &model, std::uint64_t version) const;
    std::vector<SwarmMember> members() const;
    awaitable<PeerStreamPtr> openBox(std::string box, std::string path);
    std::optional<Tcp::endpoint> origin() const;
    bool isLinkSlow() const;
    const EngineProfile *figures() const;
    std::uint64_t loadedVersion(std::string_view model) const;
    void tellLoad();

    EnginePort &mEngine;
    Metrics &mMetrics;
    const DirectSettings &mSettings;
    const StagerSettings &mStager;
    DirectConfig *mConfig = nullptr;
    MemberService *mMembers = nullptr;
    PeerHub *mHub = nullptr;
    LoadReporter *mReporter = nullptr;
    std::unique_ptr<ChunkStore> mStore;
    TokenBucket mIngress;
    TokenBucket mEgress;
    std::unique_ptr<ChunkServer> mServer;
    std::unique_ptr<ManifestExchange> mManifests;
    FetchCounts mCounts;
    std::unique_ptr<Signal> mWake;

    std::optional<EngineReport> mReport;
    std::uint64_t mEngineBorn = 0; ///< the start that the engine told last; zero: none yet
    std::vector<VersionFetch> mFetches; ///< oldest first; the last is the newest named
    bool mHasJoined = false; ///< others were asked for a version that they still fetch
    VersionInHand mReady; ///< the newest one that is here whole
    Instant mReadyAt; ///< since when
    std::uint64_t mOrdered = 0; ///< the version of the last order
    Instant mOrderedAt;
    bool mIsLoading = false; ///< an order is out and the engine has not said it is done
    bool mStopped = false;
};

} // namespace Loom
