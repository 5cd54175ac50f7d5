/*
 * fetchselection.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "fetchselection.h"

#include <algorithm>

namespace Loom {

namespace {

// A version announced this fraction of a copy before a newer one has at most this fraction of
// its chunks, so cancelling its fetch costs less than the two fetches cost each other.
constexpr int sSuccessionDivisor = 4;
constexpr double sMaxCancelledProgress = 1.0 / sSuccessionDivisor;

} // namespace

Microseconds FetchSelection::successionInterval() const
{
    return mOriginCopyTime / sSuccessionDivisor;
}

std::vector<SkippedVersion>
FetchSelection::skipped(std::span<const FetchCandidate> candidates) const
{
    std::vector<SkippedVersion> skipped;
    if (candidates.empty()) {
        return skipped;
    }
    Instant successionStart = candidates.front().receivedAt;
    for (std::size_t index = 0; index + 1 < candidates.size(); ++index) {
        const FetchCandidate &older = candidates[index];
        const FetchCandidate &newer = candidates[index + 1];
        // Feeds may deliver two versions in reverse order.
        const auto interval
            = std::max<Microseconds>(newer.receivedAt - older.receivedAt, Microseconds(0));
        if (interval >= successionInterval()) {
            successionStart = newer.receivedAt;
            continue;
        }
        // Without a limit, versions that are published all the time in quick succession would
        // never be fetched. One whole copy could have been sent within this time.
        if (newer.receivedAt - successionStart >= mOriginCopyTime) {
            successionStart = newer.receivedAt;
            continue;
        }
        if (older.progress < sMaxCancelledProgress) {
            skipped.push_back({older.version, newer.version, interval});
        }
    }
    return skipped;
}

} // namespace Loom
