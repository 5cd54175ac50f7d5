/*
 * connectionbudget.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "connectionbudget.h"

#include "decay.h"

#include <limits>
#include <numbers>
#include <utility>

namespace Loom {

namespace {

constexpr double sRateHalfLifeMs = 350;
// A request that needs longer loses its place to others, if there is no room.
constexpr double sMaxSecondsNeeded = 10;
// The rate of a request that has just begun is not known.
constexpr Milliseconds sMinAge{500};

} // namespace

ConnectionBudget::Share::Share(ConnectionBudget &budget, std::function<void()> onCut)
    : mBudget(budget)
    , mOnCut(std::move(onCut))
{
}

ConnectionBudget::Share::~Share()
{
    endRequest();
}

void ConnectionBudget::Share::beginRequest(Instant now)
{
    mState = State::Receiving;
    mBudget.mReceiving.insert(this);
    mBegunAt = now;
    mArrivedAt = now;
    mRecentBytes = 0;
}

void ConnectionBudget::Share::noteArrival(std::size_t bytes, Instant now)
{
    mRecentBytes = mRecentBytes * decayFactor(now - mArrivedAt, sRateHalfLifeMs)
        + static_cast<double>(bytes);
    mArrivedAt = now;
}

bool ConnectionBudget::Share::resize(std::size_t bytes, Instant now)
{
    if (mIsCut) {
        return false;
    }
    setBytes(bytes);
    if (mBudget.makeRoom(*this, now)) {
        return true;
    }
    setBytes(0);
    return false;
}

void ConnectionBudget::Share::beginHandling()
{
    mState = State::Handling;
    mBudget.mReceiving.erase(this);
}

void ConnectionBudget::Share::endRequest()
{
    mState = State::Waiting;
    mBudget.mReceiving.erase(this);
    setBytes(0);
}

void ConnectionBudget::Share::setBytes(std::size_t bytes)
{
    mBudget.mLargeBytes -= isLarge() ? mBytes : 0;
    mBudget.mBytes += bytes - mBytes;
    mBytes = bytes;
    mBudget.mLargeBytes += isLarge() ? mBytes : 0;
}

// The decayed sum is divided by the time that it covers, which is short at first.
double ConnectionBudget::Share::secondsNeeded(Instant now) const
{
    constexpr double timeConstant = sRateHalfLifeMs / 1'000 / std::numbers::ln2;
    const double covered = timeConstant * (1 - decayFactor(now - mBegunAt, sRateHalfLifeMs));
    const double recent = mRecentBytes * decayFactor(now - mArrivedAt, sRateHalfLifeMs);
    if (recent <= 0 || covered <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    return static_cast<double>(mBytes) * covered / recent;
}

bool ConnectionBudget::makeRoom(const Share &asking, Instant now)
{
    while (isOver(asking)) {
        Share *share = slowest(asking, now);
        if (share == nullptr) {
            return false;
        }
        cut(*share);
    }
    return true;
}

// A single large request is served whatever its size.
bool ConnectionBudget::isOver(const Share &asking) const
{
    if (!asking.isLarge()) {
        return mBytes > mBounds.heldBytes;
    }
    const std::size_t maxLargeBytes = mBounds.heldBytes - mBounds.heldBytes / 4;
    return mLargeBytes > maxLargeBytes && mLargeBytes > asking.mBytes;
}

ConnectionBudget::Share *ConnectionBudget::slowest(const Share &asking, Instant now) const
{
    Share *slowest = nullptr;
    double most = sMaxSecondsNeeded;
    for (Share *share : mReceiving) {
        const bool isFreed = share != &asking && share->isLarge() >= asking.isLarge();
        if (!isFreed || share->mBytes == 0 || now - share->mBegunAt < sMinAge) {
            continue;
        }
        const double needed = share->secondsNeeded(now);
        if (needed > most) {
            most = needed;
            slowest = share;
        }
    }
    return slowest;
}

void ConnectionBudget::cut(Share &share)
{
    share.mIsCut = true;
    share.setBytes(0);
    if (share.mOnCut) {
        share.mOnCut();
    }
}

} // namespace Loom
