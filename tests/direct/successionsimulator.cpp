/*
 * successionsimulator.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "successionsimulator.h"

#include "fakelog.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr int sStepMs = 5;
constexpr int sManifestDelayMs = 150;
constexpr double sOriginIntervalFactor = 0.85; // as in the weight staging service
constexpr int sMaxStartDelayMs = 300;

} // namespace

SuccessionSimulator::SuccessionSimulator(Scenario scenario)
    : mScenario(std::move(scenario))
    , mResults(mScenario.versionCount)
{
    for (int member = 0; member < mScenario.memberCount; ++member) {
        mMembers.push_back({"box-" + std::to_string(member),
                            "dc-" + std::to_string(member % mScenario.dataCentreCount)});
    }
    for (std::uint32_t version = 0; version < mScenario.versionCount; ++version) {
        for (int member = 0; member < mScenario.memberCount; ++member) {
            const int startMs = mScenario.startMs(version, member);
            mFetches.push_back({createPlan(version, member, startMs), version, member, startMs,
                                mScenario.cancelMs(version, member),
                                std::vector<bool>(mScenario.chunkCount)});
        }
    }
}

ChunkPlan SuccessionSimulator::createPlan(std::uint32_t version, int member, int startMs) const
{
    ChunkPlan::Options options;
    options.neighbourCount = 12;
    options.hasSingleImport = true;
    options.maxTakeoverDelay = Milliseconds(2'000);
    options.maxOriginRequests = 1;
    options.maxPeerRequests = 3;
    options.originPullInterval = Microseconds(static_cast<std::int64_t>(
        sOriginIntervalFactor * mScenario.chunkBytes / mScenario.originRate * 1'000));
    options.originPullStart = at(mScenario.startMs(version, 0) + sManifestDelayMs);
    options.seed = mScenario.seed * 1'000 + static_cast<std::uint64_t>(member);
    ChunkPlan plan("digest-" + std::to_string(version) + "-" + std::to_string(mScenario.seed),
                   mScenario.chunkCount, mMembers[static_cast<std::size_t>(member)], options,
                   at(std::max(startMs, 0)));
    plan.setMembers(mMembers);
    return plan;
}

std::vector<SuccessionSimulator::VersionResult> SuccessionSimulator::run(int limitMs)
{
    for (int time = 0; time <= limitMs; time += sStepMs) {
        if (time == mScenario.killMs) {
            killMembers();
        }
        advanceTransfers(time);
        deliverAnnouncements(time);
        for (std::size_t self = 0; self < mFetches.size(); ++self) {
            if (!isRunning(mFetches[self], time)) {
                continue;
            }
            for (const ChunkFetch &request : mFetches[self].plan.next(at(time))) {
                startTransfer(self, request, time);
            }
        }
        if (countComplete(time)) {
            break;
        }
    }
    return mResults;
}

bool SuccessionSimulator::isRunning(const Fetch &fetch, int time) const
{
    const bool isCancelled = fetch.cancelMs >= 0 && time >= fetch.cancelMs;
    return fetch.startMs >= 0 && time >= fetch.startMs && !isCancelled;
}

bool SuccessionSimulator::isOriginUp(int time) const
{
    return mScenario.originFailsMs < 0 || time < mScenario.originFailsMs;
}

int SuccessionSimulator::memberOf(const ChunkSource &source) const
{
    const auto *peer = std::get_if<FromPeer>(&source);
    if (peer == nullptr) {
        return mScenario.memberCount;
    }
    const auto it = std::ranges::find(mMembers, peer->box, &SwarmMember::box);
    return static_cast<int>(it - mMembers.begin());
}

// Every process and its connections end; what the stages hold is adopted at the new start.
void SuccessionSimulator::killMembers()
{
    mTransfers.clear();
    mAnnouncements.clear();
    std::mt19937_64 random(mScenario.seed);
    for (Fetch &fetch : mFetches) {
        if (fetch.startMs < 0) {
            continue;
        }
        fetch.startMs = mScenario.restartMs
            + sMaxStartDelayMs * (fetch.member * 7 % mScenario.memberCount) / mScenario.memberCount;
        ChunkPlan restarted = createPlan(fetch.version, fetch.member, fetch.startMs);
        const bool isStageLost
            = mScenario.emptyStageEvery > 0 && fetch.member % mScenario.emptyStageEvery == 0;
        for (std::uint32_t index = 0; index < mScenario.chunkCount; ++index) {
            const bool isRetained = mScenario.retention == Retention::All
                || (mScenario.retention == Retention::OwnPulls && fetch.isOwnPull[index]);
            const bool isCorrupt = random() % 100 < mScenario.corruptPercent;
            if (fetch.plan.has(index) && isRetained && !isCorrupt && !isStageLost) {
                restarted.addStored(index);
                mAnnouncements.push_back(
                    {static_cast<std::size_t>(&fetch - mFetches.data()), index,
                     mScenario.restartMs + sMaxStartDelayMs + mScenario.announceDelayMs});
            }
        }
        fetch.plan = std::move(restarted);
    }
}

void SuccessionSimulator::startTransfer(std::size_t to, const ChunkFetch &request, int time)
{
    const int from = memberOf(request.source);
    ChunkPlan &plan = mFetches[to].plan;
    if (from < mScenario.memberCount) {
        const auto uploads = std::ranges::count(mTransfers, from, &Transfer::from);
        if (uploads >= static_cast<std::ptrdiff_t>(mScenario.maxUploads)) {
            plan.failed(request.index, request.source, ChunkFailure::Busy, at(time));
            return;
        }
    } else if (!isOriginUp(time)) {
        plan.failed(request.index, request.source, ChunkFailure::Gone, at(time));
        return;
    } else {
        mAnnouncements.push_back({to, request.index, time + mScenario.announceDelayMs, true});
    }
    mTransfers.push_back({to, request, from, mScenario.chunkBytes});
}

void SuccessionSimulator::advanceTransfers(int time)
{
    std::vector<double> uploadCounts(mMembers.size() + 1);
    std::vector<double> downloadCounts(mMembers.size());
    for (const Transfer &transfer : mTransfers) {
        ++uploadCounts[static_cast<std::size_t>(transfer.from)];
        ++downloadCounts[static_cast<std::size_t>(mFetches[transfer.to].member)];
    }
    std::vector<Transfer> open;
    for (Transfer &transfer : mTransfers) {
        Fetch &fetch = mFetches[transfer.to];
        const auto to = static_cast<std::size_t>(fetch.member);
        const auto from = static_cast<std::size_t>(transfer.from);
        const bool isOrigin = transfer.from == mScenario.memberCount;
        if (!isRunning(fetch, time) || (isOrigin && !isOriginUp(time))) {
            fetch.plan.failed(transfer.fetch.index, transfer.fetch.source, ChunkFailure::Gone,
                              at(time));
            continue;
        }
        const double sending
            = (isOrigin ? mScenario.originRate : mScenario.linkRate) / uploadCounts[from];
        transfer.remainingBytes
            -= std::min(sending, mScenario.linkRate / downloadCounts[to]) * sStepMs;
        if (transfer.remainingBytes > 0) {
            open.push_back(transfer);
            continue;
        }
        fetch.plan.received(transfer.fetch.index, transfer.fetch.source, at(time));
        fetch.isOwnPull[transfer.fetch.index] = isOrigin;
        mResults[fetch.version].originChunks += isOrigin ? 1 : 0;
        mAnnouncements.push_back(
            {transfer.to, transfer.fetch.index, time + mScenario.announceDelayMs});
    }
    mTransfers = std::move(open);
}

void SuccessionSimulator::deliverAnnouncements(int time)
{
    for (const Announcement &announcement : mAnnouncements) {
        if (announcement.dueMs > time) {
            continue;
        }
        const Fetch &from = mFetches[announcement.from];
        const std::string &holder = mMembers[static_cast<std::size_t>(from.member)].box;
        for (Fetch &fetch : mFetches) {
            if (fetch.version != from.version || !isRunning(fetch, time)) {
                continue;
            }
            if (announcement.isPull) {
                fetch.plan.addPeerPull(holder, announcement.index, at(time));
            } else {
                fetch.plan.addPeerChunk(holder, announcement.index, at(time));
            }
        }
    }
    std::erase_if(mAnnouncements,
                  [&](const Announcement &announcement) { return announcement.dueMs <= time; });
}

// Returns whether nothing is left to fetch.
bool SuccessionSimulator::countComplete(int time)
{
    bool isAllDone = mScenario.killMs < 0 || time > mScenario.restartMs;
    for (std::uint32_t version = 0; version < mScenario.versionCount; ++version) {
        VersionResult &result = mResults[version];
        result.completeCount = 0;
        for (const Fetch &fetch : mFetches) {
            const bool isOfVersion = fetch.version == version;
            const bool isCancelled = fetch.cancelMs >= 0 && time >= fetch.cancelMs;
            result.completeCount += isOfVersion && fetch.plan.isComplete() ? 1 : 0;
            const bool isDone = fetch.plan.isComplete() || isCancelled || fetch.startMs < 0;
            isAllDone = isAllDone && isDone;
        }
        if (result.completeCount == mScenario.memberCount && result.allCompleteMs < 0) {
            result.allCompleteMs = time;
        }
    }
    return isAllDone;
}

} // namespace Loom
