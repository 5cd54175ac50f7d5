/*
 * orderlease.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "orderlease.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr Milliseconds sClaimRetry{1'000};
// A claim is renewed once less than this part of it is left.
constexpr int sRenewAtFraction = 3;
constexpr std::size_t sMostSent = 64;

} // namespace

OrderLease::OrderLease(std::string box, std::uint64_t incarnation, Options options)
    : mBox(std::move(box))
    , mIncarnation(incarnation)
    , mOptions(options)
{
}

std::optional<wire::OrderLeaseClaim> OrderLease::claimIfDue(Instant now)
{
    const bool fresh = mFence && mHeldUntil - now > mOptions.duration / sRenewAtFraction;
    // Against another's running term a claim would only push that one out.
    const bool othersRun = !mFence && !mOptions.engineChecks && now < mOthersEnd;
    if (fresh || othersRun || now < mNextClaimAt) {
        return std::nullopt;
    }
    mNextClaimAt = now + sClaimRetry;
    mSent[++mLastSequence] = now;
    if (mSent.size() > sMostSent) {
        mSent.erase(mSent.begin());
    }
    wire::OrderLeaseClaim claim;
    claim.set_box(mBox);
    claim.set_incarnation(mIncarnation);
    claim.set_duration_ms(static_cast<std::uint32_t>(mOptions.duration.count()));
    claim.set_sequence(mLastSequence);
    if (mFence) {
        claim.set_fence(*mFence);
    }
    return claim;
}

void OrderLease::feed(std::span<const wire::StoredRecord> records, Instant now)
{
    for (const wire::StoredRecord &record : records) {
        if (record.offset() < mNext) {
            continue;
        }
        mNext = record.offset() + 1;
        wire::OrderLeaseClaim claim;
        if (!claim.ParseFromString(record.data()) || claim.box() != mBox) {
            continue;
        }
        if (claim.incarnation() == mIncarnation) {
            feedOwn(claim, record.offset());
        } else {
            feedOther(claim, now);
        }
    }
}

void OrderLease::feedOwn(const wire::OrderLeaseClaim &claim, std::uint64_t offset)
{
    const auto sent = mSent.find(claim.sequence());
    const bool ofLostTerm = claim.has_fence() && claim.fence() != mFence;
    if (sent == mSent.end() || ofLostTerm) {
        return;
    }
    if (!mFence) {
        mFence = offset;
    }
    mHeldUntil = std::max(mHeldUntil, sent->second + mOptions.duration - mOptions.margin);
    mSent.erase(sent);
}

void OrderLease::feedOther(const wire::OrderLeaseClaim &claim, Instant now)
{
    const Milliseconds rest = Milliseconds(claim.duration_ms()) + mOptions.orderDelay;
    mOthersEnd = std::max(mOthersEnd, now + rest);
    const bool older = mFence && claim.has_fence() && claim.fence() < *mFence;
    if (older) {
        return;
    }
    // Another term began behind ours. Claims of ours still under way belong to
    // the lost term and must not revive it.
    mFence.reset();
    mSent.clear();
    mHeldUntil = Instant();
}

std::optional<std::uint64_t> OrderLease::permit(Instant now) const
{
    if (!mFence || mOptions.engineChecks) {
        return mFence;
    }
    const bool held = now < mHeldUntil;
    const bool othersGone = now >= mOthersEnd;
    return held && othersGone ? mFence : std::nullopt;
}

} // namespace Loom
