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

// Sending to an old version stops this long before its cutoff, because a request
// may be queued at the replica or delayed by a slow link before it starts.
constexpr Milliseconds sSendMargin{1'300};
// This close to the cutoff, requests are sent only where they are certain to start in
// time. The value exceeds the queueing time at saturated replicas, and the 1.6 s for
// which data was seen to be queued on a saturated link between data centres plus a
// queueing time after it.
constexpr Milliseconds sNearCutoff{2'700};
// Requests that have not started are cancelled this long before the cutoff: the newer
// version may have been published 400 ms before this process learned of it, and the
// replica needs up to 100 ms after the connection closes to drop the request.
constexpr Milliseconds sStartDeadlineMargin{500};

} // namespace

void WeightVersionTracker::name(std::string_view model, std::uint64_t version, Instant learnedAt,
                                Instant receivedAt)
{
    auto &versions = mVersionsByModel[std::string(model)];
    const auto [it, isNew]
        = versions.emplace(version, PublishedVersion{version, 0, learnedAt, receivedAt});
    if (isNew && it != versions.begin()) {
        it->second.previousVersion = std::prev(it)->first;
    }
}

std::uint64_t WeightVersionTracker::newest(std::string_view model) const
{
    const PublishedVersion *published = find(model);
    return published == nullptr ? 1 : published->version;
}

std::uint64_t WeightVersionTracker::oldestAllowed(std::string_view model, Instant now) const
{
    const auto it = mVersionsByModel.find(model);
    if (it == mVersionsByModel.end()) {
        return 1;
    }
    // A version replaces all older ones once its grace period, less the margin, has passed.
    std::uint64_t oldest = 1;
    for (const auto &[version, published] : it->second) {
        if (now >= published.learnedAt + mGracePeriod - sSendMargin) {
            oldest = version;
        }
    }
    return oldest;
}

std::optional<Instant> WeightVersionTracker::supersededAt(std::string_view model,
                                                          std::uint64_t version) const
{
    const auto it = mVersionsByModel.find(model);
    if (it == mVersionsByModel.end()) {
        return std::nullopt;
    }
    std::optional<Instant> earliest;
    for (auto published = it->second.upper_bound(version); published != it->second.end();
         ++published) {
        const Instant learnedAt = published->second.learnedAt;
        earliest = std::min(earliest.value_or(learnedAt), learnedAt);
    }
    return earliest;
}

std::optional<Instant> WeightVersionTracker::cutoffAt(std::string_view model,
                                                      std::uint64_t version) const
{
    const auto superseded = supersededAt(model, version);
    return superseded ? std::optional(*superseded + mGracePeriod) : std::nullopt;
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
    const auto published = it->second.find(version);
    return published == it->second.end() ? Instant() : published->second.learnedAt;
}

std::vector<PublishedVersion> WeightVersionTracker::newerThan(std::string_view model,
                                                              std::uint64_t version) const
{
    std::vector<PublishedVersion> newer;
    const auto it = mVersionsByModel.find(model);
    if (it != mVersionsByModel.end()) {
        for (auto known = it->second.upper_bound(version); known != it->second.end(); ++known) {
            newer.push_back(known->second);
        }
    }
    return newer;
}

const PublishedVersion *WeightVersionTracker::find(std::string_view model) const
{
    const auto it = mVersionsByModel.find(model);
    return it == mVersionsByModel.end() || it->second.empty() ? nullptr
                                                              : &it->second.rbegin()->second;
}

} // namespace Loom
