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
constexpr Milliseconds sSendMargin{1'100};
// This close to the cutoff, requests are sent only where they are certain to start in
// time. The value exceeds the queueing time at saturated replicas, and the 1.6 s for
// which data was seen to be queued on a saturated link between data centres plus a
// queueing time after it.
constexpr Milliseconds sNearCutoff{2'500};
// Requests that have not started are cancelled this long before the cutoff: the event loop may be
// held up, and the replica needs up to 100 ms after the connection closes to drop the request.
constexpr Milliseconds sStartDeadlineMargin{300};
constexpr std::size_t sMaxReportedVersions = 8;
// A process that was out of contact learns of a version when most of the grace period is over.
constexpr int sChecksPerGracePeriod = 16;

} // namespace

void WeightVersionTracker::name(std::string_view modelName, std::uint64_t version,
                                const EventTime &publishedAt, Instant receivedAt)
{
    Model &model = mModels[std::string(modelName)];
    // A record that is written again says nothing about the first publication.
    const bool isNew
        = model.published.emplace(version, PublishedVersion{version, publishedAt, receivedAt})
              .second;
    if (!isNew || version <= 1) {
        return;
    }
    model.superseded[version - 1].narrow(publishedAt);
    // Others between the first version and this one may not have been received.
    model.superseded[1].notAfter(publishedAt.latest());
}

void WeightVersionTracker::noteNewest(std::string_view model, Instant time)
{
    const std::uint64_t version = newest(model);
    mModels[std::string(model)].superseded[version].notBefore(time);
}

// A version that other processes received was published even if this process lacks it.
bool WeightVersionTracker::narrow(const SupersededVersion &superseded)
{
    Model &model = mModels[superseded.model];
    const EventTime before = model.supersededAt(superseded.version);
    const std::uint64_t newestBefore = model.newestKnown();
    model.newestReported = std::max(model.newestReported, superseded.version + 1);
    model.superseded[superseded.version].narrow(superseded.supersededAt);
    return model.newestKnown() != newestBefore
        || model.supersededAt(superseded.version).earliest() != before.earliest();
}

std::vector<SupersededVersion> WeightVersionTracker::knownSuperseded() const
{
    std::vector<SupersededVersion> known;
    for (const auto &[name, model] : mModels) {
        std::size_t count = 0;
        for (auto entry = model.superseded.rbegin(); entry != model.superseded.rend(); ++entry) {
            const EventTime time = model.supersededAt(entry->first);
            const bool isKnown = entry->first < model.newestKnown() && time.earliest();
            if (isKnown && count++ < sMaxReportedVersions) {
                known.push_back({name, entry->first, time});
            }
        }
    }
    return known;
}

bool WeightVersionTracker::hasUnknownTime(Instant now) const
{
    return std::ranges::any_of(mModels, [&](const auto &item) {
        const Model &model = item.second;
        return std::ranges::any_of(model.superseded, [&](const auto &entry) {
            const EventTime time = model.supersededAt(entry.first);
            const auto minAge = time.minAge(now);
            return entry.first < model.newestKnown() && !time.earliest() && minAge
                && *minAge < mGracePeriod;
        });
    });
}

std::uint64_t WeightVersionTracker::Model::newestKnown() const
{
    const std::uint64_t received = published.empty() ? 1 : published.rbegin()->first;
    return std::max(received, newestReported);
}

// A version cannot have been superseded before an older one was, nor after a newer one was.
EventTime WeightVersionTracker::Model::supersededAt(std::uint64_t version) const
{
    EventTime time;
    for (const auto &[key, entry] : superseded) {
        if (key <= version) {
            time.notBefore(entry.earliest());
        }
        if (key >= version) {
            time.notAfter(entry.latest());
        }
    }
    return time;
}

std::uint64_t WeightVersionTracker::newest(std::string_view model) const
{
    const PublishedVersion *published = find(model);
    return published == nullptr ? 1 : published->version;
}

std::uint64_t WeightVersionTracker::oldestAllowed(std::string_view modelName, Instant now) const
{
    const auto it = mModels.find(modelName);
    if (it == mModels.end()) {
        return 1;
    }
    // The known cutoffs rise with the version, and that of a version between two keys is that of
    // the smaller key.
    const Model &model = it->second;
    std::optional<Instant> earliest;
    for (const auto &[version, superseded] : model.superseded) {
        earliest = std::max(earliest, superseded.earliest());
        if (earliest && now < *earliest + mGracePeriod - sSendMargin) {
            return version;
        }
    }
    return model.newestKnown();
}

std::optional<EventTime> WeightVersionTracker::supersededAt(std::string_view modelName,
                                                            std::uint64_t version) const
{
    const auto it = mModels.find(modelName);
    if (it == mModels.end() || version >= it->second.newestKnown()) {
        return std::nullopt;
    }
    return it->second.supersededAt(version);
}

std::optional<Instant> WeightVersionTracker::cutoffAt(std::string_view model,
                                                      std::uint64_t version) const
{
    const auto superseded = supersededAt(model, version);
    if (!superseded) {
        return std::nullopt;
    }
    const auto earliest = superseded->earliest();
    return earliest ? *earliest + mGracePeriod : Instant();
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

Instant WeightVersionTracker::nextCheckAt(Instant now) const
{
    return now + mGracePeriod / sChecksPerGracePeriod;
}

EventTime WeightVersionTracker::publishedAt(std::string_view model, std::uint64_t version) const
{
    const auto it = mModels.find(model);
    if (it == mModels.end()) {
        return {};
    }
    const auto published = it->second.published.find(version);
    return published == it->second.published.end() ? EventTime() : published->second.publishedAt;
}

std::vector<PublishedVersion> WeightVersionTracker::newerThan(std::string_view model,
                                                              std::uint64_t version) const
{
    std::vector<PublishedVersion> newer;
    const auto it = mModels.find(model);
    if (it != mModels.end()) {
        const auto &published = it->second.published;
        for (auto known = published.upper_bound(version); known != published.end(); ++known) {
            newer.push_back(known->second);
        }
    }
    return newer;
}

const PublishedVersion *WeightVersionTracker::find(std::string_view model) const
{
    const auto it = mModels.find(model);
    return it == mModels.end() || it->second.published.empty()
        ? nullptr
        : &it->second.published.rbegin()->second;
}

} // namespace Loom
