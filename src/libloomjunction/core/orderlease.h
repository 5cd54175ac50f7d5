/*
 * orderlease.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "wire.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace Loom {

/**
 * The right of one agent incarnation to give orders to its engine. Claims
 * stand in the log; the offset of a term's first claim is its fencing number.
 * Engines that check refuse lower numbers. For engines that ignore them the
 * lease is timed: the holder counts from before it sent a claim, a successor
 * waits from when it first read that claim, so the spans of two holders never
 * overlap whatever the clocks of the boxes say. Owned by the order service.
 */
class OrderLease
{
public:
    struct Options
    {
        Milliseconds duration{20'000};
        Milliseconds margin{2'000}; ///< the holder stops this much early
        Milliseconds maxOrderDelay{3'000}; ///< longest an order may be under way
        bool engineChecksFence = false; ///< the engine refuses older fencing numbers
    };

    OrderLease(std::string box, std::uint64_t incarnation, Options options);

    /** Asked while orders are wanted; the claim to append to the log now, if one is due. */
    std::optional<wire::OrderLeaseClaim> claimIfDue(Instant now);

    /** Folds records of the lease stream, in order. */
    void feed(std::span<const wire::StoredRecord> records, Instant now);
    std::uint64_t nextOffset() const { return mNextOffset; }

    /**
     * The fencing number to use for an order sent right now, or nothing. Must
     * be asked after any wake and right before each order: a process frozen
     * past its lease sees its lapse here before it does anything else.
     */
    std::optional<std::uint64_t> fencingNumber(Instant now) const;

private:
    void applyOwnClaim(const wire::OrderLeaseClaim &claim, std::uint64_t offset);
    void applyOtherClaim(const wire::OrderLeaseClaim &claim, Instant now);

    std::string mBox;
    std::uint64_t mIncarnation;
    Options mOptions;
    std::uint64_t mNextOffset = 0;
    std::uint64_t mLastSequence = 0;
    std::map<std::uint64_t, Instant> mSent; ///< claims not yet read back, by sequence
    std::optional<std::uint64_t> mFencingNumber; ///< of the term held now
    Instant mHeldUntil; ///< by our own count, margin taken off
    Instant mOtherLeasesEnd; ///< no order and no new term before this
    Instant mNextClaimAt;
};

} // namespace Loom
