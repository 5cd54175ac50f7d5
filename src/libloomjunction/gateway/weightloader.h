/*
 * weightloader.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "manifest.h"
#include "ports.h"
#include "stageaccess.h"
#include "stagecheck.h"
#include "stagewriteplan.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Loom {

class ChunkStore;
class Metrics;

/**
 * Has the engine on this box load a version: writes its chunks to the stage, reads them back, and
 * orders the load on evidence that is young enough. If the engine may have taken the chunks later
 * than the evidence allows, the stage is read again after the load, and weights that may be corrupt
 * are not announced. Owned by the weight staging service.
 */
class WeightLoader
{
public:
    /** What the loader works on; all of it outlives the loader. */
    struct Parts
    {
        EnginePort &engine;
        ChunkStore &store;
        StageWritePlan &writes;
        StageAccess &stage;
        Metrics &metrics;
        const std::optional<EngineReport> &report; ///< the newest; empty: the engine is unreachable
        std::function<awaitable<bool>()> pollEngine; ///< renews the report; false: unreachable
        std::function<void()> onStateChange; ///< isLoading() or isSuspect() may have changed
        /** Digest of a version's manifest; empty if it is unknown. */
        std::function<std::string(std::uint64_t version)> manifestDigest;
    };

    explicit WeightLoader(Parts parts);
    void stop() { mStopped = true; }

    /** Whether a load is about to be ordered or has not ended. */
    bool isLoading() const { return mPending.has_value(); }
    /** Whether the engine may have taken corrupt chunks when it loaded @p version. */
    bool isSuspect(std::uint64_t version) const { return mSuspectVersion == version; }

    /** To be called with each new report. */
    void noteReport();
    /** A restarted engine has received no order and holds no weights. */
    void noteEngineRestart();
    /** Stages and orders the version. Returns false if all of this must be retried. */
    awaitable<bool> load(std::string model, std::uint64_t version, std::string digest);
    /** Ends a pending load once the engine runs @p loaded or has not accepted the order. */
    awaitable<void> advance(std::string model, std::uint64_t loaded);

private:
    /** A load that is about to be ordered, or was ordered and has not ended. */
    struct PendingLoad
    {
        std::uint64_t version = 0; ///< zero: not ordered by this agent, or given up by it
        std::uint64_t replacedVersion = 0; ///< that the engine ran before; zero: unknown
        Instant since;
        std::optional<Instant> orderedAt;
        std::uint64_t orderCount = 0; ///< that the order was sent with
        std::optional<StageCheck> check; ///< that the order relies on
        bool isAccepted = false; ///< the engine has shown that it accepted the order
        bool isProven = false; ///< the evidence was young enough when the chunks were taken
        Instant reachableSince; ///< of the engine, without a break; zero: it is unreachable
    };

    /** State of the stage after a load. */
    enum class LoadedStage : std::uint8_t
    {
        Intact,
        Corrupt,
        Unreachable,
    };

    void noteAccepted(PendingLoad &load);
    void setPending(std::optional<PendingLoad> load);
    std::optional<PendingLoad> foreignLoad() const;
    awaitable<bool> prepareStage(const std::string &model, const std::string &digest,
                                 const Manifest &manifest, StageCheck &check);
    awaitable<bool> drainQueue();
    awaitable<bool> refreshCheck(const std::string &model, const Manifest &manifest,
                                 StageCheck &check);
    awaitable<bool> order(const std::string &model, StageCheck check);
    awaitable<bool> writeStage(const std::string &model, const std::string &digest,
                               std::uint32_t count);
    awaitable<bool> readStage(const std::string &model, const Manifest &manifest, Instant since,
                              StageCheck &check);
    awaitable<LoadedStage> checkLoaded(const std::string &model, std::uint64_t version);
    awaitable<void> finish(const std::string &model, std::uint64_t loaded);
    bool isOrderLost() const;
    std::optional<Manifest> manifest(std::string_view digest) const;

    Parts mParts;
    std::optional<PendingLoad> mPending;
    std::optional<std::uint64_t> mSuspectVersion;
    std::uint64_t mEngineRestarts = 0;
    bool mStopped = false;
};

} // namespace Loom
