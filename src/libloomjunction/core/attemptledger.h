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

/** One try of a request: the entry's name with its incarnation, and a sequence that only grows. */
struct AttemptKey
{
    std::string entry;
    std::uint64_t sequence = 0;
};

/** What a revocation found. */
enum class RevokeResult : std::uint8_t
{
    Revoked, ///< not started, and it never will be
    Started, ///< it ran or runs
    TooOld, ///< forgotten; it cannot be said
};

/**
 * Remembers which attempts an agent started and which were revoked before
 * they started, so that "not run" stays true when a late copy arrives.
 * Owned by the agent's call gate.
 */
class AttemptLedger
{
public:
    /** True when @p attempt may start; false when it was revoked, seen before or is too old. */
    bool tryStart(const AttemptKey &attempt, Instant now);

    /** Lays a tombstone for @p attempt unless it had started. */
    RevokeResult revoke(const AttemptKey &attempt, Instant now);

    std::size_t size() const { return mByAge.size(); }

    /** How long an attempt is remembered. */
    static constexpr Milliseconds sRetention{120'000};
    /** Attempts remembered at most; older ones are forgotten behind a horizon. */
    static constexpr std::size_t sMaxAttempts = 65'536;
    /** Entry incarnations remembered at most. */
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
        std::uint64_t horizon = 0; ///< sequences up to this one may have been forgotten
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
