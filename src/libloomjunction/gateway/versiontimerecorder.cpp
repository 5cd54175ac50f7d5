/*
 * versiontimerecorder.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "versiontimerecorder.h"

#include "clock.h"
#include "feedservice.h"
#include "jsonlog.h"
#include "memberservice.h"
#include "operatorconfigservice.h"
#include "rendezvous.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::string_view sOwnRecord = "own record";
constexpr std::chrono::milliseconds sRetryDelay{400};

} // namespace

VersionTimeRecorder::VersionTimeRecorder(StorePort &store, std::string dataCentre,
                                         std::string bootId)
    : mStore(store)
    , mDataCentre(std::move(dataCentre))
    , mBootId(std::move(bootId))
{
}

tl::expected<void, std::string> VersionTimeRecorder::start(Kernel &kernel)
{
    mFeeds = &kernel.find<FeedService>(FeedService::sName);
    mMembers = &kernel.find<MemberService>(MemberService::sName);
    mConfig = &kernel.find<OperatorConfigService>(OperatorConfigService::sName);
    mKey = std::string(sVersionTimeKeys) + mMembers->key();
    mChanged = std::make_unique<Signal>(kernel.executor());
    mFeeds->listen(Feed::Members, [this](const FeedChange &change) { applyRecord(change); });
    mConfig->addListener([this] { mChanged->notify(); });
    if (!mBootId.empty()) {
        asio::co_spawn(kernel.executor(), run(), asio::detached);
    }
    return {};
}

void VersionTimeRecorder::stop()
{
    mStopped = true;
    mChanged->notify();
}

// The times are those of the clock that goes on, so a record that is read late is as good as any.
void VersionTimeRecorder::applyRecord(const FeedChange &change)
{
    if (change.record.key != mKey || !change.record.value || mBootId.empty()) {
        return;
    }
    const auto versions = readVersionTimeRecord(*change.record.value, boot(), now());
    if (!versions) {
        logLine(LogLevel::Warning, "version-times-refused",
                {{"key", mKey}, {"problem", versions.error()}});
        return;
    }
    for (const SupersededVersion &version : *versions) {
        mRecorded.emplace(version.model, version.version);
        mConfig->noteSuperseded(version, sOwnRecord);
    }
}

BoxBoot VersionTimeRecorder::boot() const
{
    const auto uptime = std::chrono::duration_cast<WallMilliseconds>(now().time_since_epoch());
    return {mBootId, wallNow() - uptime};
}

awaitable<void> VersionTimeRecorder::run()
{
    while (!mStopped) {
        const std::vector<SupersededVersion> versions = currentVersions();
        if (isRecorded(versions) || !isRecorder()) {
            co_await mChanged->waitFor(mConfig->weights().gracePeriod());
            continue;
        }
        const auto done = co_await mStore.put(mKey, versionTimeRecord(versions, boot()));
        if (!done) {
            co_await sleepFor(sRetryDelay);
            continue;
        }
        for (const SupersededVersion &version : versions) {
            mRecorded.emplace(version.model, version.version);
        }
    }
}

// Processes that know different members may both be the recorder, or none for a while.
bool VersionTimeRecorder::isRecorder() const
{
    const auto weight
        = [](std::string_view key) { return rendezvousWeight(sVersionTimeKeys, key); };
    const std::vector<Member> others = mMembers->others();
    return std::ranges::none_of(others, [&](const Member &member) {
        return member.dataCentre == mDataCentre
            && weight(endpointText(member.peers)) > weight(mMembers->key());
    });
}

std::vector<SupersededVersion> VersionTimeRecorder::currentVersions() const
{
    std::vector<SupersededVersion> versions = mConfig->weights().knownSuperseded();
    const Instant time = now();
    std::erase_if(versions, [&](const SupersededVersion &version) {
        const auto maxAge = version.supersededAt.maxAge(time);
        return !maxAge || *maxAge >= mConfig->weights().gracePeriod();
    });
    return versions;
}

bool VersionTimeRecorder::isRecorded(const std::vector<SupersededVersion> &versions) const
{
    return std::ranges::all_of(versions, [this](const SupersededVersion &version) {
        return mRecorded.contains({version.model, version.version});
    });
}

} // namespace Loom
