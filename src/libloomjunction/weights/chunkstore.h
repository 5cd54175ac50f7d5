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

/** The verified chunks of one version in memory. */
struct StoredVersion
{
    Manifest manifest;
    std::string manifestText;
    std::vector<std::string> chunks; ///< an empty string if the chunk is missing
    std::vector<bool> has;
    std::vector<std::uint32_t> order; ///< chunk indexes in the order of storing
    std::vector<std::uint32_t> pulls; ///< indexes of chunks whose pull from the origin has begun
    std::uint64_t lastUsed = 0; ///< value of the store's use counter at the last access
};

/**
 * Keeps chunks for the engine and for other agents within a byte limit. The least
 * recently used version is evicted first. Owned by the weights service.
 */
class ChunkStore
{
public:
    ChunkStore(const asio::any_io_executor &executor, std::uint64_t maxBytes);

    /** Adds an empty version, evicting others if needed; returns an existing one unchanged. */
    StoredVersion &open(const std::string &digest, Manifest manifest, std::string text);
    StoredVersion *find(std::string_view digest);
    /** Stores a chunk that the caller has verified. */
    void put(const std::string &digest, std::uint32_t index, std::string data);
    /** Notes that this agent began to pull a chunk from the origin, for announcements. */
    void notePull(const std::string &digest, std::uint32_t index);
    void drop(std::string_view digest);
    std::uint64_t bytes() const { return mBytes; }
    /** Signalled when a chunk is stored, a pull begins or a version is dropped. */
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
