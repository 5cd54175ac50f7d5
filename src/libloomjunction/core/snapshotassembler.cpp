/*
 * snapshotassembler.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "snapshotassembler.h"

#include "digest.h"

namespace Loom {

namespace {

// A record must be well below the size limit of a log append.
constexpr std::size_t sSnapshotChunkBytes = std::size_t{64} * 1024;

} // namespace

std::optional<wire::ConfigSnapshot> SnapshotAssembler::add(const wire::SnapshotChunk &chunk)
{
    if (chunk.count() == 0 || chunk.index() >= chunk.count()) {
        return std::nullopt;
    }
    const std::string name = std::to_string(chunk.as_of()) + "/" + chunk.digest();
    PartialSnapshot &partial = mPartialSnapshots[name];
    partial.data[chunk.index()] = chunk.data();
    if (partial.data.size() < chunk.count()) {
        return std::nullopt;
    }
    std::string whole;
    for (const auto &[index, data] : partial.data) {
        whole += data;
    }
    mPartialSnapshots.erase(name);
    wire::ConfigSnapshot snapshot;
    if (sha256Hex(whole) != chunk.digest() || !snapshot.ParseFromString(whole)) {
        return std::nullopt;
    }
    return snapshot;
}

std::vector<wire::ConfigRecord> snapshotRecords(const wire::ConfigSnapshot &snapshot)
{
    const std::string whole = snapshot.SerializeAsString();
    const std::string digest = sha256Hex(whole);
    const std::size_t count = (whole.size() + sSnapshotChunkBytes - 1) / sSnapshotChunkBytes;
    std::vector<wire::ConfigRecord> records;
    for (std::size_t index = 0; index < count; ++index) {
        wire::SnapshotChunk &chunk = *records.emplace_back().mutable_snapshot_chunk();
        chunk.set_as_of(snapshot.as_of());
        chunk.set_index(static_cast<std::uint32_t>(index));
        chunk.set_count(static_cast<std::uint32_t>(count));
        chunk.set_digest(digest);
        chunk.set_data(whole.substr(index * sSnapshotChunkBytes, sSnapshotChunkBytes));
    }
    return records;
}

} // namespace Loom
