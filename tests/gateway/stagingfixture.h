/*
 * stagingfixture.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "clock.h"
#include "gatewayfixture.h"
#include "loadreporter.h"
#include "manifest.h"
#include "runtest.h"
#include "weightstagingservice.h"

#include <algorithm>
#include <map>
#include <set>

namespace Loom {

/**
 * Fakes an engine and an origin of weights in memory. The engine takes the staged chunks when it
 * receives the order.
 */
class FakeEngine final : public EnginePort
{
public:
    static constexpr std::uint32_t sChunks = 12;
    /** A chunk that turned corrupt within this time before the engine takes it is excused. */
    static constexpr Milliseconds sExcusedAge{3'000};

    std::uint64_t loaded = 1;
    std::uint64_t born = 1'000;
    std::set<std::uint64_t> unavailableVersions; ///< not served by the origin
    std::set<std::uint64_t> requestedVersions; ///< versions of which a chunk was requested
    std::function<void(std::uint32_t index)> onStageGet;
    std::function<void()> onReport;
    std::function<void()> onOrderArrived; ///< before the engine takes the staged chunks
    OrderResult orderAnswer = OrderResult::Begun; ///< to an order that was accepted
    int ordersOnCorruptStage = 0; ///< load orders that took an inexcusably corrupt chunk
    std::uint32_t servedChunks = 0; ///< number of chunks that the origin served
    std::map<std::uint64_t, std::uint32_t> servedByVersion; ///< servedChunks by version
    std::set<std::uint64_t> missingManifests; ///< versions whose manifest the origin lacks
    /** Changes the manifest that the origin sends; false: the origin sends none. */
    std::function<bool(Manifest &manifest)> onManifest;
    int manifestReads = 0; ///< number of reads of a manifest from the origin
    bool isSuspended = false; ///< it answers nothing, and takes an order when it resumes
    bool isBusy = false; ///< a load that an earlier agent ordered is in progress
    Milliseconds putDuration{0}; ///< time from a write to the stage until it takes effect
    int listReads = 0; ///< number of reads of the list of staged pieces
    int putsWhileBusy = 0;
    int ordersOnMixedStage = 0; ///< load orders while the stage held another version's chunk
    std::vector<std::uint64_t> loadedVersions; ///< in the order of loading
    int loadOrders = 0;
    int ordersOnIncompleteStage = 0;
    std::map<std::uint32_t, std::string> stage;

    static Manifest manifestOf(std::uint64_t version)
    {
        const std::string bytes = weightsOf(version);
        return Manifest::fromWeights("m", std::to_string(version), std::as_bytes(std::span(bytes)),
                                     sChunkBytes);
    }

    static std::string chunkOf(std::uint64_t version, std::uint32_t index)
    {
        return weightsOf(version).substr(std::size_t{index} * sChunkBytes, sChunkBytes);
    }

    void corrupt(std::uint32_t index)
    {
        stage[index][0] ^= 1;
        mCorruptSince.try_emplace(index, now());
    }

    awaitable<std::optional<EngineReport>> report(std::uint32_t) override
    {
        if (onReport) {
            onReport();
        }
        if (isSuspended) {
            co_return std::nullopt;
        }
        EngineReport report;
        report.loaded.push_back({"m", loaded, true});
        report.born = born;
        report.acceptedOrderCount = 0;
        report.isBusy = isBusy;
        co_return report;
    }

    awaitable<OrderResult> load(std::string, std::uint64_t version, std::uint64_t) override
    {
        if (onOrderArrived) {
            onOrderArrived();
        }
        while (isSuspended) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        ++loadOrders;
        const bool isCorrupt = std::ranges::any_of(
            mCorruptSince, [](const auto &chunk) { return now() - chunk.second > sExcusedAge; });
        ordersOnCorruptStage += isCorrupt ? 1 : 0;
        ordersOnIncompleteStage += stage.size() < sChunks ? 1 : 0;
        for (const auto &[index, data] : stage) {
            ordersOnMixedStage += data == chunkOf(version, index) ? 0 : 1;
        }
        loadedVersions.push_back(version);
        loaded = version;
        co_return orderAnswer;
    }

    awaitable<bool> stagePut(std::string, std::uint32_t index, std::string data) override
    {
        if (putDuration.count() > 0) {
            co_await sleepFor(putDuration);
        }
        putsWhileBusy += isBusy ? 1 : 0;
        stage[index] = std::move(data);
        mCorruptSince.erase(index);
        co_return true;
    }

    awaitable<std::optional<std::vector<std::uint32_t>>> stagedPieces(std::string) override
    {
        ++listReads;
        std::vector<std::uint32_t> indexes;
        for (const auto &[index, data] : stage) {
            indexes.push_back(index);
        }
        co_return indexes;
    }

    awaitable<std::optional<std::string>> stageGet(std::string, std::uint32_t index) override
    {
        const auto it = stage.find(index);
        const auto data = it == stage.end() ? std::nullopt : std::optional(it->second);
        if (onStageGet) {
            onStageGet(index);
        }
        co_return data;
    }

    awaitable<tl::expected<Manifest, std::string>> manifest(Tcp::endpoint, std::string,
                                                            std::uint64_t version) override
    {
        if (missingManifests.contains(version)) {
            co_return tl::unexpected(std::string("no such version"));
        }
        ++manifestReads;
        Manifest manifest = manifestOf(version);
        if (onManifest && !onManifest(manifest)) {
            co_return tl::unexpected(std::string("broken off"));
        }
        co_return manifest;
    }

    awaitable<std::optional<std::string>> piece(Tcp::endpoint, std::string, std::uint64_t version,
                                                std::uint32_t index) override
    {
        requestedVersions.insert(version);
        if (unavailableVersions.contains(version)) {
            co_return std::nullopt;
        }
        ++servedChunks;
        ++servedByVersion[version];
        co_return chunkOf(version, index);
    }

private:
    static constexpr std::uint32_t sChunkBytes = 256;

    static std::string weightsOf(std::uint64_t version)
    {
        std::string bytes(std::size_t{sChunks} * sChunkBytes, static_cast<char>('a' + version));
        for (std::size_t index = 0; index < bytes.size(); ++index) {
            bytes[index] = static_cast<char>(bytes[index] + index / sChunkBytes);
        }
        return bytes;
    }

    std::map<std::uint32_t, Instant> mCorruptSince; ///< by index of the chunk
};

inline const std::string sStagingConfig = R"({"version":1,"routes":[],"services":[
    {"name":"weights","origin":"127.0.0.1:9","link_mbps":9.0},
    {"name":"engine","engine":{"slots":4,"step_ms":5,"read_per_s":100000,"stride":1,"layers":1,
     "usual":{"prompt":10,"answer":10},"models":[{"name":"m"}]}}]})";

