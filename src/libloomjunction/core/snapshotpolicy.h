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

/** When an entry should append a snapshot. */
struct SnapshotPolicy
{
    std::uint64_t maxChanges = 200; ///< after this many changes
    Milliseconds retention{3'600'000}; ///< how long the log keeps records
    Milliseconds rankDelay{2'000}; ///< wait per place in the rendezvous order

    /**
     * How long to wait before writing, for the entry at place @p rank of the
     * rendezvous order; nothing while no snapshot is due. A later place waits
     * longer and finds it done, so that about one is written.
     */
    std::optional<Milliseconds> delay(const ConfigReplica &replica, std::size_t rank,
                                      Instant now) const;
};

} // namespace Loom
