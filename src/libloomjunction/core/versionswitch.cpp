/*
 * versionswitch.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "versionswitch.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr Milliseconds sOrderRetryDelay{1'000};

bool isSame(const std::optional<VersionTarget> &a, const std::optional<VersionTarget> &b)
{
    if (!a || !b) {
        return a.has_value() == b.has_value();
    }
    return a->version == b->version && a->manifestDigest == b->manifestDigest;
}

} // namespace

void VersionSwitch::setTargets(std::optional<VersionTarget> serving,
                               std::optional<VersionTarget> preload)
{
    // Only a loaded version can serve until the new target is ready. A target that
    // was not loaded yet must not replace the version that is serving.
    if (!isSame(serving, mServingTarget) && mServingTarget && isLoaded(*mServingTarget)) {
        mPreviousTarget = mServingTarget;
    }
    mServingTarget = std::move(serving);
    mPreloadTarget = std::move(preload);
}

void VersionSwitch::markFetched(std::string_view version, std::string_view manifestDigest)
{
    const bool isCurrent = mFetchingVersion == version && mFetchingDigest == manifestDigest;
    if (!isCurrent) {
        return; // the fetch was superseded before its last chunk arrived
    }
    mVerifiedDigests[std::string(version)] = std::string(manifestDigest);
    mFetchingVersion.reset();
}

void VersionSwitch::setEngineReport(std::span<const LoadedVersion> loaded, Instant)
{
    mLoaded.assign(loaded.begin(), loaded.end());
    const bool isServingLoaded = mServingTarget && isLoaded(*mServingTarget);
    if (isServingLoaded) {
        mPreviousTarget.reset();
    }
}

void VersionSwitch::clearEngineReport()
{
    mLoaded.clear();
}

void VersionSwitch::orderEnded(std::string_view version, bool wasAccepted, Instant now)
{
    const auto it = mPendingOrders.find(version);
    if (it != mPendingOrders.end()) {
        mPendingOrders.erase(it);
    }
    if (!wasAccepted) {
        mOrderRetryAt = now + sOrderRetryDelay;
    }
}

std::vector<const VersionTarget *> VersionSwitch::targets() const
{
    std::vector<const VersionTarget *> all;
    for (const auto *target : {&mServingTarget, &mPreloadTarget, &mPreviousTarget}) {
        const auto isKnown
            = [&](const VersionTarget *other) { return other->version == (*target)->version; };
        if (*target && std::ranges::none_of(all, isKnown)) {
            all.push_back(&**target);
        }
    }
    return all;
}

bool VersionSwitch::isTarget(std::string_view version) const
{
    return std::ranges::any_of(
        targets(), [&](const VersionTarget *target) { return target->version == version; });
}

bool VersionSwitch::isLoaded(const VersionTarget &target) const
{
    return std::ranges::any_of(mLoaded, [&](const LoadedVersion &loaded) {
        return loaded.version == target.version && loaded.manifestDigest == target.manifestDigest;
    });
}

std::vector<SwitchAction> VersionSwitch::next(Instant now, bool mayLoad)
{
    std::vector<SwitchAction> actions;
    if (mFetchingVersion && !isTarget(*mFetchingVersion)) {
        actions.emplace_back(StopFetch{*mFetchingVersion});
        mFetchingVersion.reset();
    }
    std::erase_if(mVerifiedDigests, [&](const auto &pair) { return !isTarget(pair.first); });

    const bool mayOrder = now >= mOrderRetryAt;
    for (const VersionTarget *target : targets()) {
        if (isLoaded(*target)) {
            continue;
        }
        const auto have = mVerifiedDigests.find(target->version);
        const bool verified
            = have != mVerifiedDigests.end() && have->second == target->manifestDigest;
        if (!verified && !mFetchingVersion) {
            mFetchingVersion = target->version;
            mFetchingDigest = target->manifestDigest;
            actions.emplace_back(StartFetch{*target});
        }
        if (verified && mayOrder && mayLoad && !mPendingOrders.contains(target->version)) {
            mPendingOrders.insert(target->version);
            actions.emplace_back(OrderLoad{*target});
        }
    }
    for (const LoadedVersion &loaded : mLoaded) {
        const bool isUnwanted
            = !isTarget(loaded.version) && mServingTarget && isLoaded(*mServingTarget);
        if (isUnwanted && mayOrder && !mPendingOrders.contains(loaded.version)) {
            mPendingOrders.insert(loaded.version);
            actions.emplace_back(OrderUnload{loaded.version});
        }
    }
    return actions;
}

std::vector<std::string> VersionSwitch::announced() const
{
    std::vector<std::string> versions;
    for (const VersionTarget *target : targets()) {
        if (isLoaded(*target)) {
            versions.push_back(target->version);
        }
    }
    return versions;
}

bool VersionSwitch::serves(std::string_view version) const
{
    return std::ranges::any_of(targets(), [&](const VersionTarget *target) {
        return target->version == version && isLoaded(*target);
    });
}

std::optional<VersionTarget> VersionSwitch::fetching() const
{
    if (!mFetchingVersion) {
        return std::nullopt;
    }
    return VersionTarget{*mFetchingVersion, mFetchingDigest};
}

std::optional<std::string> VersionSwitch::waitingToLoad() const
{
    for (const VersionTarget *target : targets()) {
        if (mVerifiedDigests.contains(target->version) && !isLoaded(*target)) {
            return target->version;
        }
    }
    return std::nullopt;
}

} // namespace Loom
