/*
 * snapshotassembler.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "wire.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Loom {

/** Assembles snapshots from chunks and verifies their digests. */
class SnapshotAssembler
{
public:
    /** Returns the snapshot that @p chunk completes, or nothing if it is incomplete or corrupt. */
    std::optional<wire::ConfigSnapshot> add(const wire::SnapshotChunk &chunk);
    void clear() { mPartialSnapshots.clear(); }

private:
    struct PartialSnapshot
    {
        std::map<std::uint32_t, std::string> data;
    };
    std::map<std::string, PartialSnapshot> mPartialSnapshots; // by "OFFSET/DIGEST"
};

/** Splits @p snapshot into records for the log. */
std::vector<wire::ConfigRecord> snapshotRecords(const wire::ConfigSnapshot &snapshot);

} // namespace Loom
