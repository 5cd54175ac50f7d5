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
// Boxes that ask the origin for a manifest at once, so that one may be dead.
constexpr std::size_t sOriginReaderCount = 3;
// Boxes asked at once by one that found neither those nor the origin.
constexpr std::ptrdiff_t sSampleSize = 8;
// Others ask the origin themselves after this time; asking takes some milliseconds.
constexpr Milliseconds sOriginFallbackDelay{600};
constexpr Milliseconds sRetryDelay{40};

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

/** One manifest that several boxes are asked for at once. */
struct ManifestExchange::PeerQuery
{
    explicit PeerQuery(const asio::any_io_executor &executor)
        : changed(executor)
    {
    }

    Signal changed;
    std::string text; ///< of the first that has it
    std::size_t open = 0; ///< boxes that have not answered
};

ManifestExchange::ManifestExchange(Parts parts)
    : mParts(std::move(parts))
{
    mParts.hub.serve(std::string(sManifestPath),
                     [this](PeerStreamPtr stream) { return serveManifest(std::move(stream)); });
}

// A few boxes ask the origin, whose connections are few; the others ask those
// boxes, and the origin only if none has it after a while.
awaitable<tl::expected<std::string, std::string>>
ManifestExchange::fetchManifest(std::string model, std::uint64_t version)
{
    const std::vector<Member> originReaders = this->originReaders(model, version);
    const bool isOriginReader = std::ranges::any_of(
        originReaders, [&](const Member &member) { return member.box == mParts.settings.box; });
    const Instant until = now() + (isOriginReader ? Milliseconds(0) : sOriginFallbackDelay);
    while (now() < until && !mStopped) {
        std::string text = co_await fetchFromPeers(model, version, originReaders);
        if (!text.empty()) {
            co_return std::move(text);
        }
        co_await sleepFor(sRetryDelay);
    }
    std::string problem = "no origin is configured";
    if (const auto address = mParts.origin()) {
        const auto manifest = co_await mParts.engine.manifest(*address, model, version);
        if (manifest) {
            co_return manifest->text();
        }
        problem = manifest.error();
    }
    std::string text = co_await fetchFromPeers(model, version, sampleStagers());
    if (!text.empty()) {
        co_return std::move(text);
    }
    co_return tl::unexpected(std::move(problem));
}

// A few at random: with hundreds, asking all would cost more than it finds.
std::vector<Member> ManifestExchange::sampleStagers() const
{
    const std::vector<Member> all = mParts.members.stagersOf(mParts.service);
    std::vector<Member> some;
    static std::mt19937_64 random{randomSeed()};
    std::ranges::sample(all, std::back_inserter(some), sSampleSize, random);
    return some;
}

std::vector<Member> ManifestExchange::originReaders(const std::string &model,
                                                    std::uint64_t version) const
{
    std::vector<Member> all = mParts.members.stagersOf(mParts.service);
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

// Asks all @p peers at once: one that is dead or behind a slow link would hold the
// fetch up for longer than the origin needs for a third of the chunks.
awaitable<std::string> ManifestExchange::fetchFromPeers(std::string model, std::uint64_t version,
                                                        std::vector<Member> peers)
{
    auto query = std::make_shared<PeerQuery>(mParts.executor);
    for (const Member &member : peers) {
        if (member.box != mParts.settings.box) {
            ++query->open;
            asio::co_spawn(mParts.executor, queryPeer(query, member.peers, model, version),
                           asio::detached);
        }
    }
    while (query->open > 0 && query->text.empty()) {
        co_await query->changed.waitFor(sPeerTimeout);
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
    --query->open;
    query->changed.notify();
}

awaitable<std::string> ManifestExchange::fetchOldestNeeded(std::string model)
{
    co_return co_await fetchFromPeers(std::move(model), sOldestNeeded, sampleStagers());
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
