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

// A snapshot must be renewed while two more tries still fit into the retention.
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
    // Without any change since the log began there is nothing worth a snapshot,
    // but one that exists must be renewed before it expires.
    const bool worthwhile = replica.changesSinceSnapshot() > 0 || replica.snapshotTime();
    if (!worthwhile || (!many && !old)) {
        return std::nullopt;
    }
    return rankDelay * static_cast<int>(rank);
}

} // namespace Loom
