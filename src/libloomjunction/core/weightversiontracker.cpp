/*
 * weightversiontracker.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "weightversiontracker.h"

#include <algorithm>

namespace Loom {

namespace {

// A request may wait at a replica, or on a narrow link on its way, before it
// begins, so sending stops this much earlier.
constexpr Milliseconds sSendMargin{1'300};
// So long before a version is over, what is sent to it must begin in time for sure:
// longer than requests wait at full replicas, and than the 1.6 s for which bytes
// were seen to lie on a full link between data centres, with a wait after it.
constexpr Milliseconds sNearCutoff{2'700};
// What has not begun is given up so long before its weights are over: operators may
// have named the newer ones 400 ms before it was heard here, and the end of the
// connection needs up to 100 ms until the replica drops the request.
constexpr Milliseconds sStartDeadlineMargin{500};

} // namespace

void WeightVersionTracker::name(std::string_view model, std::uint64_t version, Instant learnedAt)
{
    auto &versions = mVersionsByModel[std::string(model)];
    const auto [it, isNew] = versions.emplace(version, PublishedVersion{version, 0, learnedAt});
    if (isNew && it != versions.begin()) {
        it->second.previousVersion = std::prev(it)->first;
    }
}

std::uint64_t WeightVersionTracker::newest(std::string_view model) const
{
    const PublishedVersion *named = find(model);
    return named == nullptr ? 1 : named->version;
}

std::uint64_t WeightVersionTracker::oldestAllowed(std::string_view model, Instant now) const
{
    const auto it = mVersionsByModel.find(model);
    if (it == mVersionsByModel.end()) {
        return 1;
    }
    // A version is due once it was named for long enough; all before it are over.
    std::uint64_t oldest = 1;
    for (const auto &[version, named] : it->second) {
        if (now >= named.learnedAt + mGracePeriod - sSendMargin) {
            oldest = version;
        }
    }
    return oldest;
}

std::optional<Instant> WeightVersionTracker::cutoffAt(std::string_view model,
                                                      std::uint64_t version) const
{
    const auto it = mVersionsByModel.find(model);
    if (it == mVersionsByModel.end()) {
        return std::nullopt;
    }
    std::optional<Instant> earliest;
    for (auto named = it->second.upper_bound(version); named != it->second.end(); ++named) {
        const Instant over = named->second.learnedAt + mGracePeriod;
        earliest = std::min(earliest.value_or(over), over);
    }
    return earliest;
}

bool WeightVersionTracker::isCutoffNear(std::string_view model, std::uint64_t version,
                                        Instant now) const
{
    const auto over = cutoffAt(model, version);
    return over && *over - now < sNearCutoff;
}

std::optional<Instant> WeightVersionTracker::startDeadline(std::string_view model,
                                                           std::uint64_t version) const
{
    const auto over = cutoffAt(model, version);
    return over ? std::optional(*over - sStartDeadlineMargin) : std::nullopt;
}

Instant WeightVersionTracker::learnedAt(std::string_view model, std::uint64_t version) const
{
    const auto it = mVersionsByModel.find(model);
    if (it == mVersionsByModel.end()) {
        return {};
    }
    const auto named = it->second.find(version);
    return named == it->second.end() ? Instant() : named->second.learnedAt;
}

const PublishedVersion *WeightVersionTracker::find(std::string_view model) const
{
    const auto it = mVersionsByModel.find(model);
    return it == mVersionsByModel.end() || it->second.empty() ? nullptr
                                                              : &it->second.rbegin()->second;
}

} // namespace Loom
