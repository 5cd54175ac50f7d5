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

namespace Loom {

namespace {

constexpr int sStepMs = 5;

} // namespace

SwarmSimulator::SwarmSimulator(Scenario scenario, const ChunkPlan::Options &options)
    : mScenario(std::move(scenario))
{
    ChunkPlan::Options own = options;
    for (std::size_t member = 0; member < mScenario.members.size(); ++member) {
        ++own.seed;
        mPlans.emplace_back("digest", mScenario.chunkCount, mScenario.members[member], own,
                            at(startOf(member)));
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

// Their connections end: what they sent is lost, and what they held.
void SwarmSimulator::killMembers(int time)
{
    if (mIsKillDone || time < mScenario.killedAtMs) {
        return;
    }
    mIsKillDone = true;
    for (const std::string &box : mScenario.killed) {
        for (ChunkPlan &plan : mPlans) {
            plan.clearPeerChunks(box);
        }
    }
    const auto isOfDead
        = [&](std::size_t member) { return member < mScenario.members.size() && isKilled(member); };
    for (const Transfer &one : mTransfers) {
        if (isOfDead(one.from) && !isOfDead(one.to)) {
            mPlans[one.to].failed(one.fetch.index, one.fetch.source, ChunkFailure::Gone, at(time));
        }
    }
    std::erase_if(mTransfers,
                  [&](const Transfer &one) { return isOfDead(one.from) || isOfDead(one.to); });
    std::erase_if(mAnnouncements, [&](const Announcement &news) { return isOfDead(news.holder); });
}

int SwarmSimulator::startOf(std::size_t member) const
{
    // Neighbours in the list do not begin together.
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
    mTransfers.push_back({to, fetch, from, mScenario.chunkBytes});
}

void SwarmSimulator::failOriginPulls(int time)
{
    const auto isPull = [&](const Transfer &one) { return one.from == mScenario.members.size(); };
    for (const Transfer &one : mTransfers) {
        if (isPull(one)) {
            mPlans[one.to].failed(one.fetch.index, one.fetch.source, ChunkFailure::Gone, at(time));
        }
    }
    std::erase_if(mTransfers, isPull);
}

void SwarmSimulator::advanceTransfers(int time)
{
    std::vector<double> up(mScenario.members.size() + 1);
    std::vector<double> down(mScenario.members.size());
    for (const Transfer &one : mTransfers) {
        ++up[one.from];
        ++down[one.to];
    }
    const bool isBack = mScenario.originReturnsMs >= 0 && time >= mScenario.originReturnsMs;
    if (mScenario.originFailsMs >= 0 && time >= mScenario.originFailsMs && !isBack) {
        failOriginPulls(time);
    }
    for (Transfer &one : mTransfers) {
        const bool isOrigin = one.from == mScenario.members.size();
        const double sending
            = (isOrigin ? mScenario.originRate : mScenario.linkRate) / up[one.from];
        one.remainingBytes -= std::min(sending, mScenario.linkRate / down[one.to]) * sStepMs;
    }
    for (const Transfer &one : mTransfers) {
        if (one.remainingBytes <= 0) {
            deliver(one, time);
        }
    }
    std::erase_if(mTransfers, [](const Transfer &one) { return one.remainingBytes <= 0; });
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
    for (const Announcement &news : mAnnouncements) {
        if (news.dueMs > time) {
            continue;
        }
        const std::string &holder = mScenario.members[news.holder].box;
        for (ChunkPlan &plan : mPlans) {
            plan.addPeerChunk(holder, news.index, at(time));
        }
    }
    std::erase_if(mAnnouncements, [&](const Announcement &news) { return news.dueMs <= time; });
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
