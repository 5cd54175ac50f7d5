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

/** Stream paths for the exchange of chunks between agents. */
inline constexpr std::string_view sHavePath = "/have";
inline constexpr std::string_view sChunkPath = "/chunk";

/** Serves the stored chunks to other agents at a limited rate. */
class ChunkServer
{
public:
    /** Requests beyond @p maxUploads concurrent uploads are answered with "busy". */
    ChunkServer(ChunkStore &store, TokenBucket &egress, std::uint32_t maxUploads);

    /** Announces stored chunks and begun pulls of a version, and each new one at once. */
    awaitable<void> serveHave(PeerStreamPtr stream);
    /** Answers one request for a chunk or a manifest. */
    awaitable<void> serveChunk(PeerStreamPtr stream);
    void stop() { mStopped = true; }

    std::uint32_t uploads() const { return mUploadCount; }
    /** Whether slices take so long to send that the box's link is congested. */
    bool isSlow() const;

private:
    std::uint32_t maxUploads() const;
    awaitable<void> sendSlices(PeerStreamPtr stream, std::string_view data);

    ChunkStore &mStore;
    TokenBucket &mEgress;
    std::uint32_t mMaxUploads;
    std::uint32_t mUploadCount = 0;
    double mMeanSliceSeconds = 0; ///< smoothed time from queueing a slice to sending it
    bool mStopped = false;
};

} // namespace Loom
