/*
 * manifestexchange.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "manifestexchange.h"

#include "clock.h"
#include "peerhub.h"
#include "rendezvous.h"
#include "wire.pb.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::string_view sManifestPath = "/manifest";
constexpr std::chrono::milliseconds sPeerTimeout{500};
// Number of boxes that fetch a manifest from the origin at once; one of them may be down.
constexpr std::size_t sOriginReaderCount = 3;
// Number of random peers that a box queries at once if neither the origin nor its readers
// provide the manifest.
constexpr std::ptrdiff_t sSampleSize = 8;
// After this time the other boxes query the origin themselves. A peer query takes a few
// milliseconds.
constexpr Milliseconds sOriginFallbackDelay{600};
constexpr Milliseconds sRetryDelay{40};
constexpr std::size_t sMaxOriginReads = 6;

std::uint64_t randomSeed()
{
    std::random_device device;
    return std::uint64_t{device()} << 32 | device();
}

std::string versionKey(std::string_view model, std::uint64_t version)
{
    return std::string(model) + "@" + std::to_string(version);
}

} // namespace

/** A query for one manifest that is sent to several peers at once. */
struct ManifestExchange::PeerQuery
{
    explicit PeerQuery(const asio::any_io_executor &executor)
        : progress(executor)
    {
    }

    Signal progress;
    std::string text; ///< the manifest of the first peer that has it
    std::size_t openCount = 0; ///< number of peers that have not answered
};

ManifestExchange::ManifestExchange(Parts parts)
    : mParts(std::move(parts))
{
    mParts.hub.serve(std::string(sManifestPath),
                     [this](PeerStreamPtr stream) { return serveManifest(std::move(stream)); });
}

// Only a few boxes query the origin, which has few connections. The others query these
// boxes, and the origin only if none of them has the manifest after a while.
awaitable<tl::expected<std::string, std::string>>
ManifestExchange::fetchManifest(std::string model, std::uint64_t version)
{
    const std::vector<Member> originReaders = this->originReaders(model, version);
    const bool isOriginReader = std::ranges::any_of(
        originReaders, [&](const Member &member) { return member.box == mParts.settings.box; });
    const Instant fallbackAt = now() + (isOriginReader ? Milliseconds(0) : sOriginFallbackDelay);
    while (now() < fallbackAt && !mStopped) {
        std::string text = co_await fetchFromPeers(model, version, originReaders);
        if (!text.empty()) {
            co_return std::move(text);
        }
        co_await sleepFor(sRetryDelay);
    }
    auto read = co_await readOrigin(model, version);
    if (read) {
        co_return read;
    }
    std::string text = co_await fetchFromPeers(model, version, sampleStagers());
    if (!text.empty()) {
        co_return std::move(text);
    }
    co_return read;
}

// An answer of the origin may arrive spoilt, and nothing in a manifest shows whether it did. Its
// size is a small part of that of the chunks that would be fetched in vain.
awaitable<tl::expected<std::string, std::string>>
ManifestExchange::readOrigin(std::string model, std::uint64_t version)
{
    const auto address = mParts.origin();
    if (!address) {
        co_return tl::unexpected(std::string("no origin is configured"));
    }
    std::vector<std::string> texts;
    while (texts.size() < sMaxOriginReads && !mStopped) {
        const auto manifest = co_await mParts.engine.manifest(*address, model, version);
        if (!manifest && texts.size() == 1) {
            break;
        }
        if (!manifest) {
            co_return tl::unexpected(manifest.error());
        }
        std::string text = manifest->text();
        if (std::ranges::find(texts, text) != texts.end()) {
            co_return std::move(text);
        }
        texts.push_back(std::move(text));
    }
    if (texts.size() != 1) {
        co_return tl::unexpected(std::string("the origin sent manifests that differ"));
    }
    co_return std::move(texts.front());
}

// A random sample is enough: querying all of hundreds of agents would cost more than it
// would find.
std::vector<Member> ManifestExchange::sampleStagers() const
{
    const std::vector<Member> all = mParts.members.stagersForService(mParts.service);
    std::vector<Member> sample;
    static std::mt19937_64 random{randomSeed()};
    std::ranges::sample(all, std::back_inserter(sample), sSampleSize, random);
    return sample;
}

std::vector<Member> ManifestExchange::originReaders(const std::string &model,
                                                    std::uint64_t version) const
{
    std::vector<Member> all = mParts.members.stagersForService(mParts.service);
    Member self;
    self.box = mParts.settings.box;
    self.dataCentre = mParts.settings.dataCentre;
    all.push_back(std::move(self));
    std::vector<std::string> boxes;
    boxes.reserve(all.size());
    for (const Member &member : all) {
        boxes.push_back(member.box);
    }
    std::vector<Member> chosen;
    for (const std::size_t index :
         rendezvousOrder(versionKey(model, version), boxes, sOriginReaderCount)) {
        chosen.push_back(all[index]);
    }
    return chosen;
}

// All @p peers are queried at once. If they were queried one by one, a peer that is down
// or has a slow link would delay the fetch for longer than the origin needs to send a
// third of the chunks.
awaitable<std::string> ManifestExchange::fetchFromPeers(std::string model, std::uint64_t version,
                                                        std::vector<Member> peers)
{
    auto query = std::make_shared<PeerQuery>(mParts.executor);
    for (const Member &member : peers) {
        if (member.box != mParts.settings.box) {
            ++query->openCount;
            asio::co_spawn(mParts.executor, queryPeer(query, member.peers, model, version),
                           asio::detached);
        }
    }
    while (query->openCount > 0 && query->text.empty()) {
        co_await query->progress.waitFor(sPeerTimeout);
    }
    co_return query->text;
}

awaitable<void> ManifestExchange::queryPeer(std::shared_ptr<PeerQuery> query, Tcp::endpoint peer,
                                            std::string model, std::uint64_t version)
{
    const PeerStreamPtr stream = co_await mParts.hub.open(peer, std::string(sManifestPath));
    if (stream) {
        wire::ManifestRequest request;
        request.set_model(model);
        request.set_version(version);
        stream->send(request);
        const auto deadline = std::chrono::steady_clock::now() + sPeerTimeout;
        const auto answer = co_await stream->receiveMessage<wire::ManifestAnswer>(deadline);
        stream->reset();
        if (answer && *answer && (*answer)->found()) {
            query->text = (*answer)->text();
        }
    }
    --query->openCount;
    query->progress.notify();
}

awaitable<std::string> ManifestExchange::fetchOldestNeeded(std::string model)
{
    co_return co_await fetchFromPeers(std::move(model), sOldestNeeded, sampleStagers());
}

awaitable<bool> ManifestExchange::isFetchedByPeers(std::string model, std::uint64_t version)
{
    const std::string text = co_await fetchFromPeers(std::move(model), version, sampleStagers());
    co_return !text.empty();
}

awaitable<void> ManifestExchange::serveManifest(PeerStreamPtr stream)
{
    const auto deadline = std::chrono::steady_clock::now() + sPeerTimeout;
    const auto request = co_await stream->receiveMessage<wire::ManifestRequest>(deadline);
    if (!request || !*request) {
        stream->reset();
        co_return;
    }
    wire::ManifestAnswer answer;
    if (const std::string *localManifest
        = mParts.localManifest((*request)->model(), (*request)->version())) {
        answer.set_found(true);
        answer.set_text(*localManifest);
    }
    stream->send(answer);
    stream->finish();
}

} // namespace Loom
