/*
 * chunkstore.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"
#include "manifest.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** The verified chunks of one version in this box's memory. */
struct StoredVersion
{
    Manifest manifest;
    std::string manifestText;
    std::vector<std::string> chunks; ///< empty string: not here
    std::vector<bool> has;
    std::vector<std::uint32_t> order; ///< indexes in the order in which they came
    std::uint64_t lastUsed = 0;
};

/**
 * Chunks kept for the engine and for other agents, bounded in bytes. What is
 * not wanted any more goes first. Owned by the weights service.
 */
class ChunkStore
{
public:
    ChunkStore(const asio::any_io_executor &executor, std::uint64_t maxBytes);

    /** Makes room for @p manifest and keeps its text. */
    StoredVersion &open(const std::string &digest, Manifest manifest, std::string text);
    StoredVersion *find(std::string_view digest);
    /** Keeps a chunk that the caller has verified. */
    void put(const std::string &digest, std::uint32_t index, std::string data);
    void drop(std::string_view digest);
    std::uint64_t bytes() const { return mBytes; }
    /** Wakes when a chunk was added. */
    Signal &added() { return mAdded; }

private:
    void evictFor(std::uint64_t bytes);

    std::map<std::string, std::unique_ptr<StoredVersion>, std::less<>> mVersions;
    std::uint64_t mMaxBytes;
    std::uint64_t mBytes = 0;
    std::uint64_t mUseCount = 0;
    Signal mAdded;
};

} // namespace Loom
