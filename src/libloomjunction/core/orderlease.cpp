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

constexpr Milliseconds sClaimRetryDelay{1'000};
// A lease is renewed when less than one third of its duration is left.
constexpr int sRenewalDivisor = 3;
constexpr std::size_t sMaxUnconfirmedClaims = 64;

} // namespace

OrderLease::OrderLease(std::string box, std::uint64_t incarnation, Options options)
    : mBox(std::move(box))
    , mIncarnation(incarnation)
    , mOptions(options)
{
}

std::optional<wire::OrderLeaseClaim> OrderLease::claimIfDue(Instant now)
{
    const bool fresh = mFencingNumber && mHeldUntil - now > mOptions.duration / sRenewalDivisor;
    // A claim during the term of another holder would only end that term early.
    const bool otherLeaseActive
        = !mFencingNumber && !mOptions.engineChecksFence && now < mOtherLeasesEnd;
    if (fresh || otherLeaseActive || now < mNextClaimAt) {
        return std::nullopt;
    }
    mNextClaimAt = now + sClaimRetryDelay;
    mSent[++mLastSequence] = now;
    if (mSent.size() > sMaxUnconfirmedClaims) {
        mSent.erase(mSent.begin());
    }
    wire::OrderLeaseClaim claim;
    claim.set_box(mBox);
    claim.set_incarnation(mIncarnation);
    claim.set_duration_ms(static_cast<std::uint32_t>(mOptions.duration.count()));
    claim.set_sequence(mLastSequence);
    if (mFencingNumber) {
        claim.set_fence(*mFencingNumber);
    }
    return claim;
}

void OrderLease::feed(std::span<const wire::StoredRecord> records, Instant now)
{
    for (const wire::StoredRecord &record : records) {
        if (record.offset() < mNextOffset) {
            continue;
        }
        mNextOffset = record.offset() + 1;
        wire::OrderLeaseClaim claim;
        if (!claim.ParseFromString(record.data()) || claim.box() != mBox) {
            continue;
        }
        if (claim.incarnation() == mIncarnation) {
            applyOwnClaim(claim, record.offset());
        } else {
            applyOtherClaim(claim, now);
        }
    }
}

void OrderLease::applyOwnClaim(const wire::OrderLeaseClaim &claim, std::uint64_t offset)
{
    const auto sent = mSent.find(claim.sequence());
    const bool ofLostTerm = claim.has_fence() && claim.fence() != mFencingNumber;
    if (sent == mSent.end() || ofLostTerm) {
        return;
    }
    if (!mFencingNumber) {
        mFencingNumber = offset;
    }
    mHeldUntil = std::max(mHeldUntil, sent->second + mOptions.duration - mOptions.margin);
    mSent.erase(sent);
}

void OrderLease::applyOtherClaim(const wire::OrderLeaseClaim &claim, Instant now)
{
    const Milliseconds rest = Milliseconds(claim.duration_ms()) + mOptions.maxOrderDelay;
    mOtherLeasesEnd = std::max(mOtherLeasesEnd, now + rest);
    const bool older = mFencingNumber && claim.has_fence() && claim.fence() < *mFencingNumber;
    if (older) {
        return;
    }
    // Another term has started after the own one. Own claims that are still in
    // flight belong to the lost term and must not revive it.
    mFencingNumber.reset();
    mSent.clear();
    mHeldUntil = Instant();
}

std::optional<std::uint64_t> OrderLease::fencingNumber(Instant now) const
{
    if (!mFencingNumber || mOptions.engineChecksFence) {
        return mFencingNumber;
    }
    const bool held = now < mHeldUntil;
    const bool otherLeasesExpired = now >= mOtherLeasesEnd;
    return held && otherLeasesExpired ? mFencingNumber : std::nullopt;
}

} // namespace Loom
