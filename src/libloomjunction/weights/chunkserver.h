/*
 * chunkserver.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "chunkstore.h"
#include "peerstream.h"
#include "tokenbucket.h"

#include <cstdint>
#include <string_view>

namespace Loom {

/** Stream paths on which agents exchange chunks. */
inline constexpr std::string_view sHavePath = "/have";
inline constexpr std::string_view sChunkPath = "/chunk";

/** Gives other agents the chunks that this one holds, at the pace of its link. */
class ChunkServer
{
public:
    /** @p maxUploads: chunks on their way out at once; more are told that this box is busy. */
    ChunkServer(ChunkStore &store, TokenBucket &egress, std::uint32_t maxUploads);

    /** Tells which chunks of a version are here, as they come. */
    awaitable<void> serveHave(PeerStreamPtr stream);
    /** Answers one request for a chunk or a manifest. */
    awaitable<void> serveChunk(PeerStreamPtr stream);
    void stop() { mStopped = true; }

    std::uint32_t uploads() const { return mUploadCount; }
    /** Slices take long to leave: the box's link is slow. */
    bool isSlow() const;

private:
    std::uint32_t maxUploads() const;
    awaitable<void> sendSlices(PeerStreamPtr stream, std::string_view data);

    ChunkStore &mStore;
    TokenBucket &mEgress;
    std::uint32_t mMaxUploads;
    std::uint32_t mUploadCount = 0;
    double mMeanSliceSeconds = 0; ///< smoothed, from queueing a slice to its leaving
    bool mStopped = false;
};

} // namespace Loom
