/*
 * chunkserver.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "chunkserver.h"

#include "clock.h"
#include "wire.pb.h"

namespace Loom {

namespace {

constexpr std::chrono::milliseconds sHaveInterval{10};
constexpr std::chrono::milliseconds sHaveKeepAliveInterval{1'000};
constexpr std::chrono::milliseconds sRequestTimeout{5'000};
constexpr double sSliceTimeWeight = 0.2;
// A slice takes about 7 ms on the slowest link without congestion.
constexpr double sSlowSliceSeconds = 0.06;
constexpr std::size_t sSliceBytes = std::size_t{8} * 1024;

} // namespace

ChunkServer::ChunkServer(ChunkStore &store, TokenBucket &egress, std::uint32_t maxUploads)
    : mStore(store)
    , mEgress(egress)
    , mMaxUploads(maxUploads)
{
}

awaitable<void> ChunkServer::serveHave(PeerStreamPtr stream)
{
    const auto deadline = std::chrono::steady_clock::now() + sRequestTimeout;
    const auto request = co_await stream->receiveMessage<wire::HaveRequest>(deadline);
    if (!request || !*request) {
        stream->reset();
        co_return;
    }
    const std::string digest = (*request)->manifest_digest();
    std::size_t sent = 0;
    std::size_t sentPulls = 0;
    Instant lastSent;
    while (stream->isOpen() && !mStopped) {
        const StoredVersion *stored = mStore.find(digest);
        const std::size_t count = stored == nullptr ? 0 : stored->order.size();
        const std::size_t pullCount = stored == nullptr ? 0 : stored->pulls.size();
        const bool isKeepAliveDue = now() - lastSent >= sHaveKeepAliveInterval;
        if (count < sent || pullCount < sentPulls) {
            stream->reset(); // the version was dropped and opened again; the peer must start over
            co_return;
        }
        if (count > sent || pullCount > sentPulls || isKeepAliveDue) {
            wire::HaveUpdate update;
            update.set_announces_pulls(true);
            for (; sent < count; ++sent) {
                update.add_added(stored->order[sent]);
            }
            for (; sentPulls < pullCount; ++sentPulls) {
                update.add_pulling(stored->pulls[sentPulls]);
            }
            stream->send(update);
            lastSent = now();
            // Chunks stored in quick succession are announced in one update.
            co_await sleepFor(sHaveInterval);
            continue;
        }
        co_await mStore.added().waitFor(sHaveKeepAliveInterval);
    }
}

awaitable<void> ChunkServer::serveChunk(PeerStreamPtr stream)
{
    const auto deadline = std::chrono::steady_clock::now() + sRequestTimeout;
    const auto request = co_await stream->receiveMessage<wire::ChunkRequest>(deadline);
    if (!request || !*request) {
        stream->reset();
        co_return;
    }
    const std::uint32_t index = (*request)->index();
    const StoredVersion *stored = mStore.find((*request)->manifest_digest());
    const bool isHere = stored != nullptr && index < stored->has.size() && stored->has[index];
    wire::ChunkAnswer answer;
    if (stored != nullptr && (*request)->manifest()) {
        answer.set_found(true);
        answer.set_data(stored->manifestText);
    } else if (isHere && mUploadCount < maxUploads()) {
        const std::string data = stored->chunks[index];
        ++mUploadCount;
        co_await sendSlices(stream, data);
        --mUploadCount;
        stream->finish();
        co_return;
    } else {
        answer.set_busy(isHere);
    }
    stream->send(answer);
    stream->finish();
}

bool ChunkServer::isSlow() const
{
    return mUploadCount > 0 && mMeanSliceSeconds > sSlowSliceSeconds;
}

// Concurrent uploads on a slow link only delay each other.
std::uint32_t ChunkServer::maxUploads() const
{
    return mMeanSliceSeconds > sSlowSliceSeconds ? 1 : mMaxUploads;
}

// Chunks are sent in slices, so that live responses on the same link are never queued
// behind a whole chunk.
awaitable<void> ChunkServer::sendSlices(PeerStreamPtr stream, std::string_view data)
{
    while (!data.empty() && stream->isOpen()) {
        const std::string_view slice = data.substr(0, sSliceBytes);
        data.remove_prefix(slice.size());
        co_await sleepFor(mEgress.take(slice.size(), now()));
        wire::ChunkAnswer answer;
        answer.set_found(true);
        answer.set_data(std::string(slice));
        stream->send(answer);
        const auto deadline = std::chrono::steady_clock::now() + sRequestTimeout;
        const Instant queued = now();
        const bool sent = co_await stream->sentBy(deadline);
        // The next slice is queued only after this one was sent. A slow link thus
        // queues a few slices at most, and live responses are hardly delayed.
        const double took = std::chrono::duration<double>(now() - queued).count();
        mMeanSliceSeconds += sSliceTimeWeight * (took - mMeanSliceSeconds);
        if (!sent) {
            stream->reset(); // the transfer is stalled; its upload slot is freed for others
            co_return;
        }
    }
}

} // namespace Loom
