/*
 * chunkstore.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "chunkstore.h"

#include <algorithm>

namespace Loom {

ChunkStore::ChunkStore(const asio::any_io_executor &executor, std::uint64_t maxBytes)
    : mMaxBytes(maxBytes)
    , mAdded(executor)
{
}

StoredVersion &ChunkStore::open(const std::string &digest, Manifest manifest, std::string text)
{
    if (StoredVersion *existing = find(digest)) {
        return *existing;
    }
    evictFor(manifest.sizeBytes);
    auto stored = std::make_unique<StoredVersion>();
    stored->chunks.resize(manifest.chunkCount());
    stored->has.resize(manifest.chunkCount());
    stored->manifest = std::move(manifest);
    stored->manifestText = std::move(text);
    stored->lastUsed = ++mUseCount;
    return *mVersions.emplace(digest, std::move(stored)).first->second;
}

StoredVersion *ChunkStore::find(std::string_view digest)
{
    const auto it = mVersions.find(digest);
    if (it == mVersions.end()) {
        return nullptr;
    }
    it->second->lastUsed = ++mUseCount;
    return it->second.get();
}

void ChunkStore::put(const std::string &digest, std::uint32_t index, std::string data)
{
    StoredVersion *stored = find(digest);
    if (stored == nullptr || index >= stored->has.size() || stored->has[index]) {
        return;
    }
    mBytes += data.size();
    stored->chunks[index] = std::move(data);
    stored->has[index] = true;
    stored->order.push_back(index);
    mAdded.notify();
}

void ChunkStore::notePull(const std::string &digest, std::uint32_t index)
{
    StoredVersion *stored = find(digest);
    if (stored == nullptr || std::ranges::find(stored->pulls, index) != stored->pulls.end()) {
        return;
    }
    stored->pulls.push_back(index);
    mAdded.notify();
}

void ChunkStore::drop(std::string_view digest)
{
    const auto it = mVersions.find(digest);
    if (it == mVersions.end()) {
        return;
    }
    for (const std::string &chunk : it->second->chunks) {
        mBytes -= chunk.size();
    }
    mVersions.erase(it);
    mAdded.notify();
}

void ChunkStore::evictFor(std::uint64_t bytes)
{
    while (!mVersions.empty() && mBytes + bytes > mMaxBytes) {
        const auto oldest = std::ranges::min_element(
            mVersions, {}, [](const auto &pair) { return pair.second->lastUsed; });
        drop(std::string(oldest->first));
    }
}

} // namespace Loom
