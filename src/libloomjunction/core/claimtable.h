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

/** The agent incarnation that may run a caller's own key, as determined by the log. */
struct ClaimedHome
{
    std::string service;
    std::string box;
    std::uint64_t incarnation = 0;
};

/**
 * State derived from the claim stream. The claim with the lowest offset
 * determines the home of a key permanently. All entries apply the same stream
 * and therefore route a key to the same home. Owned by an entry's claims
 * service.
 */
class ClaimTable
{
public:
    /**
     * Applies records read from the log. @p logStartOffset is the oldest offset
     * that the log retains, @p wallNow the wall clock time of the reader.
     */
    void feed(std::span<const wire::StoredRecord> records, std::uint64_t logStartOffset,
              WallMilliseconds wallNow, Instant now);

    std::uint64_t nextOffset() const { return mNextOffset; }
    std::optional<ClaimedHome> home(std::string_view key) const;

    /**
     * Whether this table has read every claim of a key created at @p born, once
     * it has applied the records up to this entry's own claim of that key.
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
    WallMilliseconds mCompleteSince{0}; ///< wall clock time since which no claim has been missed
    std::unordered_map<std::string, ClaimedHome> mHomes;
    std::deque<KeyExpiry> mByAge;
};

} // namespace Loom
