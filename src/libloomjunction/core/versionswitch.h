/*
 * versionswitch.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Loom {

/** A version and the manifest digest that identifies its weights. */
struct VersionTarget
{
    std::string version;
    std::string manifestDigest;
};

/** A version that the engine reports as loaded. */
struct LoadedVersion
{
    std::string version;
    std::string manifestDigest;
};

struct StartFetch
{
    VersionTarget target;
};
struct StopFetch
{
    std::string version;
};
struct OrderLoad
{
    VersionTarget target;
};
struct OrderUnload
{
    std::string version;
};
using SwitchAction = std::variant<StartFetch, StopFetch, OrderLoad, OrderUnload>;

/**
 * Decides which versions an agent fetches, loads and announces. A version is loaded
 * only after all its chunks are verified, and announced only after the engine
 * reports it with the same manifest digest. Owned by the agent's upstream service.
 */
class VersionSwitch
{
public:
    /**
     * Sets the configured versions: @p serving, which is fetched first, and
     * @p preload, which is loaded beside it; both may be empty. A version that served
     * before stays until its successor is loaded.
     */
    void setTargets(std::optional<VersionTarget> serving, std::optional<VersionTarget> preload);

    /** All chunks of @p version are stored and verified against @p manifestDigest. */
    void markFetched(std::string_view version, std::string_view manifestDigest);

    /** Sets the engine's report, which is the only source of the loaded versions. */
    void setEngineReport(std::span<const LoadedVersion> loaded, Instant now);

    /** The engine restarted or is unreachable; no version counts as loaded. */
    void clearEngineReport();

    /** A load or unload order has finished; one that was not accepted is retried after a delay. */
    void orderEnded(std::string_view version, bool wasAccepted, Instant now);

    /** Returns the actions to start now. @p mayLoad tells whether this box may load a version. */
    std::vector<SwitchAction> next(Instant now, bool mayLoad);

    /** Versions that may serve requests: targets loaded with the expected digest. */
    std::vector<std::string> announced() const;
    bool serves(std::string_view version) const;
    /** The version being fetched, if any. */
    std::optional<VersionTarget> fetching() const;
    /** The first version that is fetched but not loaded yet. */
    std::optional<std::string> waitingToLoad() const;
    bool isWaitingToLoad() const { return waitingToLoad().has_value(); }

private:
    bool isLoaded(const VersionTarget &target) const;
    bool isTarget(std::string_view version) const;
    std::vector<const VersionTarget *> targets() const;

    std::optional<VersionTarget> mServingTarget;
    std::optional<VersionTarget> mPreloadTarget;
    std::optional<VersionTarget> mPreviousTarget;
    std::map<std::string, std::string, std::less<>> mVerifiedDigests; ///< by version
    std::vector<LoadedVersion> mLoaded;
    std::set<std::string, std::less<>> mPendingOrders; ///< versions being loaded or unloaded
    std::optional<std::string> mFetchingVersion;
    std::string mFetchingDigest;
    Instant mOrderRetryAt;
};

} // namespace Loom
