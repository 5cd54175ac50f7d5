/*
 * weightfetch.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "weightfetch.h"

#include "chunkserver.h"
#include "clock.h"
#include "digest.h"
#include "jsonlog.h"
#include "overload.h"
#include "rendezvous.h"
#include "wire.pb.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::chrono::milliseconds sManifestRetryDelay{50};
constexpr std::chrono::milliseconds sManifestTurnInterval{1'000};
constexpr std::chrono::milliseconds sManifestTimeout{5'000};
// A request to a neighbour times out after this many times the mean transfer time.
constexpr double sChunkTimeoutFactor = 6;
constexpr double sChunkTimeWeight = 0.1;
constexpr std::chrono::milliseconds sMinChunkTimeout{1'000};
constexpr std::chrono::milliseconds sMaxChunkTimeout{10'000};
constexpr double sSlowChunkSeconds = 0.6;
constexpr double sRecentWeight = 0.4;
constexpr std::chrono::milliseconds sPlanInterval{100};
constexpr Milliseconds sStallTimeout{1'500};
constexpr std::chrono::milliseconds sFollowRetryDelay{500};
// A broken connection to a peer that still runs must be restored before the plan takes the
// peer for dead.
constexpr std::chrono::milliseconds sReconnectDelay{20};
// Limit on waiting for an update. Peers send updates more often than this, empty ones if
// they have stored no new chunk.
constexpr std::chrono::milliseconds sFollowTimeout{5'000};

} // namespace

WeightFetch::WeightFetch(VersionTarget target, ChunkPlan::Options options, Parts parts)
    : mTarget(std::move(target))
    , mOptions(options)
    , mParts(std::move(parts))
    , mProgressSignal(mParts.store.added().executor())
{
}

void WeightFetch::cancel()
{
    mCancelled = true;
    mProgressSignal.notify();
}

void WeightFetch::resume()
{
    mIsManifestContradicted = false;
    mProgressSignal.notify();
}

void WeightFetch::addStored(std::uint32_t index)
{
    if (mPlan) {
        mPlan->addStored(index);
        mProgressSignal.notify();
    }
}

awaitable<void> WeightFetch::run(std::shared_ptr<WeightFetch> self)
{
    const Instant startedAt = now();
    while (!self->mCancelled && !co_await self->fetchManifest()) {
        co_await sleepFor(sManifestRetryDelay);
    }
    if (self->mCancelled) {
        co_return;
    }
    co_await self->fetchChunks();
    if (self->mCancelled) {
        co_return;
    }
    const auto took = std::chrono::duration_cast<Milliseconds>(now() - startedAt);
    logLine(LogLevel::Info, "weights-fetched",
            {{"version", self->mTarget.version},
             {"milliseconds", took.count()},
             {"originBytes", self->mParts.counts.originBytes},
             {"peerBytes", self->mParts.counts.peerBytes}});
    self->mParts.onComplete();
}

awaitable<bool> WeightFetch::fetchManifest()
{
    if (StoredVersion *stored = mParts.store.find(mTarget.manifestDigest)) {
        createPlan(*stored);
        co_return true;
    }
    const std::string &self = mParts.self.box;
    const std::string key = "manifest/" + mTarget.manifestDigest;
    const Instant startedAt = now();
    for (std::uint64_t round = 0; !mCancelled; ++round) {
        std::vector<std::string> boxes{self};
        for (const SwarmMember &member : mParts.members()) {
            if (member.box != self) {
                boxes.push_back(member.box);
            }
        }
        const auto order = rendezvousOrder(key, boxes, boxes.size());
        const auto own
            = std::ranges::find_if(order, [&](auto index) { return boxes[index] == self; });
        const auto rank = static_cast<std::uint32_t>(own - order.begin());
        const auto turn = sManifestTurnInterval * static_cast<int>(rank / mOptions.originCopies);
        const bool isOwnTurn = now() - startedAt >= turn;
        const std::string &askedBox = boxes[order[round % order.size()]];
        std::string text;
        if (isOwnTurn) {
            text = co_await manifestFromOrigin();
        } else if (askedBox != self) {
            text = co_await manifestFromPeer(askedBox);
        }
        if (acceptManifest(text)) {
            co_return true;
        }
        co_await sleepFor(sManifestRetryDelay);
    }
    co_return false;
}

bool WeightFetch::acceptManifest(const std::string &text)
{
    if (text.empty() || sha256Hex(text) != mTarget.manifestDigest) {
        return false;
    }
    auto manifest = Manifest::parse(text);
    if (!manifest) {
        logLine(LogLevel::Error, "manifest-unreadable", {{"problem", manifest.error()}});
        return false;
    }
    createPlan(mParts.store.open(mTarget.manifestDigest, std::move(*manifest), text));
    return true;
}

void WeightFetch::createPlan(StoredVersion &stored)
{
    mPlan = std::make_unique<ChunkPlan>(mTarget.manifestDigest, stored.manifest.chunkCount(),
                                        mParts.self, mOptions, now());
    for (std::uint32_t index = 0; index < stored.has.size(); ++index) {
        if (stored.has[index]) {
            mPlan->addStored(index);
        }
    }
}

awaitable<std::string> WeightFetch::manifestFromOrigin()
{
    std::string text = co_await mParts.originManifest();
    mParts.counts.originBytes += text.size();
    co_return text;
}

awaitable<PeerStreamPtr> WeightFetch::openPeer(std::string box, std::string_view path)
{
    std::string pathText(path);
    co_return co_await mParts.open(std::move(box), std::move(pathText));
}

awaitable<std::string> WeightFetch::manifestFromPeer(std::string box)
{
    const PeerStreamPtr stream = co_await openPeer(std::move(box), sChunkPath);
    if (!stream) {
        co_return std::string();
    }
    wire::ChunkRequest request;
    request.set_manifest_digest(mTarget.manifestDigest);
    request.set_manifest(true);
    stream->send(request);
    stream->finish();
    const auto deadline = std::chrono::steady_clock::now() + sManifestTimeout;
    const auto answer = co_await stream->receiveMessage<wire::ChunkAnswer>(deadline);
    stream->reset();
    co_return answer &&*answer ? (*answer)->data() : std::string();
}

awaitable<void> WeightFetch::fetchChunks()
{
    const auto executor = co_await asio::this_coro::executor;
    while (!mCancelled && !mPlan->isComplete()) {
        mPlan->setMembers(mParts.members());
        followNeighbours();
        if (mIsManifestContradicted) {
            co_await mProgressSignal.waitFor(sPlanInterval);
            continue;
        }
        const Microseconds debt = mParts.ingress.debt(now());
        if (debt.count() > 0) {
            co_await sleepFor(debt);
            continue;
        }
        mPlan->setMaxPeerRequests(maxPeerRequests());
        for (ChunkFetch &fetch : mPlan->next(now())) {
            notePull(fetch);
            asio::co_spawn(executor, fetchChunk(shared_from_this(), std::move(fetch)),
                           asio::detached);
        }
        logStall();
        co_await mProgressSignal.waitFor(sPlanInterval);
    }
}

void WeightFetch::notePull(const ChunkFetch &fetch)
{
    if (!std::holds_alternative<FromOrigin>(fetch.source)) {
        return;
    }
    mParts.store.notePull(mTarget.manifestDigest, fetch.index);
    if (fetch.originRank > 0) {
        logLine(LogLevel::Info, "origin-pull-taken-over",
                {{"version", mTarget.version}, {"index", fetch.index}, {"rank", fetch.originRank}});
    }
}

void WeightFetch::logStall()
{
    const ChunkProgress progress = mPlan->progress(now());
    if (progress.sinceLastChunk < sStallTimeout || now() - mStallLoggedAt < sStallTimeout) {
        return;
    }
    mStallLoggedAt = now();
    logLine(LogLevel::Warning, "fetch-stalled",
            {{"version", mTarget.version},
             {"have", progress.storedCount},
             {"asked", progress.requestedCount},
             {"held", progress.availableCount},
             {"unheld", progress.unavailableCount},
             {"firstUnheld", progress.firstUnavailable},
             {"owner", progress.firstUnavailableOwner},
             {"openOrigin", progress.openOriginRequests},
             {"openPeers", progress.openPeerRequests},
             {"members", mParts.members().size()},
             {"followed", mFollowedPeers.size()}});
}

void WeightFetch::followNeighbours()
{
    for (const std::string &box : mPlan->neighbours()) {
        if (mFollowedPeers.insert(box).second) {
            asio::co_spawn(mProgressSignal.executor(), followPeer(shared_from_this(), box),
                           asio::detached);
        }
    }
}

awaitable<void> WeightFetch::followPeer(std::shared_ptr<WeightFetch> self, std::string box)
{
    while (self->isFollowing(box)) {
        const PeerStreamPtr stream = co_await self->openPeer(box, sHavePath);
        const bool wasConnected = stream != nullptr && co_await self->readUpdates(*stream, box);
        if (stream != nullptr) {
            stream->reset();
        }
        self->mPlan->setPeerLost(box, now());
        self->mProgressSignal.notify();
        co_await sleepFor(wasConnected ? sReconnectDelay : sFollowRetryDelay);
    }
    self->mFollowedPeers.erase(box);
}

bool WeightFetch::isFollowing(std::string_view box) const
{
    return !mCancelled && !mPlan->isComplete() && mPlan->isNeighbour(box);
}

// Applies the updates of a neighbour until its connection ends. Returns whether any came.
awaitable<bool> WeightFetch::readUpdates(PeerStream &stream, const std::string &box)
{
    wire::HaveRequest request;
    request.set_manifest_digest(mTarget.manifestDigest);
    request.set_box(mParts.self.box);
    stream.send(request);
    bool wasConnected = false;
    while (isFollowing(box)) {
        const auto deadline = std::chrono::steady_clock::now() + sFollowTimeout;
        const auto update = co_await stream.receiveMessage<wire::HaveUpdate>(deadline);
        if (!update || !*update) {
            break;
        }
        wasConnected = true;
        mPlan->setPeerConnected(box, (*update)->announces_pulls());
        for (const std::uint32_t index : (*update)->added()) {
            mPlan->addPeerChunk(box, index, now());
        }
        for (const std::uint32_t index : (*update)->pulling()) {
            mPlan->addPeerPull(box, index, now());
        }
        mProgressSignal.notify();
    }
    co_return wasConnected;
}

awaitable<void> WeightFetch::fetchChunk(std::shared_ptr<WeightFetch> self, ChunkFetch fetch)
{
    const auto *peer = std::get_if<FromPeer>(&fetch.source);
    tl::expected<std::string, ChunkFailure> data = tl::unexpected(ChunkFailure::Gone);
    if (peer == nullptr) {
        data = co_await self->fetchFromOrigin(fetch.index);
    } else {
        const auto openRequest = self->mOpenRequestStarts.insert(std::chrono::steady_clock::now());
        data = co_await self->fetchFromPeer(fetch.index, peer->box);
        self->mOpenRequestStarts.erase(openRequest);
    }
    self->finishFetch(fetch, std::move(data));
    self->mProgressSignal.notify();
}

awaitable<tl::expected<std::string, ChunkFailure>> WeightFetch::fetchFromOrigin(std::uint32_t index)
{
    auto data = co_await mParts.originChunk(index);
    if (data) {
        mParts.counts.originBytes += data->size();
    }
    co_return std::move(data);
}

// On a link where chunks take long, concurrent requests only delay each other and
// the live requests queued behind them.
std::uint32_t WeightFetch::maxPeerRequests() const
{
    return mRecentChunkSeconds > sSlowChunkSeconds ? 1 : mOptions.maxPeerRequests;
}

double WeightFetch::recentChunkSeconds() const
{
    double oldestOpenSeconds = 0;
    if (!mOpenRequestStarts.empty()) {
        const auto age = std::chrono::steady_clock::now() - *mOpenRequestStarts.begin();
        oldestOpenSeconds = std::chrono::duration<double>(age).count();
    }
    return std::max(mRecentChunkSeconds, oldestOpenSeconds);
}

std::chrono::milliseconds WeightFetch::chunkTimeout() const
{
    if (mMeanChunkSeconds <= 0) {
        return sMaxChunkTimeout;
    }
    const auto timeout = std::chrono::milliseconds(
        static_cast<std::int64_t>(mMeanChunkSeconds * sChunkTimeoutFactor * 1000));
    return std::clamp(timeout, sMinChunkTimeout, sMaxChunkTimeout);
}

awaitable<tl::expected<std::string, ChunkFailure>> WeightFetch::fetchFromPeer(std::uint32_t index,
                                                                              std::string box)
{
    const PeerStreamPtr stream = co_await openPeer(std::move(box), sChunkPath);
    if (!stream) {
        co_return tl::unexpected(ChunkFailure::Gone);
    }
    wire::ChunkRequest request;
    request.set_manifest_digest(mTarget.manifestDigest);
    request.set_index(index);
    stream->send(request);
    stream->finish();
    const auto startedAt = std::chrono::steady_clock::now();
    const auto deadline = startedAt + chunkTimeout();
    std::string data;
    while (true) {
        const auto answer = co_await stream->receiveMessage<wire::ChunkAnswer>(deadline);
        if (!answer) {
            stream->reset();
            const bool isLate = answer.error() == PeerError::TimedOut;
            co_return tl::unexpected(isLate ? ChunkFailure::TimedOut : ChunkFailure::Gone);
        }
        if (!*answer) {
            break; // all slices were received
        }
        if (!(*answer)->found()) {
            co_return tl::unexpected((*answer)->busy() ? ChunkFailure::Busy
                                                       : ChunkFailure::Missing);
        }
        data += (*answer)->data();
    }
    mParts.counts.peerBytes += data.size();
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - startedAt;
    const double weight = mMeanChunkSeconds <= 0 ? 1.0 : sChunkTimeWeight;
    mMeanChunkSeconds += weight * (took.count() - mMeanChunkSeconds);
    mRecentChunkSeconds += sRecentWeight * (took.count() - mRecentChunkSeconds);
    co_return std::move(data);
}

void WeightFetch::finishFetch(const ChunkFetch &fetch, tl::expected<std::string, ChunkFailure> data)
{
    StoredVersion *stored = mParts.store.find(mTarget.manifestDigest);
    if (stored == nullptr || mCancelled) {
        return;
    }
    if (data) {
        mParts.ingress.take(data->size(), now());
        std::string digest = sha256Hex(*data);
        const bool isIntact = digest == stored->manifest.chunkDigests[fetch.index];
        if (isIntact) {
            mParts.store.put(mTarget.manifestDigest, fetch.index, std::move(*data));
            mPlan->received(fetch.index, fetch.source, now());
            return;
        }
        data = tl::unexpected(ChunkFailure::Corrupt);
        noteCorrupt(fetch, std::move(digest));
    }
    logFailure(fetch, data.error());
    mPlan->failed(fetch.index, fetch.source, data.error(), now());
}

// A chunk that was spoilt on the way differs each time. Equal bytes suggest that the manifest is
// wrong, and every further request may be in vain.
void WeightFetch::noteCorrupt(const ChunkFetch &fetch, std::string digest)
{
    ++mParts.counts.corruptChunks;
    logLine(LogLevel::Warning, "chunk-corrupt",
            {{"version", mTarget.version}, {"index", fetch.index}, {"digest", digest}});
    if (!std::holds_alternative<FromOrigin>(fetch.source)) {
        return;
    }
    std::string &known = mCorruptDigests[fetch.index];
    const bool isRepeated = known == digest;
    known = std::move(digest);
    if (isRepeated && mParts.onContradiction) {
        mIsManifestContradicted = true;
        mParts.onContradiction();
    }
}

// Only failed pulls from the origin are logged, because one may delay all members.
// Neighbours answer "busy" or "missing" dozens of times in a normal fetch.
void WeightFetch::logFailure(const ChunkFetch &fetch, ChunkFailure why) const
{
    if (std::holds_alternative<FromOrigin>(fetch.source)) {
        logLine(
            LogLevel::Info, "origin-pull-failed",
            {{"version", mTarget.version}, {"index", fetch.index}, {"why", chunkFailureName(why)}});
    }
}

} // namespace Loom
