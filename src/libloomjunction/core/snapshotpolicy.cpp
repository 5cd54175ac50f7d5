/*
 * snapshotpolicy.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "snapshotpolicy.h"

#include "configreplica.h"

namespace Loom {

namespace {

// A snapshot is renewed early enough for two more attempts within the retention time.
constexpr int sSnapshotsPerRetention = 3;

} // namespace

std::optional<Milliseconds> SnapshotPolicy::delay(const ConfigReplica &replica, std::size_t rank,
                                                  Instant now) const
{
    if (!replica.isReady()) {
        return std::nullopt;
    }
    const bool many = replica.changesSinceSnapshot() >= maxChanges;
    const Milliseconds oldest = retention / sSnapshotsPerRetention;
    const bool old = !replica.snapshotTime() || now - *replica.snapshotTime() >= oldest;
    // A log without changes needs no snapshot, but an existing snapshot must be
    // renewed before the log drops it.
    const bool worthwhile = replica.changesSinceSnapshot() > 0 || replica.snapshotTime();
    if (!worthwhile || (!many && !old)) {
        return std::nullopt;
    }
    return rankDelay * static_cast<int>(rank);
}

} // namespace Loom
