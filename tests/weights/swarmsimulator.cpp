/*
 * swarmsimulator.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "swarmsimulator.h"

#include "fakelog.h"

#include <algorithm>
#include <map>

namespace Loom {

namespace {

constexpr int sStepMs = 5;

} // namespace

SwarmSimulator::SwarmSimulator(Scenario scenario, const ChunkPlan::Options &options)
    : mScenario(std::move(scenario))
{
    ChunkPlan::Options memberOptions = options;
    for (std::size_t member = 0; member < mScenario.members.size(); ++member) {
        ++memberOptions.seed;
        mPlans.emplace_back("digest", mScenario.chunkCount, mScenario.members[member],
                            memberOptions, at(startOf(member)));
        mPlans.back().setMembers(mScenario.members);
    }
}

SwarmSimulator::Result SwarmSimulator::run(int limitMs)
{
    for (int time = 0; time <= limitMs && mCounts.allCompleteMs < 0; time += sStepMs) {
        killMembers(time);
        advanceTransfers(time);
        deliverAnnouncements(time);
        for (std::size_t self = 0; self < mPlans.size(); ++self) {
            if ((isKilled(self) && mIsKillDone) || time < startOf(self)) {
                continue;
            }
            for (const ChunkFetch &fetch : mPlans[self].next(at(time))) {
                startTransfer(self, fetch, time);
            }
        }
        countComplete(mCounts, time);
    }
    return mCounts;
}

bool SwarmSimulator::isKilled(std::size_t member) const
{
    return mScenario.killed.contains(mScenario.members[member].box);
}

// The connections of the killed members end: their transfers and their chunks are lost.
void SwarmSimulator::killMembers(int time)
{
    if (mIsKillDone || time < mScenario.killedAtMs) {
        return;
    }
    mIsKillDone = true;
    for (const std::string &box : mScenario.killed) {
        for (ChunkPlan &plan : mPlans) {
            plan.setPeerLost(box, at(time));
        }
    }
    const auto isOfKilled
        = [&](std::size_t member) { return member < mScenario.members.size() && isKilled(member); };
    for (const Transfer &transfer : mTransfers) {
        if (isOfKilled(transfer.from) && !isOfKilled(transfer.to)) {
            mPlans[transfer.to].failed(transfer.fetch.index, transfer.fetch.source,
                                       ChunkFailure::Gone, at(time));
        }
    }
    std::erase_if(mTransfers, [&](const Transfer &transfer) {
        return isOfKilled(transfer.from) || isOfKilled(transfer.to);
    });
    std::erase_if(mAnnouncements, [&](const Announcement &announcement) {
        return isOfKilled(announcement.holder);
    });
}

int SwarmSimulator::startOf(std::size_t member) const
{
    // Adjacent members in the list do not start together.
    const std::size_t place = member * 7 % mScenario.members.size();
    return mScenario.maxStartDelayMs * static_cast<int>(place)
        / static_cast<int>(mScenario.members.size());
}

std::size_t SwarmSimulator::memberOf(const ChunkSource &source) const
{
    const auto *peer = std::get_if<FromPeer>(&source);
    if (peer == nullptr) {
        return mScenario.members.size();
    }
    const auto it = std::ranges::find(mScenario.members, peer->box, &SwarmMember::box);
    return static_cast<std::size_t>(it - mScenario.members.begin());
}

void SwarmSimulator::startTransfer(std::size_t to, const ChunkFetch &fetch, int time)
{
    const std::size_t from = memberOf(fetch.source);
    if (from < mScenario.members.size()) {
        if (isKilled(from) && mIsKillDone) {
            mPlans[to].failed(fetch.index, fetch.source, ChunkFailure::Gone, at(time));
            return;
        }
        const auto uploads = std::ranges::count(mTransfers, from, &Transfer::from);
        if (uploads >= static_cast<std::ptrdiff_t>(mScenario.maxUploads)) {
            mPlans[to].failed(fetch.index, fetch.source, ChunkFailure::Busy, at(time));
            return;
        }
    }
    if (from == mScenario.members.size()) {
        mAnnouncements.push_back({to, fetch.index, time + mScenario.announceDelayMs, true});
    }
    mTransfers.push_back({to, fetch, from, mScenario.chunkBytes});
}

void SwarmSimulator::failOriginPulls(int time)
{
    const auto isPull
        = [&](const Transfer &transfer) { return transfer.from == mScenario.members.size(); };
    for (const Transfer &transfer : mTransfers) {
        if (isPull(transfer)) {
            mPlans[transfer.to].failed(transfer.fetch.index, transfer.fetch.source,
                                       ChunkFailure::Gone, at(time));
        }
    }
    std::erase_if(mTransfers, isPull);
}

void SwarmSimulator::advanceTransfers(int time)
{
    std::vector<double> uploadCounts(mScenario.members.size() + 1);
    std::vector<double> downloadCounts(mScenario.members.size());
    std::map<std::pair<std::string, std::string>, double> regionCounts;
    for (const Transfer &transfer : mTransfers) {
        ++uploadCounts[transfer.from];
        ++downloadCounts[transfer.to];
        ++regionCounts[regionLink(transfer)];
    }
    const bool isBack = mScenario.originReturnsMs >= 0 && time >= mScenario.originReturnsMs;
    if (mScenario.originFailsMs >= 0 && time >= mScenario.originFailsMs && !isBack) {
        failOriginPulls(time);
    }
    for (Transfer &transfer : mTransfers) {
        const bool isOrigin = transfer.from == mScenario.members.size();
        const double sending
            = (isOrigin ? mScenario.originRate : mScenario.linkRate) / uploadCounts[transfer.from];
        double rate = std::min(sending, mScenario.linkRate / downloadCounts[transfer.to]);
        const auto link = regionLink(transfer);
        if (!link.first.empty()) {
            rate = std::min(rate, mScenario.regionRate / regionCounts[link]);
        }
        transfer.remainingBytes -= rate * sStepMs;
    }
    for (const Transfer &transfer : mTransfers) {
        if (transfer.remainingBytes <= 0) {
            deliver(transfer, time);
        }
    }
    std::erase_if(mTransfers,
                  [](const Transfer &transfer) { return transfer.remainingBytes <= 0; });
}

std::pair<std::string, std::string> SwarmSimulator::regionLink(const Transfer &transfer) const
{
    if (transfer.from == mScenario.members.size()) {
        return {};
    }
    const std::string &from = mScenario.members[transfer.from].dataCentre;
    const std::string &to = mScenario.members[transfer.to].dataCentre;
    return from == to ? std::pair<std::string, std::string>() : std::pair(from, to);
}

void SwarmSimulator::deliver(const Transfer &done, int time)
{
    mPlans[done.to].received(done.fetch.index, done.fetch.source, at(time));
    mAnnouncements.push_back({done.to, done.fetch.index, time + mScenario.announceDelayMs});
    if (done.from == mScenario.members.size()) {
        ++mCounts.originChunks;
    } else if (mScenario.members[done.from].dataCentre != mScenario.members[done.to].dataCentre) {
        ++mCounts.crossDataCentreChunks;
    }
}

void SwarmSimulator::deliverAnnouncements(int time)
{
    for (const Announcement &announcement : mAnnouncements) {
        if (announcement.dueMs > time) {
            continue;
        }
        const std::string &holder = mScenario.members[announcement.holder].box;
        for (ChunkPlan &plan : mPlans) {
            if (announcement.isPull) {
                plan.addPeerPull(holder, announcement.index, at(time));
            } else {
                plan.addPeerChunk(holder, announcement.index, at(time));
            }
        }
    }
    std::erase_if(mAnnouncements,
                  [&](const Announcement &announcement) { return announcement.dueMs <= time; });
}

void SwarmSimulator::countComplete(Result &result, int time) const
{
    std::size_t complete = 0;
    std::size_t living = 0;
    for (std::size_t self = 0; self < mPlans.size(); ++self) {
        living += isKilled(self) ? 0 : 1;
        complete += !isKilled(self) && mPlans[self].isComplete() ? 1 : 0;
    }
    if (complete > 0 && result.firstCompleteMs < 0) {
        result.firstCompleteMs = time;
    }
    if (complete == living) {
        result.allCompleteMs = time;
    }
}

} // namespace Loom
