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

/** A version and the digest of the only weights that may go by its name. */
struct VersionTarget
{
    std::string version;
    std::string manifestDigest;
};

/** What the engine says it has loaded. */
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
 * Which versions one agent fetches, loads and announces. Nothing is loaded
 * before all its chunks are verified, and nothing is announced before the
 * engine itself reports exactly it. Owned by the agent's weights service.
 */
class VersionSwitch
{
public:
    /**
     * What the configuration wants: @p serving first, then @p spread (may be
     * empty). A version serving before stays until its successor is loaded.
     */
    void setTargets(std::optional<VersionTarget> serving, std::optional<VersionTarget> preload);

    /** Every chunk of @p version is here and verified against @p manifestDigest. */
    void markFetched(std::string_view version, std::string_view manifestDigest);

    /** The engine's own report; the only source of what is loaded. */
    void setEngineReport(std::span<const LoadedVersion> loaded, Instant now);

    /** The engine restarted or cannot be asked: nothing counts as loaded. */
    void clearEngineReport();

    /** The answer to an order was lost or it failed; it may be given again later. */
    void orderEnded(std::string_view version, bool wasAccepted, Instant now);

    /** What to do now. Repeats nothing that is under way. @p mayLoad: this box's turn. */
    std::vector<SwitchAction> next(Instant now, bool mayLoad);

    /** Versions that may serve requests: targets that the engine reports exactly. */
    std::vector<std::string> announced() const;
    bool serves(std::string_view version) const;
    /** The version that is being fetched, if any. */
    std::optional<VersionTarget> fetching() const;
    /** The first version that is fetched and waits only to be loaded. */
    std::optional<std::string> waitingToLoad() const;
    bool isWaitingToLoad() const { return waitingToLoad().has_value(); }

private:
    bool isLoaded(const VersionTarget &target) const;
    bool isTarget(std::string_view version) const;
    std::vector<const VersionTarget *> targets() const;

    std::optional<VersionTarget> mServingTarget;
    std::optional<VersionTarget> mPreloadTarget;
    std::optional<VersionTarget> mPreviousTarget;
    std::map<std::string, std::string, std::less<>>
        mVerifiedDigests; ///< version -> verified digest
    std::vector<LoadedVersion> mLoaded;
    std::set<std::string, std::less<>> mPendingOrders; ///< orders under way
    std::optional<std::string> mFetchingVersion;
    std::string mFetchingDigest;
    Instant mOrderRetryAt;
};

} // namespace Loom
