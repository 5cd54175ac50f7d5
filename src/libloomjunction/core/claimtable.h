/*
 * claimtable.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "idempotencykey.h"
#include "instant.h"
#include "wire.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Loom {

/** The home that the log settled for a caller's own key. */
struct ClaimedHome
{
    std::string service;
    std::string box;
    std::uint64_t incarnation = 0;
};

/**
 * Fold of the claim stream: the first claim of a key, at the lowest offset,
 * names its home for good. Every entry folds the same stream and so sends a
 * key to the same home. Owned by the claims service of an entry.
 */
class ClaimTable
{
public:
    /**
     * Folds records read from the log, whose oldest kept offset is
     * @p logStartOffset; @p wallNow is the reader's clock.
     */
    void feed(std::span<const wire::StoredRecord> records, std::uint64_t logStartOffset,
              WallMilliseconds wallNow, Instant now);

    std::uint64_t nextOffset() const { return mNextOffset; }
    std::optional<ClaimedHome> home(std::string_view key) const;

    /**
     * Whether this table surely holds every claim of a key born at @p born,
     * once it has read up to the key's own claim.
     */
    bool coversKeysSince(WallMilliseconds born) const;

    std::size_t size() const { return mHomes.size(); }

private:
    struct KeyExpiry
    {
        std::string key;
        Instant expiresAt;
    };

    void removeExpired(Instant now);

    std::uint64_t mNextOffset = 0;
    bool mHasRead = false;
    WallMilliseconds mCompleteSince{0}; ///< wall time from which no claim was missed
    std::unordered_map<std::string, ClaimedHome> mHomes;
    std::deque<KeyExpiry> mByAge;
};

} // namespace Loom
