/*
 * attemptledger.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Loom {

/** Identifies an attempt of a request: the entry with its incarnation, and a rising sequence. */
struct AttemptKey
{
    std::string entry;
    std::uint64_t sequence = 0;
};

/** Result of revoking an attempt. */
enum class RevokeResult : std::uint8_t
{
    Revoked, ///< the attempt has not started and never will
    Started, ///< the attempt is running or has run
    TooOld, ///< the attempt is no longer recorded, so its state is unknown
};

/**
 * Records which attempts an agent started and which were revoked before they
 * started. An attempt that was reported as "not run" therefore stays that way
 * when a delayed duplicate arrives. Owned by the agent's call gate.
 */
class AttemptLedger
{
public:
    /** Returns false if @p attempt was revoked, has been seen before or is too old. */
    bool tryStart(const AttemptKey &attempt, Instant now);

    /** Records a tombstone for @p attempt unless it has already started. */
    RevokeResult revoke(const AttemptKey &attempt, Instant now);

    std::size_t size() const { return mByAge.size(); }

    /** How long an attempt is recorded. */
    static constexpr Milliseconds sRetention{120'000};
    /** Limit of recorded attempts; the oldest are evicted and covered by the entry's horizon. */
    static constexpr std::size_t sMaxAttempts = 65'536;
    /** Limit of recorded entry incarnations. */
    static constexpr std::size_t sMaxEntries = 4'096;

private:
    enum class State : std::uint8_t
    {
        Started,
        Tombstone
    };

    struct EntryLedger
    {
        std::unordered_map<std::uint64_t, State> attempts;
        std::uint64_t horizon = 0; ///< sequences up to this one may have been evicted
        Instant lastUsed;
    };

    struct TimedAttempt
    {
        AttemptKey attempt;
        Instant at;
    };

    EntryLedger &ledgerFor(const std::string &entry, Instant now);
    void remember(EntryLedger &ledger, const AttemptKey &attempt, State state, Instant now);
    void removeExpired(Instant now);
    void removeOldest();

    std::map<std::string, EntryLedger, std::less<>> mEntries;
    std::deque<TimedAttempt> mByAge;
};

} // namespace Loom
