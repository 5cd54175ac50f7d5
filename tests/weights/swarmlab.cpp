/*
 * swarmlab.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "swarmlab.h"

#include "fakelog.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr int sStepMs = 5;

} // namespace

SwarmLab::SwarmLab(Shape shape, const ChunkPlan::Options &options)
    : mShape(std::move(shape))
{
    ChunkPlan::Options own = options;
    for (std::size_t member = 0; member < mShape.members.size(); ++member) {
        ++own.seed;
        mPlans.emplace_back("digest", mShape.chunkCount, mShape.members[member], own,
                            at(beginOf(member)));
        mPlans.back().setMembers(mShape.members);
    }
}

SwarmLab::Result SwarmLab::play(int limitMs)
{
    for (int time = 0; time <= limitMs && mCounts.lastMs < 0; time += sStepMs) {
        killDead(time);
        transfer(time);
        tellNews(time);
        for (std::size_t self = 0; self < mPlans.size(); ++self) {
            if ((isDead(self) && mIsDeadGone) || time < beginOf(self)) {
                continue;
            }
            for (const ChunkFetch &fetch : mPlans[self].next(at(time))) {
                admit(self, fetch, time);
            }
        }
        countComplete(mCounts, time);
    }
    return mCounts;
}

bool SwarmLab::isDead(std::size_t member) const
{
    return mShape.dead.contains(mShape.members[member].box);
}

// Their connections end: what they sent is lost, and what they held.
void SwarmLab::killDead(int time)
{
    if (mIsDeadGone || time < mShape.deadFromMs) {
        return;
    }
    mIsDeadGone = true;
    for (const std::string &box : mShape.dead) {
        for (ChunkPlan &plan : mPlans) {
            plan.peerGone(box);
        }
    }
    const auto isOfDead
        = [&](std::size_t member) { return member < mShape.members.size() && isDead(member); };
    for (const Transfer &one : mOpen) {
        if (isOfDead(one.from) && !isOfDead(one.to)) {
            mPlans[one.to].failed(one.fetch.index, one.fetch.source, ChunkFailure::Gone, at(time));
        }
    }
    std::erase_if(mOpen,
                  [&](const Transfer &one) { return isOfDead(one.from) || isOfDead(one.to); });
    std::erase_if(mNews, [&](const News &news) { return isOfDead(news.holder); });
}

int SwarmLab::beginOf(std::size_t member) const
{
    // Neighbours in the list do not begin together.
    const std::size_t place = member * 7 % mShape.members.size();
    return mShape.mostBeginMs * static_cast<int>(place) / static_cast<int>(mShape.members.size());
}

std::size_t SwarmLab::memberOf(const ChunkSource &source) const
{
    const auto *peer = std::get_if<FromPeer>(&source);
    if (peer == nullptr) {
        return mShape.members.size();
    }
    const auto it = std::ranges::find(mShape.members, peer->box, &SwarmMember::box);
    return static_cast<std::size_t>(it - mShape.members.begin());
}

void SwarmLab::admit(std::size_t to, const ChunkFetch &fetch, int time)
{
    const std::size_t from = memberOf(fetch.source);
    if (from < mShape.members.size()) {
        if (isDead(from) && mIsDeadGone) {
            mPlans[to].failed(fetch.index, fetch.source, ChunkFailure::Gone, at(time));
            return;
        }
        const auto uploads = std::ranges::count(mOpen, from, &Transfer::from);
        if (uploads >= static_cast<std::ptrdiff_t>(mShape.mostUploads)) {
            mPlans[to].failed(fetch.index, fetch.source, ChunkFailure::Busy, at(time));
            return;
        }
    }
    mOpen.push_back({to, fetch, from, mShape.chunkBytes});
}

void SwarmLab::failOriginPulls(int time)
{
    const auto isPull = [&](const Transfer &one) { return one.from == mShape.members.size(); };
    for (const Transfer &one : mOpen) {
        if (isPull(one)) {
            mPlans[one.to].failed(one.fetch.index, one.fetch.source, ChunkFailure::Gone, at(time));
        }
    }
    std::erase_if(mOpen, isPull);
}

void SwarmLab::transfer(int time)
{
    std::vector<double> up(mShape.members.size() + 1);
    std::vector<double> down(mShape.members.size());
    for (const Transfer &one : mOpen) {
        ++up[one.from];
        ++down[one.to];
    }
    const bool isBack = mShape.originReturnsMs >= 0 && time >= mShape.originReturnsMs;
    if (mShape.originDiesMs >= 0 && time >= mShape.originDiesMs && !isBack) {
        failOriginPulls(time);
    }
    for (Transfer &one : mOpen) {
        const bool isOrigin = one.from == mShape.members.size();
        const double sending = (isOrigin ? mShape.originRate : mShape.linkRate) / up[one.from];
        one.left -= std::min(sending, mShape.linkRate / down[one.to]) * sStepMs;
    }
    for (const Transfer &one : mOpen) {
        if (one.left <= 0) {
            deliver(one, time);
        }
    }
    std::erase_if(mOpen, [](const Transfer &one) { return one.left <= 0; });
}

void SwarmLab::deliver(const Transfer &done, int time)
{
    mPlans[done.to].received(done.fetch.index, done.fetch.source, at(time));
    mNews.push_back({done.to, done.fetch.index, time + mShape.lagMs});
    if (done.from == mShape.members.size()) {
        ++mCounts.originChunks;
    } else if (mShape.members[done.from].dataCentre != mShape.members[done.to].dataCentre) {
        ++mCounts.farChunks;
    }
}

void SwarmLab::tellNews(int time)
{
    for (const News &news : mNews) {
        if (news.dueMs > time) {
            continue;
        }
        const std::string &holder = mShape.members[news.holder].box;
        for (ChunkPlan &plan : mPlans) {
            plan.peerHas(holder, news.index, at(time));
        }
    }
    std::erase_if(mNews, [&](const News &news) { return news.dueMs <= time; });
}

void SwarmLab::countComplete(Result &result, int time) const
{
    std::size_t complete = 0;
    std::size_t living = 0;
    for (std::size_t self = 0; self < mPlans.size(); ++self) {
        living += isDead(self) ? 0 : 1;
        complete += !isDead(self) && mPlans[self].isComplete() ? 1 : 0;
    }
    if (complete > 0 && result.firstMs < 0) {
        result.firstMs = time;
    }
    if (complete == living) {
        result.lastMs = time;
    }
}

} // namespace Loom
