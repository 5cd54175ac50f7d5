/*
 * weightservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "weightservice.h"

#include "agentlinks.h"
#include "callservice.h"
#include "clock.h"
#include "configservice.h"
#include "jsonlog.h"
#include "listservice.h"
#include "orderservice.h"
#include "overload.h"
#include "platformservice.h"
#include "rendezvous.h"
#include "upstreamservice.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::chrono::milliseconds sDriveStep{200};
constexpr std::chrono::milliseconds sStatusTimeout{500};
constexpr std::chrono::milliseconds sEngineTimeout{30'000};
constexpr std::chrono::milliseconds sManifestTimeout{5'000};
constexpr std::chrono::milliseconds sOriginTimeout{60'000};
// A wave that does not finish in this time does not hold the next one up.
constexpr std::chrono::seconds sWaveLimit{10};
// Chunks on their way out at once; more are told that this box is busy.
constexpr std::uint32_t sMostUploads = 8;
constexpr double sBytesPerMbit = 125'000;
constexpr double sBurstBytes = 256.0 * 1024;
constexpr std::uint64_t sMib = 1024 * 1024;
constexpr std::int64_t sPercent = 100;

} // namespace

WeightService::WeightService(const asio::any_io_executor &executor, const AgentSettings &settings)
    : mExecutor(executor)
    , mStore(executor, settings.weightCacheMib * sMib)
    , mIngress(static_cast<double>(settings.linkMbit) * sBytesPerMbit, sBurstBytes)
    , mEgress(static_cast<double>(settings.linkMbit) * sBytesPerMbit, sBurstBytes)
    , mServer(mStore, mEgress, sMostUploads)
    , mRate(static_cast<double>(settings.linkMbit) * sBytesPerMbit)
    , mWake(executor)
{
}

tl::expected<void, std::string> WeightService::start(Kernel &kernel)
{
    mPlatform = &kernel.find<PlatformService>(PlatformService::sName);
    mConfig = &kernel.find<ConfigService>(ConfigService::sName);
    mList = &kernel.find<ListService>(ListService::sName);
    mUpstream = &kernel.find<UpstreamService>(UpstreamService::sName);
    mOrders = &kernel.find<OrderService>(OrderService::sName);
    mLinks = &kernel.find<AgentLinks>(AgentLinks::sName);
    kernel.find<CallService>(CallService::sName).setLatencyListener([this](Microseconds latency) {
        noteLiveLatency(latency);
    });
    mConfig->addListener([this] {
        takeTargets();
        mWake.notify();
    });
    asio::co_spawn(mExecutor, drive(), asio::detached);
    return {};
}

void WeightService::stop()
{
    mStopped = true;
    mServer.stop();
    if (mFetch) {
        mFetch->cancel();
    }
}

std::optional<VersionTarget> WeightService::targetNamed(std::string_view key) const
{
    const std::string &service = mUpstream->settings().service;
    const std::string version = mConfig->state().text(service, key);
    const wire::VersionEntry *entry = mConfig->state().version(service, version);
    if (entry == nullptr) {
        return std::nullopt;
    }
    return VersionTarget{version, entry->version().manifest_digest()};
}

void WeightService::takeTargets()
{
    mUpstream->versions().setTargets(targetNamed("model.version"), targetNamed("model.spread"));
}

std::vector<SwarmMember> WeightService::members() const
{
    std::vector<SwarmMember> all;
    for (const ListedBox &box : mList->boxes()) {
        const bool fits
            = !box.isEntry && !box.isLeaving && box.service == mUpstream->settings().service;
        if (fits) {
            all.push_back({box.box, box.dataCentre});
        }
    }
    return all;
}

void WeightService::noteLiveLatency(Microseconds latency)
{
    const bool transferring = mServer.uploads() > 0 || mUpstream->versions().fetching().has_value();
    mRate.addLatency(latency, transferring);
}

awaitable<void> WeightService::drive()
{
    while (!mStopped) {
        const double rate = mRate.rate(now());
        mIngress.setRate(rate);
        mEgress.setRate(rate);
        const bool waiting = mUpstream->versions().isWaitingToLoad();
        if (waiting && !mWasWaiting) {
            mWaitingSince = now();
        }
        mWasWaiting = waiting;
        const bool mayLoad = waiting && co_await isMyTurn();
        for (const SwitchAction &action : mUpstream->versions().next(now(), mayLoad)) {
            perform(action);
        }
        co_await mWake.waitFor(sDriveStep);
    }
}

void WeightService::perform(const SwitchAction &action)
{
    std::visit(Overload{
                   [&](const StartFetch &start) { beginFetch(start.target); },
                   [&](const StopFetch &stop) {
                       logLine(LogLevel::Info, "fetch-superseded", {{"version", stop.version}});
                       if (mFetch) {
                           mFetch->cancel();
                           mStore.drop(mFetch->target().manifestDigest);
                           mFetch.reset();
                       }
                   },
                   [&](const OrderLoad &load) {
                       asio::co_spawn(mExecutor, loadVersion(load.target), asio::detached);
                   },
                   [&](const OrderUnload &unload) {
                       asio::co_spawn(mExecutor, unloadVersion(unload.version), asio::detached);
                   },
               },
               action);
}

void WeightService::beginFetch(const VersionTarget &target)
{
    const std::string &service = mUpstream->settings().service;
    ChunkPlan::Options options;
    options.policy = mUpstream->settings().fetch;
    options.originCopies
        = static_cast<std::uint32_t>(mConfig->state().integer(service, "rollout.originCopies"));
    options.seed = mPlatform->random();
    const auto open = [this](std::string box, std::string path) {
        return mLinks->open(std::move(box), std::move(path));
    };
    const std::string digest = target.manifestDigest;
    WeightFetch::Parts parts{
        {mPlatform->box(), mPlatform->settings().dataCentre},
        open,
        [this, digest] { return originManifest(digest); },
        [this, digest](std::uint32_t index) { return originChunk(digest, index); },
        mStore,
        mIngress,
        mCounts,
        [this] { return members(); },
        [this, target] {
            mUpstream->versions().markFetched(target.version, target.manifestDigest);
            mWake.notify();
            mUpstream->noteChange();
        }};
    mFetch = std::make_shared<WeightFetch>(target, options, std::move(parts));
    logLine(LogLevel::Info, "fetch-begun", {{"version", target.version}});
    mHanded.erase(target.manifestDigest);
    asio::co_spawn(mExecutor, WeightFetch::run(mFetch), asio::detached);
    asio::co_spawn(mExecutor, handWhileFetching(mFetch), asio::detached);
}

awaitable<std::string> WeightService::originManifest(std::string digest)
{
    HttpCall call;
    call.endpoint = mPlatform->settings().origin;
    call.method = "GET";
    call.target = "/manifests/" + digest;
    call.timeout = sManifestTimeout;
    const auto response = co_await mPlatform->http().send(std::move(call));
    if (!response || response->status != 200) {
        co_return std::string();
    }
    co_return response->body;
}

awaitable<tl::expected<std::string, ChunkFailure>> WeightService::originChunk(std::string digest,
                                                                              std::uint32_t index)
{
    HttpCall call;
    call.endpoint = mPlatform->settings().origin;
    call.method = "GET";
    call.target = "/chunks/" + digest + "/" + std::to_string(index);
    call.timeout = sOriginTimeout;
    auto response = co_await mPlatform->http().send(std::move(call));
    if (!response || response->status != 200) {
        co_return tl::unexpected(ChunkFailure::Gone);
    }
    co_return std::move(response->body);
}

awaitable<bool> WeightService::isMyTurn()
{
    const std::string &service = mUpstream->settings().service;
    const std::int64_t percent = mConfig->state().integer(service, "rollout.maxLoadingPercent");
    std::vector<std::string> boxes{mPlatform->box()};
    for (const SwarmMember &member : members()) {
        if (member.box != mPlatform->box()) {
            boxes.push_back(member.box);
        }
    }
    const auto count = static_cast<std::int64_t>(boxes.size());
    const auto allowed = std::max<std::int64_t>(1, count * percent / sPercent);
    // Whoever holds nothing to serve delays nobody by loading.
    if (allowed >= count || mUpstream->gate().versions().empty()) {
        co_return true;
    }
    const auto waiting = mUpstream->versions().waitingToLoad();
    const auto order = rendezvousOrder(waiting.value_or(""), boxes, boxes.size());
    const auto own = std::ranges::find(order, std::size_t{0}) - order.begin();
    const std::int64_t wave = own / allowed;
    if (wave == 0 || now() - mWaitingSince >= sWaveLimit * wave) {
        co_return true;
    }
    for (std::int64_t place = (wave - 1) * allowed; place < wave * allowed; ++place) {
        const std::string &box = boxes[order[static_cast<std::size_t>(place)]];
        if (!co_await hasLoaded(box, waiting.value_or(""))) {
            co_return false;
        }
    }
    co_return true;
}

awaitable<bool> WeightService::hasLoaded(std::string box, std::string version)
{
    const PeerStreamPtr stream = co_await mLinks->open(std::move(box), "/status");
    if (!stream) {
        co_return true; // dead: it loads nothing
    }
    stream->finish();
    const auto deadline = std::chrono::steady_clock::now() + sStatusTimeout;
    const auto status = co_await stream->receiveMessage<wire::AgentStatus>(deadline);
    if (!status || !*status) {
        stream->reset();
        co_return true;
    }
    const auto &loaded = (*status)->loaded_versions();
    co_return std::ranges::find(loaded, version) != loaded.end();
}

awaitable<void> WeightService::loadVersion(VersionTarget target)
{
    // An engine that restarted has lost what it was given: after a failed
    // order everything is handed over again.
    const bool early = mHanded.erase(target.manifestDigest) > 0;
    const bool handed = early || co_await handToEngine(target);
    const bool accepted = handed && co_await mOrders->load(target.version, target.manifestDigest);
    co_await mUpstream->refresh();
    mUpstream->versions().orderEnded(target.version, accepted, now());
    mWake.notify();
}

awaitable<void> WeightService::unloadVersion(std::string version)
{
    const bool accepted = co_await mOrders->unload(version);
    co_await mUpstream->refresh();
    mUpstream->versions().orderEnded(version, accepted, now());
    mWake.notify();
}

awaitable<void> WeightService::handWhileFetching(std::shared_ptr<WeightFetch> fetch)
{
    // The engine gets each verified chunk as it comes, so that the last one is
    // followed by the load and not by a second transfer.
    const std::string digest = fetch->target().manifestDigest;
    std::size_t handed = 0;
    while (!mStopped && mFetch == fetch) {
        const StoredVersion *stored = mStore.find(digest);
        if (stored != nullptr && handed == stored->manifest.chunkCount()) {
            mHanded.insert(digest);
            mWake.notify();
            co_return;
        }
        if (stored == nullptr || handed == stored->order.size()) {
            co_await mStore.added().waitFor(sDriveStep);
            continue;
        }
        const bool taken = co_await handChunk(digest, stored->order[handed]);
        if (!taken) {
            co_return; // loadVersion() hands over everything anew
        }
        ++handed;
    }
}

awaitable<bool> WeightService::handToEngine(const VersionTarget &target)
{
    const StoredVersion *stored = mStore.find(target.manifestDigest);
    const std::uint32_t count = stored == nullptr ? 0 : stored->manifest.chunkCount();
    for (std::uint32_t index = 0; index < count; ++index) {
        if (!co_await handChunk(target.manifestDigest, index)) {
            co_return false;
        }
    }
    co_return count > 0;
}

awaitable<bool> WeightService::handChunk(std::string digest, std::uint32_t index)
{
    const StoredVersion *stored = mStore.find(digest);
    if (stored == nullptr || !stored->has[index]) {
        co_return false;
    }
    HttpCall call;
    call.endpoint = mUpstream->settings().upstream;
    call.method = "PUT";
    call.target = "/v1/weights/" + digest + "/" + std::to_string(index)
        + "?count=" + std::to_string(stored->manifest.chunkCount());
    call.body = stored->chunks[index];
    call.timeout = sEngineTimeout;
    const auto response = co_await mPlatform->http().send(std::move(call));
    co_return response && response->status == 200;
}

} // namespace Loom
