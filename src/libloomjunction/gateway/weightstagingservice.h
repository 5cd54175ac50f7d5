/*
 * weightstagingservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "chunkserver.h"
#include "chunkstore.h"
#include "fetchselection.h"
#include "kernel.h"
#include "manifestexchange.h"
#include "memberservice.h"
#include "membersettings.h"
#include "ports.h"
#include "reloadschedule.h"
#include "stageaccess.h"
#include "stagewriteplan.h"
#include "tokenbucket.h"
#include "weightfetch.h"
#include "weightloader.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Loom {

class OperatorConfigService;
class LoadReporter;
class Metrics;
class PeerHub;

/**
 * Loads the published weights into the engine of this box. The service fetches the
 * chunks from the origin and other agents and writes them to the engine's staging area as
 * they arrive, so that they outlive this process. When it is this box's turn, it reads them
 * back, and orders the load only if every chunk is intact. No other component sends orders to this
 * engine.
 */
class WeightStagingService final : public Service
{
public:
    static constexpr std::string_view sName = "stage";

    WeightStagingService(EnginePort &engine, Metrics &metrics, const MemberSettings &settings);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

private:
    /** A version number and the digest of its manifest. */
    struct VersionId
    {
        std::uint64_t version = 0; ///< zero if there is no version
        std::string digest;
    };

    struct VersionFetch
    {
        VersionId id;
        std::shared_ptr<WeightFetch> fetch;
        /** Joined because a peer fetches it; the time of its publication is unknown here. */
        bool isJoined = false;
        std::uint32_t adoptionAttempts = 0;
        bool isAdopted = false; ///< the stage was searched for its chunks
        std::uint32_t manifestCheckCount = 0; ///< times that its manifest was read again
        Instant nextManifestCheckAt; ///< earliest time of the next one
    };

    awaitable<void> runEnginePolling();
    awaitable<void> runRollout();
    awaitable<void> runStageWriting();
    std::optional<StageWrite> nextStageWrite();
    awaitable<bool> pollEngine();
    void detectEngineRestart(const std::optional<EngineReport> &report);
    bool isUpToDate() const;
    awaitable<void> advanceRollout();
    awaitable<bool> startFetch(std::string model, std::uint64_t version);
    std::optional<VersionId> storeManifest(std::uint64_t version, const std::string &text);
    std::string manifestProblem(const Manifest &manifest) const;
    awaitable<void> checkContradictedManifest(std::string model);
    void replaceManifest(const std::string &model, VersionFetch &entry, const std::string &text);
    awaitable<void> joinOlderFetch(std::string model, std::uint64_t newest);
    void updateFetches();
    const std::string *localManifest(std::string_view model, std::uint64_t version) const;
    awaitable<void> confirmJoinedFetch(std::string model, std::uint64_t version);
    void skipFetches(const std::string &model);
    std::vector<SkippedVersion> skippedVersions(std::string_view model) const;
    bool isSkipped(std::string_view model, std::uint64_t version) const;
    Microseconds originCopyTime() const;
    void logSkip(std::string_view model, const SkippedVersion &skip);
    VersionFetch *findFetch(std::uint64_t version);
    awaitable<void> adoptPendingChunks(std::string model);
    awaitable<bool> adoptStagedChunks(std::string model, VersionId id);
    awaitable<tl::expected<std::string, ChunkFailure>>
    originChunk(std::string model, std::uint64_t version, std::uint32_t index);
    Microseconds originPullInterval(const VersionId &id) const;
    Instant pullsBeginAt(std::string_view model, std::uint64_t version) const;
    std::shared_ptr<WeightFetch> launchFetch(const std::string &model, const VersionId &id);
    bool isMyTurn(const std::string &model, std::uint64_t version) const;
    std::vector<SwarmMember> members() const;
    awaitable<PeerStreamPtr> openPeerStream(std::string box, std::string path);
    std::optional<Tcp::endpoint> originEndpoint() const;
    bool isLinkSlow() const;
    const EngineProfile *engineFigures() const;
    std::uint64_t loadedVersion(std::string_view model) const;
    void reportLoad();

    EnginePort &mEngine;
    Metrics &mMetrics;
    const MemberSettings &mSettings;
    const StagerSettings &mStagerSettings;
    OperatorConfigService *mConfig = nullptr;
    MemberService *mMembers = nullptr;
    PeerHub *mHub = nullptr;
    LoadReporter *mReporter = nullptr;
    std::unique_ptr<ChunkStore> mStore;
    TokenBucket mIngress;
    TokenBucket mEgress;
    std::unique_ptr<ChunkServer> mServer;
    std::unique_ptr<ManifestExchange> mManifests;
    FetchCounts mFetchCounts;
    std::unique_ptr<Signal> mWakeSignal;

    std::optional<EngineReport> mReport;
    std::uint64_t mEngineIncarnation = 0; ///< last reported; zero before the first report
    std::vector<VersionFetch> mFetches; ///< oldest first; the last is the newest published version
    std::set<std::uint64_t> mLoggedSkips; ///< versions whose skipping was logged
    StageWritePlan mStageWrites;
    StageAccess mStage;
    std::unique_ptr<WeightLoader> mLoader;
    bool mHasTriedOlderFetch = false; ///< joinOlderFetch() was called
    VersionId mCompleteVersion; ///< the newest completely fetched version
    Instant mCompleteSince; ///< when it was complete
    bool mStopped = false;
};

} // namespace Loom