inline std::string versionRecord(int version)
{
    return R"({"model":"m","version":)" + std::to_string(version) + "}";
}

/** Waits until @p condition holds; fails the test after some seconds. */
inline awaitable<void> waitFor(std::function<bool()> condition)
{
    constexpr std::chrono::seconds sTestTimeout{20};
    const auto until = std::chrono::steady_clock::now() + sTestTimeout;
    while (!condition()) {
        BOOST_REQUIRE(std::chrono::steady_clock::now() < until);
        co_await sleepFor(std::chrono::milliseconds(5));
    }
}

/** One agent with a weight staging service on top of a store in memory. */
class StagingFixture
{
public:
    StagingFixture(asio::io_context &context, StorePort &store, std::string box)
        : mSettings(settings(context, std::move(box)))
        , mKernel(context.get_executor())
    {
        mKernel.add(std::make_unique<PeerHub>(mSettings.peers));
        mKernel.add(std::make_unique<FeedService>(store, mSettings.box, FeedPreference::Store));
        mKernel.add(std::make_unique<MemberService>(store, mSettings, 1));
        mKernel.add(std::make_unique<OperatorConfigService>(mRecords, mSettings.bounds));
        mKernel.add(std::make_unique<LoadReporter>("127.0.0.1:1"));
        mKernel.add(std::make_unique<WeightStagingService>(engine, mMetrics, mSettings));
    }

    FakeEngine engine;

    void start() { BOOST_REQUIRE(mKernel.start().has_value()); }
    /** The load that gateways are told. */
    const std::optional<ReplicaLoad> &reportedLoad()
    {
        return mKernel.find<LoadReporter>(LoadReporter::sName).load();
    }
    const Metrics &metrics() const { return mMetrics; }

private:
    static MemberSettings settings(asio::io_context &context, std::string box)
    {
        const Tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
        // Members are reached at the address that they record, so it must be a real one.
        Tcp::acceptor free(context, anyPort);
        MemberSettings settings;
        settings.box = std::move(box);
        settings.dataCentre = "z1";
        settings.region = "r1";
        settings.peers = free.local_endpoint();
        settings.store = anyPort;
        settings.bounds.weightsGracePeriod = Milliseconds(3'000); // reload turns come soon
        settings.role = StagerSettings{"engine", anyPort, 0};
        return settings;
    }

    MemberSettings mSettings;
    Platform::RecordDecoder mRecords;
    Metrics mMetrics;
    Kernel mKernel;
};

} // namespace Loom
