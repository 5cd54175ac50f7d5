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
 * The exclusive right of one agent incarnation to send orders to its engine.
 * Claims are records in the log, and the offset of the first claim of a term is
 * its fencing number. Engines that check fencing numbers refuse lower ones. For
 * other engines the lease is limited in time: the holder measures its duration
 * from before it sent a claim, and a successor waits for that duration from
 * when it first read the claim. The terms of two holders therefore never
 * overlap, independent of the clocks of the boxes. Owned by the order service.
 */
class OrderLease
{
public:
    struct Options
    {
        Milliseconds duration{20'000};
        Milliseconds margin{2'000}; ///< the holder stops this long before its lease ends
        Milliseconds maxOrderDelay{3'000}; ///< maximum time for an order to reach the engine
        bool engineChecksFence = false; ///< the engine refuses older fencing numbers
    };

    OrderLease(std::string box, std::uint64_t incarnation, Options options);

    /** Returns the claim to append to the log if one is due; call it while orders are needed. */
    std::optional<wire::OrderLeaseClaim> claimIfDue(Instant now);

    /** Applies records of the lease stream in order. */
    void feed(std::span<const wire::StoredRecord> records, Instant now);
    std::uint64_t nextOffset() const { return mNextOffset; }

    /**
     * Returns the fencing number for an order sent at @p now, or nothing if the
     * lease is not held. Call it right before each order and after each
     * suspension point, so that a process that was suspended past the end of
     * its lease detects this before it sends an order.
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
    std::map<std::uint64_t, Instant> mSent; ///< claims not yet read back from the log, by sequence
    std::optional<std::uint64_t> mFencingNumber; ///< fencing number of the current term
    Instant mHeldUntil; ///< end of the own lease, less the margin
    Instant mOtherLeasesEnd; ///< no order is sent and no term starts before this
    Instant mNextClaimAt;
};

} // namespace Loom
