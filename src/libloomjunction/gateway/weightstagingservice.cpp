/*
 * weightstagingservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "weightstagingservice.h"

#include "clock.h"
#include "digest.h"
#include "jsonlog.h"
#include "loadreporter.h"
#include "metrics.h"
#include "operatorconfigservice.h"
#include "peerhub.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// The engine runs on this box, so polling it costs a fraction of a millisecond.
constexpr Milliseconds sEnginePollInterval{50};
// Used while there is nothing to load. Load queries from gateways poll the engine as well.
constexpr Milliseconds sIdleEnginePollInterval{250};
constexpr Milliseconds sRolloutInterval{50};
constexpr Milliseconds sRetryDelay{200};
// The feed of members is read within some tens of milliseconds after the start.
constexpr Milliseconds sMembersTimeout{600};
constexpr Milliseconds sMembersPollInterval{50};
// Gateways must learn that the replica accepts no requests before the load is ordered.
constexpr Milliseconds sLoadReportDelay{30};
// Limit on waiting for the engine's queue to empty before the load is ordered. Requests
// that are still queued then are sent to other replicas.
constexpr Milliseconds sQueueDrainTimeout{700};
// An order without an answer and without a visible effect for this long was not accepted.
constexpr Milliseconds sOrderTimeout{1'500};
constexpr std::uint64_t sStoreBytes = std::uint64_t{48} * 1024 * 1024;
// Live responses share the link with uploads; few concurrent uploads keep its queue short.
constexpr std::uint32_t sMaxUploads = 3;
// Fraction of the link for uploads of chunks; the rest is for responses to callers.
constexpr double sChunkLinkFraction = 0.95;
constexpr double sBytesPerMbit = 125'000;
constexpr double sBurstBytes = 8.0 * 1024;
constexpr std::uint32_t sMaxOriginRequests = 1;
// Time from the publication of a version until most agents have its manifest.
constexpr Milliseconds sManifestDelay{150};
// The next owner starts its pull after this fraction of the time that the origin needs
// for a chunk, so that the origin's link is never idle between two pulls.
constexpr double sOriginIntervalFactor = 0.85;
constexpr double sMicrosecondsPerSecond = 1'000'000;
// More concurrent requests would only share the link, so that each chunk could be
// forwarded later.
constexpr std::uint32_t sMaxPeerRequests = 3;
constexpr std::uint32_t sNeighbourCount = 12;
constexpr Milliseconds sMaxTakeoverDelay{2'000};
// Several times the transfer time of a chunk that shares an idle link with three others.
constexpr double sSlowChunkSeconds = 0.5;
// Allows for the current version, the next one, and one after it.
constexpr std::size_t sMaxFetches = 3;

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

WeightStagingService::WeightStagingService(EnginePort &engine, Metrics &metrics,
                                           const MemberSettings &settings)
    : mEngine(engine)
    , mMetrics(metrics)
    , mSettings(settings)
    , mStagerSettings(std::get<StagerSettings>(settings.role))
    , mIngress(0, 0)
    , mEgress(mStagerSettings.linkMbit * sBytesPerMbit * sChunkLinkFraction, sBurstBytes)
{
}

tl::expected<void, std::string> WeightStagingService::start(Kernel &kernel)
{
    mConfig = &kernel.find<OperatorConfigService>(OperatorConfigService::sName);
    mMembers = &kernel.find<MemberService>(MemberService::sName);
    mHub = &kernel.find<PeerHub>(PeerHub::sName);
    mReporter = &kernel.find<LoadReporter>(LoadReporter::sName);
    mReporter->setEnginePoll([this]() -> awaitable<void> { co_await pollEngine(); });
    mWakeSignal = std::make_unique<Signal>(kernel.executor());
    mStore = std::make_unique<ChunkStore>(kernel.executor(), sStoreBytes);
    mServer = std::make_unique<ChunkServer>(*mStore, mEgress, sMaxUploads);
    mHub->serve(std::string(sHavePath),
                [this](PeerStreamPtr stream) { return mServer->serveHave(std::move(stream)); });
    mHub->serve(std::string(sChunkPath),
                [this](PeerStreamPtr stream) { return mServer->serveChunk(std::move(stream)); });
    mManifests = std::make_unique<ManifestExchange>(
        ManifestExchange::Parts{kernel.executor(), mEngine, *mMembers, *mHub, mSettings,
                                mStagerSettings.service, [this] { return originEndpoint(); },
                                [this](std::string_view model, std::uint64_t version) {
                                    return localManifest(model, version);
                                }});
    mConfig->addListener([this] { mWakeSignal->notify(); });
    asio::co_spawn(kernel.executor(), runEnginePolling(), asio::detached);
    asio::co_spawn(kernel.executor(), runRollout(), asio::detached);
    return {};
}

void WeightStagingService::stop()
{
    mStopped = true;
    mServer->stop();
    mManifests->stop();
    for (const VersionFetch &entry : mFetches) {
        entry.fetch->cancel();
    }
    mWakeSignal->notify();
}

// Polls the engine and reports its load to the gateways.
awaitable<void> WeightStagingService::runEnginePolling()
{
    while (!mStopped) {
        co_await pollEngine();
        co_await sleepFor(isUpToDate() ? sIdleEnginePollInterval : sEnginePollInterval);
    }
}

// Whether the engine is reachable and runs the newest published weights.
bool WeightStagingService::isUpToDate() const
{
    const EngineProfile *engine = engineFigures();
    if (!mReport || mIsLoading || engine == nullptr || engine->models.empty()) {
        return false;
    }
    const std::string &model = engine->models.front();
    return loadedVersion(model) >= mConfig->weights().newest(model);
}

awaitable<bool> WeightStagingService::pollEngine()
{
    const EngineProfile *engine = engineFigures();
    auto report = co_await mEngine.report(engine == nullptr ? 0 : engine->layers);
    const bool wasReached = mReport.has_value();
    if (wasReached != report.has_value()) {
        logLine(report ? LogLevel::Info : LogLevel::Warning,
                report ? "engine-regained" : "engine-lost", {});
    }
    detectEngineRestart(report);
    mReport = std::move(report);
    reportLoad();
    co_return mReport.has_value();
}

// A restarted engine has received no order and holds no weights. Waiting for a load that
// was ordered from its earlier incarnation would keep it empty.
void WeightStagingService::detectEngineRestart(const std::optional<EngineReport> &report)
{
    if (!report || report->born == 0 || report->born == mEngineIncarnation) {
        return;
    }
    if (mEngineIncarnation != 0) {
        logLine(LogLevel::Warning, "engine-started-again",
                {{"born", report->born}, {"wasLoading", mIsLoading}});
        mIsLoading = false;
    }
    mEngineIncarnation = report->born;
}

void WeightStagingService::reportLoad()
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

// The transfer times of chunks show a slow link, which requests to the engine share.
bool WeightStagingService::isLinkSlow() const
{
    return mServer->isSlow() || std::ranges::any_of(mFetches, [](const VersionFetch &entry) {
               return !entry.fetch->isComplete()
                   && entry.fetch->recentChunkSeconds() > sSlowChunkSeconds;
           });
}

const EngineProfile *WeightStagingService::engineFigures() const
{
    const RouteTablePtr &table = mConfig->table();
    if (!table) {
        return nullptr;
    }
    const ServiceConfig *service = table->service(mStagerSettings.service);
    return service == nullptr || !service->engine ? nullptr : &*service->engine;
}

std::optional<Tcp::endpoint> WeightStagingService::originEndpoint() const
{
    const RouteTablePtr &table = mConfig->table();
    const OriginConfig *figures = table ? table->origin() : nullptr;
    if (figures == nullptr) {
        return std::nullopt;
    }
    const auto address = parseEndpoint(figures->address);
    return address ? std::optional(*address) : std::nullopt;
}

std::uint64_t WeightStagingService::loadedVersion(std::string_view model) const
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

awaitable<void> WeightStagingService::runRollout()
{
    // An agent that knows no other members would act as the owner of every chunk.
    const Instant membersDeadline = now() + sMembersTimeout;
    while (!mStopped && now() < membersDeadline
           && mMembers->stagersForService(mStagerSettings.service).size() <= 1) {
        co_await sleepFor(sMembersPollInterval);
    }
    co_await sleepFor(sMembersPollInterval);
    while (!mStopped) {
        if (engineFigures() != nullptr && !engineFigures()->models.empty()) {
            co_await advanceRollout();
        }
        co_await mWakeSignal->waitFor(sRolloutInterval);
    }
}

// Advances towards the newest published version, whose fetch starts at once. The fetch of
// the previous version continues, because that version is due earlier and the origin may
// fail at any time.
awaitable<void> WeightStagingService::advanceRollout()
{
    const std::string model = engineFigures()->models.front();
    const std::uint64_t newest = mConfig->weights().newest(model);
    const std::uint64_t loaded = loadedVersion(model);
    updateFetches();
    const bool isFetching = !mFetches.empty() && mFetches.back().id.version >= newest
        && mStore->find(mFetches.back().id.digest) != nullptr;
    // The older version is fetched concurrently, because the manifest of the newest one
    // may be delayed. The origin may then still provide this box's share of the older
    // version before it fails.
    if (!std::exchange(mHasTriedOlderFetch, true)) {
        asio::co_spawn(mWakeSignal->executor(), joinOlderFetch(model, newest), asio::detached);
    }
    if (!isFetching && !co_await startFetch(model, newest)) {
        co_await sleepFor(sRetryDelay);
    }
    if (!mReport) {
        co_return; // starting an engine takes about half as long as a fetch
    }
    if (mIsLoading) {
        checkLoadFinished(model, loaded);
        co_return;
    }
    const bool isLoadDue
        = loaded < mCompleteVersion.version && mStore->find(mCompleteVersion.digest) != nullptr;
    if (isLoadDue && (loaded == 0 || isMyTurn(model, mCompleteVersion.version))) {
        const VersionId id = mCompleteVersion;
        co_await stageAndLoad(model, id);
    }
}

void WeightStagingService::checkLoadFinished(std::string_view model, std::uint64_t loaded)
{
    const bool isTimedOut = !mReport->isBusy && now() - mOrderedAt > sOrderTimeout;
    if (loaded != mOrderedVersion && !isTimedOut) {
        return;
    }
    const auto took = std::chrono::duration_cast<Milliseconds>(now() - mOrderedAt);
    logLine(loaded == mOrderedVersion ? LogLevel::Info : LogLevel::Warning, "load-ended",
            {{"model", model},
             {"version", mOrderedVersion},
             {"loaded", loaded},
             {"tookMs", took.count()}});
    mIsLoading = false;
    reportLoad();
}

bool WeightStagingService::isMyTurn(const std::string &model, std::uint64_t version) const
{
    const PublishedVersion *named = mConfig->weights().find(model);
    if (named == nullptr) {
        return true;
    }
    std::vector<std::string> boxes;
    for (const Member &member : mMembers->stagersForService(mStagerSettings.service)) {
        boxes.push_back(member.box);
    }
    const ReloadSchedule turn(mSettings.bounds.weightsGracePeriod);
    const Instant learnedAt = mConfig->weights().learnedAt(model, version);
    return now()
        >= turn.at(versionKey(model, version), mSettings.box, boxes, learnedAt, mCompleteSince);
}

void WeightStagingService::updateFetches()
{
    for (const VersionFetch &entry : mFetches) {
        if (entry.fetch->isComplete() && entry.id.version > mCompleteVersion.version) {
            mCompleteVersion = entry.id;
            mCompleteSince = now();
        }
    }
    // Versions older than a completely fetched one are not needed any more.
    std::erase_if(mFetches, [&](const VersionFetch &entry) {
        const bool isObsolete = entry.id.version < mCompleteVersion.version;
        if (isObsolete) {
            entry.fetch->cancel();
        }
        return isObsolete;
    });
}

// Fetches the manifest of a version and starts the fetch of its chunks.
awaitable<bool> WeightStagingService::startFetch(std::string model, std::uint64_t version)
{
    auto text = co_await mManifests->fetchManifest(model, version);
    if (!text) {
        logLine(LogLevel::Warning, "manifest-missing",
                {{"model", model}, {"version", version}, {"problem", text.error()}});
        co_return false;
    }
    const auto id = co_await storeManifest(model, version, std::move(*text));
    if (!id) {
        co_return false;
    }
    while (mFetches.size() >= sMaxFetches) {
        mFetches.front().fetch->cancel();
        mFetches.erase(mFetches.begin());
    }
    mFetches.push_back({*id, launchFetch(model, *id)});
    co_return true;
}

// Opens the version in the store and adds the chunks that are in the staging area already.
awaitable<std::optional<WeightStagingService::VersionId>>
WeightStagingService::storeManifest(std::string model, std::uint64_t version, std::string text)
{
    auto manifest = Manifest::parse(text);
    if (!manifest) {
        logLine(LogLevel::Error, "manifest-unreadable", {{"problem", manifest.error()}});
        co_return std::nullopt;
    }
    const VersionId id{version, sha256Hex(text)};
    if (mStore->find(id.digest) == nullptr) {
        mStore->open(id.digest, std::move(*manifest), text);
    }
    co_await adoptStagedChunks(model, id);
    co_return id;
}

// The platform's store provides only the newest version, but other agents may still fetch
// the previous one and wait for the chunks that this box owns. Without these chunks, all
// replicas had no usable weights for 7 s: two versions were published 2 s apart, 6 of 76
// agents were killed in between, and the origin failed soon after.
awaitable<void> WeightStagingService::joinOlderFetch(std::string model, std::uint64_t newest)
{
    std::string text = co_await mManifests->fetchOldestNeeded(model);
    const auto manifest = Manifest::parse(text);
    if (!manifest) {
        co_return; // no peer fetches an older version
    }
    std::uint64_t version = 0;
    const std::string &versionText = manifest->version;
    std::from_chars(versionText.data(), versionText.data() + versionText.size(), version);
    if (version <= loadedVersion(model) || version >= newest) {
        co_return;
    }
    if (const auto id = co_await storeManifest(model, version, std::move(text))) {
        mFetches.insert(mFetches.begin(), {*id, launchFetch(model, *id)});
    }
}

// Other agents may request the manifests of all versions that this agent fetches. The
// oldest needed version is the oldest one that is newer than the loaded version.
const std::string *WeightStagingService::localManifest(std::string_view model,
                                                       std::uint64_t version) const
{
    const bool isOldestRequested = version == ManifestExchange::sOldestNeeded;
    const std::uint64_t loaded = loadedVersion(model);
    for (const VersionFetch &entry : mFetches) {
        const StoredVersion *stored = mStore->find(entry.id.digest);
        const bool isAsked
            = isOldestRequested ? entry.id.version > loaded : entry.id.version == version;
        if (isAsked && stored != nullptr && stored->manifest.service == model) {
            return &stored->manifestText;
        }
    }
    return nullptr;
}

// Chunks that an earlier run left in the staging area need not be transferred again.
awaitable<void> WeightStagingService::adoptStagedChunks(std::string model, VersionId id)
{
    if (!mReport) {
        co_return; // the engine is not reachable yet
    }
    const std::string digest = id.digest;
    const std::uint32_t count = mStore->find(digest)->manifest.chunkCount();
    std::uint32_t adopted = 0;
    for (std::uint32_t index = 0; index < count && !mStopped; ++index) {
        auto data = co_await mEngine.stageGet(model, index);
        StoredVersion *stored = mStore->find(digest);
        if (stored == nullptr) {
            co_return;
        }
        const bool isIntact = data && sha256Hex(*data) == stored->manifest.chunkDigests[index];
        if (isIntact && !stored->has[index]) {
            mStore->put(digest, index, std::move(*data));
            ++adopted;
        }
        // A staging area whose first chunk is of another version holds none of this one.
        if (!isIntact && index == 0) {
            break;
        }
    }
    logLine(LogLevel::Info, "stage-adopted", {{"version", id.version}, {"chunks", adopted}});
}

// Interval between pulls from the origin, derived from its link rate; zero if that is
// not configured.
Microseconds WeightStagingService::originPullInterval(const VersionId &id) const
{
    const RouteTablePtr &table = mConfig->table();
    const OriginConfig *figures = table ? table->origin() : nullptr;
    const StoredVersion *stored = mStore->find(id.digest);
    if (figures == nullptr || figures->linkMbit <= 0 || stored == nullptr) {
        return Microseconds(0);
    }
    const double bytesPerMicrosecond = figures->linkMbit * sBytesPerMbit / sMicrosecondsPerSecond;
    const double bytes = stored->manifest.chunkBytes * sOriginIntervalFactor;
    return Microseconds(static_cast<std::int64_t>(bytes / bytesPerMicrosecond));
}

std::shared_ptr<WeightFetch> WeightStagingService::launchFetch(const std::string &model,
                                                               const VersionId &id)
{
    const std::uint64_t version = id.version;
    ChunkPlan::Options options;
    options.maxOriginRequests = sMaxOriginRequests;
    options.maxPeerRequests = sMaxPeerRequests;
    options.neighbourCount = sNeighbourCount;
    options.hasSingleImport = true;
    options.maxTakeoverDelay = sMaxTakeoverDelay;
    options.originPullInterval = originPullInterval(id);
    options.originPullStart = mConfig->weights().learnedAt(model, version) + sManifestDelay;
    options.seed = randomSeed();
    WeightFetch::Parts parts{
        {mSettings.box, mSettings.dataCentre},
        [this](std::string box, std::string path) {
            return openPeerStream(std::move(box), std::move(path));
        },
        []() -> awaitable<std::string> { co_return std::string(); },
        [this, model, version](std::uint32_t index) { return originChunk(model, version, index); },
        *mStore,
        mIngress,
        mFetchCounts,
        [this] { return members(); },
        [this] { mWakeSignal->notify(); }};
    auto fetch = std::make_shared<WeightFetch>(VersionTarget{std::to_string(version), id.digest},
                                               options, std::move(parts));
    logLine(LogLevel::Info, "fetch-begun", {{"model", model}, {"version", version}});
    asio::co_spawn(mWakeSignal->executor(), WeightFetch::run(fetch), asio::detached);
    return fetch;
}

awaitable<tl::expected<std::string, ChunkFailure>>
WeightStagingService::originChunk(std::string model, std::uint64_t version, std::uint32_t index)
{
    const auto address = originEndpoint();
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

std::vector<SwarmMember> WeightStagingService::members() const
{
    std::vector<SwarmMember> all;
    for (const Member &member : mMembers->stagersForService(mStagerSettings.service)) {
        all.push_back({member.box, member.dataCentre});
    }
    return all;
}

awaitable<PeerStreamPtr> WeightStagingService::openPeerStream(std::string box, std::string path)
{
    for (const Member &member : mMembers->stagersForService(mStagerSettings.service)) {
        if (member.box == box) {
            co_return co_await mHub->open(member.peers, std::move(path));
        }
    }
    co_return nullptr;
}

// Stages the version, verifies the staging area and orders the load. Returns false if all
// of this must be retried.
awaitable<bool> WeightStagingService::stageAndLoad(std::string model, VersionId id)
{
    if (mReport->isBusy) {
        co_return false; // a running load still reads the staging area
    }
    // A restart of the engine may lose the staging area after it was verified here.
    const std::uint64_t life = mEngineIncarnation;
    if (!co_await verifyStage(model, id.digest)) {
        if (!co_await writeStage(model, id.digest) || !co_await verifyStage(model, id.digest)) {
            co_await sleepFor(sRetryDelay);
            co_return false;
        }
    }
    mIsLoading = true;
    mOrderedVersion = id.version;
    mOrderedAt = now();
    reportLoad();
    if (!co_await drainEngineQueue() || mReport->isBusy || mEngineIncarnation != life) {
        mIsLoading = false;
        co_return false;
    }
    const std::uint64_t acceptedOrderCount = mReport->acceptedOrderCount;
    mOrderedAt = now();
    const OrderResult answer = co_await mEngine.load(model, id.version, acceptedOrderCount);
    logLine(LogLevel::Info, "load-ordered",
            {{"model", model},
             {"version", id.version},
             {"answer", static_cast<int>(answer)},
             {"ordersTaken", acceptedOrderCount},
             {"running", mReport ? mReport->running : 0}});
    if (answer == OrderResult::Refused) {
        mIsLoading = false;
        co_await sleepFor(sRetryDelay);
    }
    co_return answer != OrderResult::Refused;
}

// Gateways send no more requests, and the queued ones may still start. Running requests
// are not interrupted, because the engine delays the load until they are done. Breaking
// off a stream would end it for its caller if no other replica could continue it.
awaitable<bool> WeightStagingService::drainEngineQueue()
{
    const Instant deadline = now() + sQueueDrainTimeout;
    do {
        co_await sleepFor(sLoadReportDelay);
        if (!co_await pollEngine()) {
            co_return false;
        }
    } while (now() < deadline && mReport->waiting > 0 && !mStopped);
    co_return true;
}

awaitable<bool> WeightStagingService::writeStage(std::string model, std::string digest)
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

awaitable<bool> WeightStagingService::verifyStage(std::string model, std::string digest)
{
    const std::uint32_t count = mStore->find(digest)->manifest.chunkCount();
    for (std::uint32_t index = 0; index < count && !mStopped; ++index) {
        const auto data = co_await mEngine.stageGet(model, index);
        const StoredVersion *stored = mStore->find(digest);
        const bool isIntact
            = stored != nullptr && data && sha256Hex(*data) == stored->manifest.chunkDigests[index];
        if (!isIntact) {
            co_return false;
        }
    }
    co_return count > 0;
}

} // namespace Loom
