/*
 * snapshotpolicy.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Loom {

class ConfigReplica;

/** Determines when an entry appends a snapshot to the log. */
struct SnapshotPolicy
{
    std::uint64_t maxChanges = 200; ///< a snapshot is due after this many changes
    Milliseconds retention{3'600'000}; ///< how long the log retains records
    Milliseconds rankDelay{2'000}; ///< delay per rank in the rendezvous order

    /**
     * Returns the delay before the entry with @p rank in the rendezvous order
     * writes a snapshot, or nothing if none is due. Entries with a higher rank
     * wait longer and usually find the snapshot written, so that about one
     * entry writes it.
     */
    std::optional<Milliseconds> delay(const ConfigReplica &replica, std::size_t rank,
                                      Instant now) const;
};

} // namespace Loom
