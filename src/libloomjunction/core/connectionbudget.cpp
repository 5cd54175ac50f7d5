/*
 * connectionbudget.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "connectionbudget.h"

#include "decay.h"

#include <algorithm>
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
constexpr Milliseconds sFirstRequestTime{1'000};

// A request that a client sends ahead.
constexpr std::size_t sMaxUnreadBytes = std::size_t{16} * 1024;
// Some are used for files, and a request that is handled needs one towards a replica.
constexpr std::size_t sFileDescriptors = 200;
constexpr std::size_t sMaxConnections = 4'096;
// Memory of a connection that waits for a request.
constexpr std::size_t sConnectionBytes = std::size_t{8} * 1024;

} // namespace

ConnectionBounds connectionBoundsFor(const ProcessLimits &limits)
{
    const std::size_t sockets
        = limits.descriptors - std::min(limits.descriptors / 2, sFileDescriptors);
    const std::size_t inMemory = limits.memoryBytes / 10 / sConnectionBytes;
    ConnectionBounds bounds;
    bounds.heldBytes = std::min(bounds.heldBytes, limits.memoryBytes * 3 / 10);
    bounds.connections = std::min({sockets / 2, inMemory, sMaxConnections});
    return bounds;
}

ConnectionBudget::Share::Share(ConnectionBudget &budget, CutHandler onCut, Instant now)
    : mBudget(budget)
    , mOnCut(std::move(onCut))
    , mWaitsSince(now)
{
    if (!mBudget.makeRoomForConnection(now)) {
        mIsCut = true;
        ++mBudget.mClosedCount;
        return;
    }
    mIsCounted = true;
    ++mBudget.mConnections;
    mBudget.addWaiting(*this);
}

ConnectionBudget::Share::~Share()
{
    mBudget.release(*this);
    mBudget.mConnections -= mIsCounted ? 1 : 0;
}

void ConnectionBudget::Share::beginRequest(Instant now)
{
    setState(State::Receiving, now);
    mBegunAt = now;
    mArrivedAt = now;
    mRecentBytes = 0;
}

void ConnectionBudget::Share::setState(State state, Instant now)
{
    if (mIsCut) {
        return;
    }
    mBudget.mReceiving.erase(this);
    mBudget.removeWaiting(*this);
    mState = state;
    mHasRequested = mHasRequested || state == State::Handling;
    if (mHasRequested) {
        mWaitsSince = now;
    }
    if (state == State::Receiving) {
        mBudget.mReceiving.insert(this);
    }
    if (state != State::Handling) {
        mBudget.addWaiting(*this);
    }
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
    ++mBudget.mRefusedCount;
    return false;
}

void ConnectionBudget::Share::beginHandling(Instant now)
{
    setState(State::Handling, now);
}

bool ConnectionBudget::Share::noteUnread(std::size_t bytes)
{
    mBudget.mBytes += bytes - mUnreadBytes;
    mUnreadBytes = bytes;
    return bytes <= sMaxUnreadBytes || mBudget.mBytes <= mBudget.mBounds.heldBytes;
}

void ConnectionBudget::Share::endRequest(Instant now)
{
    noteUnread(0);
    setBytes(0);
    setState(State::Waiting, now);
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
        cut(*share, CutReason::Memory);
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

void ConnectionBudget::addWaiting(Share &share)
{
    waitingLike(share).emplace(share.mWaitsSince, &share);
}

void ConnectionBudget::removeWaiting(Share &share)
{
    waitingLike(share).erase({share.mWaitsSince, &share});
}

bool ConnectionBudget::makeRoomForConnection(Instant now)
{
    while (mConnections >= mBounds.connections) {
        Share *share = longestWaiting(now);
        if (share == nullptr) {
            return false;
        }
        cut(*share, CutReason::Connections);
    }
    return true;
}

// A client may send its first request a little after it has connected, so that others that rest
// make room before.
ConnectionBudget::Share *ConnectionBudget::longestWaiting(Instant now) const
{
    const bool isFirstOverdue = !mNew.empty() && now - mNew.begin()->first >= sFirstRequestTime;
    if (isFirstOverdue || (mRested.empty() && !mNew.empty())) {
        return mNew.begin()->second;
    }
    return mRested.empty() ? nullptr : mRested.begin()->second;
}

// A connection whose request is refused for want of memory is open until it has its answer.
void ConnectionBudget::cut(Share &share, CutReason reason)
{
    release(share);
    share.mIsCut = true;
    ++(reason == CutReason::Connections ? mClosedCount : mRefusedCount);
    if (reason == CutReason::Connections) {
        share.mIsCounted = false;
        --mConnections;
    }
    if (share.mOnCut) {
        share.mOnCut(reason);
    }
}

void ConnectionBudget::release(Share &share)
{
    share.noteUnread(0);
    share.setBytes(0);
    mReceiving.erase(&share);
    removeWaiting(share);
}

} // namespace Loom
