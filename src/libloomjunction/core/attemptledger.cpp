/*
 * attemptledger.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "attemptledger.h"

#include <algorithm>

namespace Loom {

bool AttemptLedger::tryStart(const AttemptKey &attempt, Instant now)
{
    removeExpired(now);
    EntryLedger &ledger = ledgerFor(attempt.entry, now);
    // A tombstone at or below the horizon may have been evicted, so the attempt is refused.
    if (attempt.sequence <= ledger.horizon || ledger.attempts.contains(attempt.sequence)) {
        return false;
    }
    remember(ledger, attempt, State::Started, now);
    return true;
}

RevokeResult AttemptLedger::revoke(const AttemptKey &attempt, Instant now)
{
    removeExpired(now);
    EntryLedger &ledger = ledgerFor(attempt.entry, now);
    const auto it = ledger.attempts.find(attempt.sequence);
    if (it != ledger.attempts.end()) {
        return it->second == State::Started ? RevokeResult::Started : RevokeResult::Revoked;
    }
    if (attempt.sequence <= ledger.horizon) {
        return RevokeResult::TooOld;
    }
    remember(ledger, attempt, State::Tombstone, now);
    return RevokeResult::Revoked;
}

AttemptLedger::EntryLedger &AttemptLedger::ledgerFor(const std::string &entry, Instant now)
{
    const auto it = mEntries.find(entry);
    if (it != mEntries.end()) {
        it->second.lastUsed = now;
        return it->second;
    }
    if (mEntries.size() >= sMaxEntries) {
        const auto oldest = std::ranges::min_element(
            mEntries, {}, [](const auto &pair) { return pair.second.lastUsed; });
        mEntries.erase(oldest);
    }
    EntryLedger &fresh = mEntries[entry];
    fresh.lastUsed = now;
    return fresh;
}

void AttemptLedger::remember(EntryLedger &ledger, const AttemptKey &attempt, State state,
                             Instant now)
{
    ledger.attempts[attempt.sequence] = state;
    mByAge.push_back({attempt, now});
    if (mByAge.size() > sMaxAttempts) {
        removeOldest();
    }
}

void AttemptLedger::removeExpired(Instant now)
{
    while (!mByAge.empty() && now - mByAge.front().at > sRetention) {
        removeOldest();
    }
}

void AttemptLedger::removeOldest()
{
    const AttemptKey &attempt = mByAge.front().attempt;
    const auto it = mEntries.find(attempt.entry);
    if (it != mEntries.end()) {
        it->second.attempts.erase(attempt.sequence);
        it->second.horizon = std::max(it->second.horizon, attempt.sequence);
    }
    mByAge.pop_front();
}

} // namespace Loom
