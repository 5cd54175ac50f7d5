/*
 * stageservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "stageservice.h"

#include "clock.h"
#include "digest.h"
#include "directconfig.h"
#include "jsonlog.h"
#include "loadreporter.h"
#include "metrics.h"
#include "peerhub.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// The engine is on this box; asking it costs a fraction of a millisecond.
constexpr Milliseconds sLookEvery{50};
// With nothing to load; gateways that ask have it looked at as they come.
constexpr Milliseconds sCalmLookEvery{250};
constexpr Milliseconds sWeightsEvery{50};
constexpr Milliseconds sRetryPause{200};
// The members' feed is read within some dozens of milliseconds after the start.
constexpr Milliseconds sMembersPatience{600};
constexpr Milliseconds sMembersStep{50};
// Gateways must have heard that the replica takes nothing before it is ordered to load.
constexpr Milliseconds sTellFirst{30};
// For what waits at the engine when its turn comes; what still waits then goes elsewhere.
constexpr Milliseconds sQueueTime{700};
// An order that got no answer and shows no effect for so long was not taken.
constexpr Milliseconds sOrderLost{1'500};
constexpr std::uint64_t sStoreBytes = std::uint64_t{48} * 1024 * 1024;
// Live answers share the link with these: few at once keep its queue short.
constexpr std::uint32_t sMostUploads = 3;
// Of the link, for chunks on their way out; the rest is for answers to callers.
constexpr double sLinkShare = 0.95;
constexpr double sBytesPerMbit = 125'000;
constexpr double sBurstBytes = 8.0 * 1024;
constexpr std::uint32_t sOriginParallel = 1;
// From the naming of a version until most have its manifest.
constexpr Milliseconds sNamedToBegin{150};
// Of a chunk's time at the origin, before the next owner begins: its link never
// stands idle between two of them.
constexpr double sOriginBusy = 0.85;
constexpr double sMicroseconds = 1'000'000;
// More at once only share the link, and each chunk is passed on later.
constexpr std::uint32_t sPeerParallel = 3;
constexpr std::uint32_t sNeighbours = 12;
constexpr Milliseconds sTakeover{2'000};
// Several times what a chunk takes when it shares an idle link with three others.
constexpr double sSlowChunkSeconds = 0.5;
// Of the version in force, the next, and one after it.
constexpr std::size_t sMostFetches = 3;

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

StageService::StageService(EnginePort &engine, Metrics &metrics, const DirectSettings &settings)
    : mEngine(engine)
    , mMetrics(metrics)
    , mSettings(settings)
    , mStager(std::get<StagerSettings>(settings.role))
    , mIngress(0, 0)
    , mEgress(mStager.linkMbit * sBytesPerMbit * sLinkShare, sBurstBytes)
{
}

tl::expected<void, std::string> StageService::start(Kernel &kernel)
{
    mConfig = &kernel.find<DirectConfig>(DirectConfig::sName);
    mMembers = &kernel.find<MemberService>(MemberService::sName);
    mHub = &kernel.find<PeerHub>(PeerHub::sName);
    mReporter = &kernel.find<LoadReporter>(LoadReporter::sName);
    mReporter->setLook([this]() -> awaitable<void> { co_await lookAtEngine(); });
    mWake = std::make_unique<Signal>(kernel.executor());
    mStore = std::make_unique<ChunkStore>(kernel.executor(), sStoreBytes);
    mServer = std::make_unique<ChunkServer>(*mStore, mEgress, sMostUploads);
    mHub->serve(std::string(sHavePath),
                [this](PeerStreamPtr stream) { return mServer->serveHave(std::move(stream)); });
    mHub->serve(std::string(sChunkPath),
                [this](PeerStreamPtr stream) { return mServer->serveChunk(std::move(stream)); });
    mManifests = std::make_unique<ManifestExchange>(
        ManifestExchange::Parts{kernel.executor(), mEngine, *mMembers, *mHub, mSettings,
                                mStager.service, [this] { return origin(); },
                                [this](std::string_view model, std::uint64_t version) {
                                    return heldManifest(model, version);
                                }});
    mConfig->addListener([this] { mWake->notify(); });
    asio::co_spawn(kernel.executor(), drive(), asio::detached);
    asio::co_spawn(kernel.executor(), drivePeers(), asio::detached);
    return {};
}

void StageService::stop()
{
    mStopped = true;
    mServer->stop();
    mManifests->stop();
    for (const VersionFetch &one : mFetches) {
        one.fetch->cancel();
    }
    mWake->notify();
}

// Looks at the engine, and tells the gateways.
awaitable<void> StageService::drive()
{
    while (!mStopped) {
        co_await lookAtEngine();
        co_await sleepFor(isCalm() ? sCalmLookEvery : sLookEvery);
    }
}

// The engine answers, and runs the newest weights that are named.
bool StageService::isCalm() const
{
    const EngineProfile *engine = figures();
    if (!mReport || mIsLoading || engine == nullptr || engine->models.empty()) {
        return false;
    }
    const std::string &model = engine->models.front();
    return loadedVersion(model) >= mConfig->weights().newest(model);
}

awaitable<bool> StageService::lookAtEngine()
{
    const EngineProfile *engine = figures();
    auto report = co_await mEngine.report(engine == nullptr ? 0 : engine->layers);
    const bool wasReached = mReport.has_value();
    if (wasReached != report.has_value()) {
        logLine(report ? LogLevel::Info : LogLevel::Warning,
                report ? "engine-regained" : "engine-lost", {});
    }
    noteEngineLife(report);
    mReport = std::move(report);
    tellLoad();
    co_return mReport.has_value();
}

// An engine that started again has taken no order of ours and holds no weights.
// Waiting for the load that its earlier life was ordered would keep it empty.
void StageService::noteEngineLife(const std::optional<EngineReport> &report)
{
    if (!report || report->born == 0 || report->born == mEngineBorn) {
        return;
    }
    if (mEngineBorn != 0) {
        logLine(LogLevel::Warning, "engine-started-again",
                {{"born", report->born}, {"wasLoading", mIsLoading}});
        mIsLoading = false;
    }
    mEngineBorn = report->born;
}

void StageService::tellLoad()
{
    ReplicaLoad load;
    if (mReport) {
        load.running = mReport->running;
        load.waiting = mReport->waiting;
        load.memoryUsed = mReport->memoryUsed;
        load.memoryTotal = mReport->memoryTotal;
        load.pace = mReport->pace;
        const auto whole = std::ranges::find_if(mReport->loaded, &LoadedWeights::isWhole);
        load.weightsVersion = whole == mReport->loaded.end() ? 0 : whole->version;
    }
    load.isLinkSlow = isLinkSlow();
    load.isAccepting = mReport && !mReport->isBusy && !mIsLoading;
    mReporter->set(load);
}

// Chunks tell: requests to the engine come in on the same link.
bool StageService::isLinkSlow() const
{
    return mServer->isSlow() || std::ranges::any_of(mFetches, [](const VersionFetch &one) {
               return !one.fetch->isComplete()
                   && one.fetch->recentChunkSeconds() > sSlowChunkSeconds;
           });
}

const EngineProfile *StageService::figures() const
{
    const RouteTablePtr &table = mConfig->table();
    if (!table) {
        return nullptr;
    }
    const ServiceConfig *service = table->service(mStager.service);
    return service == nullptr || !service->engine ? nullptr : &*service->engine;
}

std::optional<Tcp::endpoint> StageService::origin() const
{
    const RouteTablePtr &table = mConfig->table();
    const OriginConfig *figures = table ? table->origin() : nullptr;
    if (figures == nullptr) {
        return std::nullopt;
    }
    const auto address = parseEndpoint(figures->address);
    return address ? std::optional(*address) : std::nullopt;
}

std::uint64_t StageService::loadedVersion(std::string_view model) const
{
    if (!mReport) {
        return 0;
    }
    for (const LoadedWeights &loaded : mReport->loaded) {
        if (loaded.model == model && loaded.isWhole) {
            return loaded.version;
        }
    }
    return 0;
}

awaitable<void> StageService::drivePeers()
{
    // Whoever knows no other members takes itself for the owner of every chunk.
    const Instant alone = now() + sMembersPatience;
    while (!mStopped && now() < alone && mMembers->stagersOf(mStager.service).size() <= 1) {
        co_await sleepFor(sMembersStep);
    }
    co_await sleepFor(sMembersStep);
    while (!mStopped) {
        if (figures() != nullptr && !figures()->models.empty()) {
            co_await bringWeights();
        }
        co_await mWake->waitFor(sWeightsEvery);
    }
}

// One step towards the newest named version. It is fetched at once; the one
// before it goes on, since it is due sooner and the origin may fail any time.
awaitable<void> StageService::bringWeights()
{
    const std::string model = figures()->models.front();
    const std::uint64_t newest = mConfig->weights().newest(model);
    const std::uint64_t loaded = loadedVersion(model);
    noteFetched();
    const bool isBegun = !mFetches.empty() && mFetches.back().wanted.version >= newest
        && mStore->find(mFetches.back().wanted.digest) != nullptr;
    // Beside the newest, whose manifest may take long to come: an origin that dies soon
    // still gives this box's share of the older one.
    if (!std::exchange(mHasJoined, true)) {
        asio::co_spawn(mWake->executor(), joinOlderFetch(model, newest), asio::detached);
    }
    if (!isBegun && !co_await startFetch(model, newest)) {
        co_await sleepFor(sRetryPause);
    }
    if (!mReport) {
        co_return; // an engine starts about as long as half a fetch takes
    }
    if (mIsLoading) {
        noteLoaded(model, loaded);
        co_return;
    }
    const bool isDue = loaded < mReady.version && mStore->find(mReady.digest) != nullptr;
    if (isDue && (loaded == 0 || isMyTurn(model, mReady.version))) {
        const VersionInHand wanted = mReady;
        co_await loadStaged(model, wanted);
    }
}

void StageService::noteLoaded(std::string_view model, std::uint64_t loaded)
{
    const bool isOver = !mReport->isBusy && now() - mOrderedAt > sOrderLost;
    if (loaded != mOrdered && !isOver) {
        return;
    }
    const auto took = std::chrono::duration_cast<Milliseconds>(now() - mOrderedAt);
    logLine(
        loaded == mOrdered ? LogLevel::Info : LogLevel::Warning, "load-ended",
        {{"model", model}, {"version", mOrdered}, {"loaded", loaded}, {"tookMs", took.count()}});
    mIsLoading = false;
    tellLoad();
}

bool StageService::isMyTurn(const std::string &model, std::uint64_t version) const
{
    const NamedVersion *named = mConfig->weights().find(model);
    if (named == nullptr) {
        return true;
    }
    std::vector<std::string> boxes;
    for (const Member &member : mMembers->stagersOf(mStager.service)) {
        boxes.push_back(member.box);
    }
    const ReloadSchedule turn(mSettings.bounds.weightsTime);
    const Instant learnedAt = mConfig->weights().learnedAt(model, version);
    return now() >= turn.at(versionKey(model, version), mSettings.box, boxes, learnedAt, mReadyAt);
}

void StageService::noteFetched()
{
    for (const VersionFetch &one : mFetches) {
        if (one.fetch->isComplete() && one.wanted.version > mReady.version) {
            mReady = one.wanted;
            mReadyAt = now();
        }
    }
    // Whatever is older than one that is here whole is not needed any more.
    std::erase_if(mFetches, [&](const VersionFetch &one) {
        const bool isOver = one.wanted.version < mReady.version;
        if (isOver) {
            one.fetch->cancel();
        }
        return isOver;
    });
}

// Gets the manifest of a version and begins to fetch its chunks.
awaitable<bool> StageService::startFetch(std::string model, std::uint64_t version)
{
    auto text = co_await mManifests->text(model, version);
    if (!text) {
        logLine(LogLevel::Warning, "manifest-missing",
                {{"model", model}, {"version", version}, {"problem", text.error()}});
        co_return false;
    }
    const auto wanted = co_await keepManifest(model, version, std::move(*text));
    if (!wanted) {
        co_return false;
    }
    while (mFetches.size() >= sMostFetches) {
        mFetches.front().fetch->cancel();
        mFetches.erase(mFetches.begin());
    }
    mFetches.push_back({*wanted, beginFetch(model, *wanted)});
    co_return true;
}

// Opens the version in the store, with what lies of it in the stage already.
awaitable<std::optional<StageService::VersionInHand>>
StageService::keepManifest(std::string model, std::uint64_t version, std::string text)
{
    auto manifest = Manifest::parse(text);
    if (!manifest) {
        logLine(LogLevel::Error, "manifest-unreadable", {{"problem", manifest.error()}});
        co_return std::nullopt;
    }
    const VersionInHand wanted{version, sha256Hex(text)};
    if (mStore->find(wanted.digest) == nullptr) {
        mStore->open(wanted.digest, std::move(*manifest), text);
    }
    co_await adoptStage(model, wanted);
    co_return wanted;
}

// The store tells the newest version only. Others may still fetch the one before it and
// wait for the chunks that this box owns; without those, all replicas were without usable
// weights for 7 s (two versions 2 s apart, 6 of 76 agents killed between them, the origin
// dead soon after).
awaitable<void> StageService::joinOlderFetch(std::string model, std::uint64_t newest)
{
    std::string text = co_await mManifests->oldestFetched(model);
    const auto manifest = Manifest::parse(text);
    if (!manifest) {
        co_return; // nobody fetches an older one
    }
    std::uint64_t version = 0;
    const std::string &told = manifest->version;
    std::from_chars(told.data(), told.data() + told.size(), version);
    if (version <= loadedVersion(model) || version >= newest) {
        co_return;
    }
    if (const auto wanted = co_await keepManifest(model, version, std::move(text))) {
        mFetches.insert(mFetches.begin(), {*wanted, beginFetch(model, *wanted)});
    }
}

// What other agents may ask for: the manifests of versions that are fetched here. The
// oldest one that counts is newer than what runs already.
const std::string *StageService::heldManifest(std::string_view model, std::uint64_t version) const
{
    const bool isOldestAsked = version == ManifestExchange::sOldestFetched;
    const std::uint64_t loaded = loadedVersion(model);
    for (const VersionFetch &one : mFetches) {
        const StoredVersion *stored = mStore->find(one.wanted.digest);
        const bool isAsked
            = isOldestAsked ? one.wanted.version > loaded : one.wanted.version == version;
        if (isAsked && stored != nullptr && stored->manifest.service == model) {
            return &stored->manifestText;
        }
    }
    return nullptr;
}

// What lies in the stage since an earlier life need not come over the network.
awaitable<void> StageService::adoptStage(std::string model, VersionInHand wanted)
{
    if (!mReport) {
        co_return; // the engine cannot be asked yet
    }
    const std::string digest = wanted.digest;
    const std::uint32_t count = mStore->find(digest)->manifest.chunkCount();
    std::uint32_t adopted = 0;
    for (std::uint32_t index = 0; index < count && !mStopped; ++index) {
        auto data = co_await mEngine.stageGet(model, index);
        StoredVersion *stored = mStore->find(digest);
        if (stored == nullptr) {
            co_return;
        }
        const bool isRight = data && sha256Hex(*data) == stored->manifest.chunkDigests[index];
        if (isRight && !stored->has[index]) {
            mStore->put(digest, index, std::move(*data));
            ++adopted;
        }
        // A stage that begins with another version holds nothing of this one.
        if (!isRight && index == 0) {
            break;
        }
    }
    logLine(LogLevel::Info, "stage-adopted", {{"version", wanted.version}, {"chunks", adopted}});
}

// How long the origin's link needs for one chunk; zero where that is not told.
Microseconds StageService::originSpacing(const VersionInHand &wanted) const
{
    const RouteTablePtr &table = mConfig->table();
    const OriginConfig *figures = table ? table->origin() : nullptr;
    const StoredVersion *stored = mStore->find(wanted.digest);
    if (figures == nullptr || figures->linkMbit <= 0 || stored == nullptr) {
        return Microseconds(0);
    }
    const double bytesPerMicrosecond = figures->linkMbit * sBytesPerMbit / sMicroseconds;
    const double bytes = stored->manifest.chunkBytes * sOriginBusy;
    return Microseconds(static_cast<std::int64_t>(bytes / bytesPerMicrosecond));
}

std::shared_ptr<WeightFetch> StageService::beginFetch(const std::string &model,
                                                      const VersionInHand &wanted)
{
    const std::uint64_t version = wanted.version;
    ChunkPlan::Options options;
    options.originParallel = sOriginParallel;
    options.peerParallel = sPeerParallel;
    options.neighbours = sNeighbours;
    options.nearOnly = true;
    options.takeover = sTakeover;
    options.originSpacing = originSpacing(wanted);
    options.originFrom = mConfig->weights().learnedAt(model, version) + sNamedToBegin;
    options.seed = randomSeed();
    WeightFetch::Parts parts{
        {mSettings.box, mSettings.dataCentre},
        [this](std::string box, std::string path) {
            return openBox(std::move(box), std::move(path));
        },
        []() -> awaitable<std::string> { co_return std::string(); },
        [this, model, version](std::uint32_t index) { return originChunk(model, version, index); },
        *mStore,
        mIngress,
        mCounts,
        [this] { return members(); },
        [this] { mWake->notify(); }};
    auto fetch = std::make_shared<WeightFetch>(
        VersionTarget{std::to_string(version), wanted.digest}, options, std::move(parts));
    logLine(LogLevel::Info, "fetch-begun", {{"model", model}, {"version", version}});
    asio::co_spawn(mWake->executor(), WeightFetch::run(fetch), asio::detached);
    return fetch;
}

awaitable<tl::expected<std::string, ChunkFailure>>
StageService::originChunk(std::string model, std::uint64_t version, std::uint32_t index)
{
    const auto address = origin();
    if (!address) {
        co_return tl::unexpected(ChunkFailure::Gone);
    }
    auto data = co_await mEngine.piece(*address, model, version, index);
    if (!data) {
        co_return tl::unexpected(ChunkFailure::Gone);
    }
    mMetrics.count("origin_bytes", model, data->size());
    co_return std::move(*data);
}

std::vector<SwarmMember> StageService::members() const
{
    std::vector<SwarmMember> all;
    for (const Member &member : mMembers->stagersOf(mStager.service)) {
        all.push_back({member.box, member.dataCentre});
    }
    return all;
}

awaitable<PeerStreamPtr> StageService::openBox(std::string box, std::string path)
{
    for (const Member &member : mMembers->stagersOf(mStager.service)) {
        if (member.box == box) {
            co_return co_await mHub->open(member.peers, std::move(path));
        }
    }
    co_return nullptr;
}

// Stages, reads back, and orders the load; false where it has to be tried again.
awaitable<bool> StageService::loadStaged(std::string model, VersionInHand wanted)
{
    if (mReport->isBusy) {
        co_return false; // a load under way still reads the stage
    }
    // A later life of the engine may have lost the stage that is looked at here.
    const std::uint64_t life = mEngineBorn;
    if (!co_await isStageRight(model, wanted.digest)) {
        if (!co_await fillStage(model, wanted.digest)
            || !co_await isStageRight(model, wanted.digest)) {
            co_await sleepFor(sRetryPause);
            co_return false;
        }
    }
    mIsLoading = true;
    mOrdered = wanted.version;
    mOrderedAt = now();
    tellLoad();
    if (!co_await emptyQueue() || mReport->isBusy || mEngineBorn != life) {
        mIsLoading = false;
        co_return false;
    }
    const std::uint64_t ordersTaken = mReport->ordersTaken;
    mOrderedAt = now();
    const OrderAnswer answer = co_await mEngine.load(model, wanted.version, ordersTaken);
    logLine(LogLevel::Info, "load-ordered",
            {{"model", model},
             {"version", wanted.version},
             {"answer", static_cast<int>(answer)},
             {"ordersTaken", ordersTaken},
             {"running", mReport ? mReport->running : 0}});
    if (answer == OrderAnswer::Refused) {
        mIsLoading = false;
        co_await sleepFor(sRetryPause);
    }
    co_return answer != OrderAnswer::Refused;
}

// Gateways send nothing more, and what waits at the engine gets its place. What runs ends
// in its own time: the order waits for it. Broken off, a stream would end before its caller
// wherever no other replica can take it.
awaitable<bool> StageService::emptyQueue()
{
    const Instant until = now() + sQueueTime;
    do {
        co_await sleepFor(sTellFirst);
        if (!co_await lookAtEngine()) {
            co_return false;
        }
    } while (now() < until && mReport->waiting > 0 && !mStopped);
    co_return true;
}

awaitable<bool> StageService::fillStage(std::string model, std::string digest)
{
    const std::uint32_t count = mStore->find(digest)->manifest.chunkCount();
    for (std::uint32_t index = 0; index < count && !mStopped; ++index) {
        const StoredVersion *stored = mStore->find(digest);
        if (stored == nullptr || !stored->has[index]) {
            co_return false;
        }
        std::string data = stored->chunks[index];
        if (!co_await mEngine.stagePut(model, index, std::move(data))) {
            logLine(LogLevel::Warning, "stage-write-failed", {{"index", index}});
            co_return false;
        }
    }
    co_return true;
}

awaitable<bool> StageService::isStageRight(std::string model, std::string digest)
{
    const std::uint32_t count = mStore->find(digest)->manifest.chunkCount();
    for (std::uint32_t index = 0; index < count && !mStopped; ++index) {
        const auto data = co_await mEngine.stageGet(model, index);
        const StoredVersion *stored = mStore->find(digest);
        const bool isRight
            = stored != nullptr && data && sha256Hex(*data) == stored->manifest.chunkDigests[index];
        if (!isRight) {
            co_return false;
        }
    }
    co_return count > 0;
}

} // namespace Loom
