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
// Interval between background writes to the stage. It allows for several times the chunks
// that the box's link can deliver, and leaves most of the processor to requests.
constexpr Milliseconds sStageWriteInterval{10};
constexpr Milliseconds sStageIdleInterval{50};
// An engine that does not list its staged pieces must not prevent writing to its stage.
constexpr std::uint32_t sMaxAdoptionAttempts = 3;
// A peer receives a new version within some hundreds of milliseconds after the others.
constexpr Milliseconds sMinConfirmDelay{500};
// A joined version of which more than this part is stored is fetched even without a peer.
constexpr std::uint32_t sMaxUnconfirmedDivisor = 4;
// Delay between two checks of a manifest that chunks contradict, which doubles.
constexpr Milliseconds sMinManifestCheckDelay{200};
constexpr Milliseconds sMaxManifestCheckDelay{5'000};
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
    mLoader = std::make_unique<WeightLoader>(WeightLoader::Parts{
        mEngine, *mStore, mStageWrites, mStage, mMetrics, mReport,
        [this]() -> awaitable<bool> { co_return co_await pollEngine(); }, [this] { reportLoad(); },
        [this](std::uint64_t version) {
            const VersionFetch *entry = findFetch(version);
            return entry == nullptr ? std::string() : entry->id.digest;
        }});
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
    asio::co_spawn(kernel.executor(), runStageWriting(), asio::detached);
    return {};
}

void WeightStagingService::stop()
{
    mStopped = true;
    mStage.stop();
    mLoader->stop();
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
    if (!mReport || mLoader->isLoading() || engine == nullptr || engine->models.empty()) {
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
    mLoader->noteReport();
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
                {{"born", report->born}, {"wasLoading", mLoader->isLoading()}});
        mLoader->noteEngineRestart();
        mStageWrites.clear(); // a restart may lose the staging area
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
    load.isAccepting = mReport && !mReport->isBusy && !mLoader->isLoading();
    if (mLoader->isSuspect(load.weightsVersion)) {
        load.weightsVersion = 0;
        load.isAccepting = false;
    }
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
    skipFetches(model);
    co_await checkContradictedManifest(model);
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
    co_await adoptPendingChunks(model);
    if (!mReport) {
        co_return;
    }
    if (mLoader->isLoading()) {
        co_await mLoader->advance(model, loadedVersion(model));
        co_return;
    }
    const bool isLoadDue
        = loaded < mCompleteVersion.version && mStore->find(mCompleteVersion.digest) != nullptr;
    // A replica that serves nothing loads at once.
    const bool isIdle = loaded == 0 || mLoader->isSuspect(loaded);
    if (isLoadDue && (isIdle || isMyTurn(model, mCompleteVersion.version))) {
        const VersionId id = mCompleteVersion;
        co_await mLoader->load(model, id.version, id.digest);
    }
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
    // The loaded version expires a grace period after the first newer one was published. If that is
    // not the one to load now, turns that count from the latter come too late.
    const ReloadSchedule turn(mSettings.bounds.weightsGracePeriod);
    const auto superseded = mConfig->weights().supersededAt(model, loadedVersion(model));
    if (!superseded || !superseded->earliest()) {
        return true;
    }
    return now() >= turn.at(versionKey(model, version), mSettings.box, boxes,
                            *superseded->earliest(), mCompleteSince);
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
    const auto id = storeManifest(version, *text);
    if (!id) {
        co_return false;
    }
    const bool isAdopted = co_await adoptStagedChunks(model, *id);
    while (mFetches.size() >= sMaxFetches) {
        mFetches.front().fetch->cancel();
        mFetches.erase(mFetches.begin());
    }
    VersionFetch entry{*id, launchFetch(model, *id)};
    entry.isAdopted = isAdopted;
    mFetches.push_back(std::move(entry));
    co_return true;
}

// Cancels the fetches of versions that were announced in quick succession with a newer one.
// A newer version must be fetched already: while its manifest is missing, the older one may
// be the only version that can be had.
void WeightStagingService::skipFetches(const std::string &model)
{
    for (const SkippedVersion &skip : skippedVersions(model)) {
        if (mFetches.empty() || mFetches.back().id.version <= skip.version) {
            continue;
        }
        logSkip(model, skip);
        std::erase_if(mFetches, [&](const VersionFetch &entry) {
            const bool isErased = entry.id.version == skip.version && !entry.fetch->isComplete();
            if (isErased) {
                entry.fetch->cancel();
            }
            return isErased;
        });
    }
}

std::vector<SkippedVersion> WeightStagingService::skippedVersions(std::string_view model) const
{
    std::vector<FetchCandidate> candidates;
    for (const PublishedVersion &known :
         mConfig->weights().newerThan(model, loadedVersion(model))) {
        FetchCandidate &candidate
            = candidates.emplace_back(FetchCandidate{known.version, known.receivedAt});
        for (const VersionFetch &entry : mFetches) {
            const std::uint32_t count = entry.fetch->chunkCount();
            if (entry.id.version == known.version && count > 0) {
                candidate.progress = static_cast<double>(entry.fetch->storedCount()) / count;
            }
        }
    }
    return FetchSelection(originCopyTime()).skipped(candidates);
}

bool WeightStagingService::isSkipped(std::string_view model, std::uint64_t version) const
{
    const std::vector<SkippedVersion> skipped = skippedVersions(model);
    return std::ranges::find(skipped, version, &SkippedVersion::version) != skipped.end();
}

// Time that the origin needs to send one copy of the weights; zero if it is unknown. The
// versions of a model have about the same size.
Microseconds WeightStagingService::originCopyTime() const
{
    const RouteTablePtr &table = mConfig->table();
    const OriginConfig *figures = table ? table->origin() : nullptr;
    if (figures == nullptr || figures->linkMbit <= 0) {
        return Microseconds(0);
    }
    for (const VersionFetch &entry : mFetches) {
        if (const StoredVersion *stored = mStore->find(entry.id.digest)) {
            const double bytes
                = static_cast<double>(stored->manifest.chunkBytes) * stored->manifest.chunkCount();
            return Microseconds(static_cast<std::int64_t>(
                bytes / (figures->linkMbit * sBytesPerMbit) * sMicrosecondsPerSecond));
        }
    }
    return Microseconds(0);
}

void WeightStagingService::logSkip(std::string_view model, const SkippedVersion &skip)
{
    if (!mLoggedSkips.insert(skip.version).second) {
        return;
    }
    const auto interval = std::chrono::duration_cast<Milliseconds>(skip.interval);
    logLine(LogLevel::Info, "fetch-skipped",
            {{"model", model},
             {"version", skip.version},
             {"newerVersion", skip.newerVersion},
             {"intervalMs", interval.count()}});
}

WeightStagingService::VersionFetch *WeightStagingService::findFetch(std::uint64_t version)
{
    const auto it = std::ranges::find_if(
        mFetches, [&](const VersionFetch &entry) { return entry.id.version == version; });
    return it == mFetches.end() ? nullptr : &*it;
}

// Returns how the manifest differs from the configuration; empty if it does not.
std::string WeightStagingService::manifestProblem(const Manifest &manifest) const
{
    const EngineProfile *engine = engineFigures();
    if (engine == nullptr) {
        return {};
    }
    const auto problem = [](std::string_view field, std::uint64_t expected, std::uint64_t found) {
        return std::string(field) + ": expected " + std::to_string(expected) + ", found "
            + std::to_string(found);
    };
    if (engine->chunkCount != 0 && manifest.chunkCount() != engine->chunkCount) {
        return problem("chunks", engine->chunkCount, manifest.chunkCount());
    }
    if (engine->chunkBytes != 0 && manifest.chunkBytes != engine->chunkBytes) {
        return problem("chunkBytes", engine->chunkBytes, manifest.chunkBytes);
    }
    return {};
}

// Reads the manifest of a fetch again if its chunks contradict it. The manifest may have arrived
// spoilt here or at the agent that relayed it.
awaitable<void> WeightStagingService::checkContradictedManifest(std::string model)
{
    const auto contradicted = std::ranges::find_if(mFetches, [](const VersionFetch &entry) {
        return entry.fetch->isManifestContradicted() && now() >= entry.nextManifestCheckAt;
    });
    if (contradicted == mFetches.end()) {
        co_return;
    }
    const std::shared_ptr<WeightFetch> fetch = contradicted->fetch;
    const VersionId id = contradicted->id;
    const std::uint32_t doublings = std::min(contradicted->manifestCheckCount++, 10U);
    contradicted->nextManifestCheckAt = now()
        + std::min<Milliseconds>(sMinManifestCheckDelay * (1 << doublings), sMaxManifestCheckDelay);
    const auto text = co_await mManifests->readOrigin(model, id.version);
    const bool isReplaced = text && sha256Hex(*text) != id.digest;
    mMetrics.count("manifest_checks", !text ? "failed" : isReplaced ? "replaced" : "confirmed");
    logLine(LogLevel::Warning, "manifest-contradicted",
            {{"model", model},
             {"version", id.version},
             {"replaced", isReplaced},
             {"problem", text ? std::string() : text.error()}});
    VersionFetch *entry = findFetch(id.version);
    if (isReplaced && entry != nullptr && entry->fetch == fetch) {
        replaceManifest(model, *entry, *text);
    }
    fetch->resume();
}

void WeightStagingService::replaceManifest(const std::string &model, VersionFetch &entry,
                                           const std::string &text)
{
    const auto id = storeManifest(entry.id.version, text);
    const StoredVersion *earlier = mStore->find(entry.id.digest);
    const StoredVersion *stored = id ? mStore->find(id->digest) : nullptr;
    if (stored == nullptr) {
        return;
    }
    const std::uint32_t sharedCount = earlier == nullptr
        ? 0
        : std::min(earlier->manifest.chunkCount(), stored->manifest.chunkCount());
    for (std::uint32_t index = 0; index < sharedCount; ++index) {
        const bool isSame
            = earlier->manifest.chunkDigests[index] == stored->manifest.chunkDigests[index];
        if (earlier->has[index] && isSame) {
            mStore->put(id->digest, index, earlier->chunks[index]);
        }
    }
    entry.fetch->cancel();
    entry.id = *id;
    entry.fetch = launchFetch(model, *id);
    entry.isAdopted = false;
    entry.adoptionAttempts = 0;
}

// Opens the version in the store.
std::optional<WeightStagingService::VersionId>
WeightStagingService::storeManifest(std::uint64_t version, const std::string &text)
{
    auto manifest = Manifest::parse(text);
    if (!manifest) {
        logLine(LogLevel::Error, "manifest-unreadable", {{"problem", manifest.error()}});
        return std::nullopt;
    }
    if (const std::string problem = manifestProblem(*manifest); !problem.empty()) {
        mMetrics.count("manifests_refused");
        logLine(LogLevel::Warning, "manifest-refused",
                {{"version", version}, {"problem", problem}});
        return std::nullopt;
    }
    const VersionId id{version, sha256Hex(text)};
    if (mStore->find(id.digest) == nullptr) {
        mStore->open(id.digest, std::move(*manifest), text);
    }
    return id;
}

// The platform's store provides only the newest version, but other agents may still fetch
// the previous one and wait for the chunks that this box owns. Without these chunks, all
// replicas had no usable weights for 7 s: two versions were published 2 s apart, 6 of 76
// agents were killed in between, and the origin failed soon after.
awaitable<void> WeightStagingService::joinOlderFetch(std::string model, std::uint64_t newest)
{
    const std::string text = co_await mManifests->fetchOldestNeeded(model);
    const auto manifest = Manifest::parse(text);
    if (!manifest) {
        co_return; // no peer fetches an older version
    }
    std::uint64_t version = 0;
    const std::string &versionText = manifest->version;
    std::from_chars(versionText.data(), versionText.data() + versionText.size(), version);
    if (version <= loadedVersion(model) || version >= newest || isSkipped(model, version)) {
        co_return;
    }
    const auto id = storeManifest(version, text);
    if (!id) {
        co_return;
    }
    const bool isAdopted = co_await adoptStagedChunks(model, *id);
    if (findFetch(version) != nullptr || isSkipped(model, version)) {
        co_return;
    }
    VersionFetch entry{*id, launchFetch(model, *id)};
    entry.isJoined = true;
    entry.isAdopted = isAdopted;
    mFetches.insert(mFetches.begin(), std::move(entry));
    co_await confirmJoinedFetch(model, version);
}

// A peer that names an older version may not have received the newer one yet, and cancels
// its fetch when it does. The joined fetch must then end as well.
awaitable<void> WeightStagingService::confirmJoinedFetch(std::string model, std::uint64_t version)
{
    const FetchSelection selection(originCopyTime());
    if (selection.successionInterval().count() == 0) {
        co_return;
    }
    co_await sleepFor(std::max<Microseconds>(selection.successionInterval(), sMinConfirmDelay));
    if (co_await mManifests->isFetchedByPeers(model, version)) {
        co_return;
    }
    const VersionFetch *entry = findFetch(version);
    const bool isAhead = entry != nullptr
        && entry->fetch->storedCount() * sMaxUnconfirmedDivisor >= entry->fetch->chunkCount();
    if (entry == nullptr || entry->fetch->isComplete() || isAhead) {
        co_return;
    }
    logSkip(model, {version, mConfig->weights().newest(model), Microseconds(0)});
    entry->fetch->cancel();
    std::erase_if(mFetches, [&](const VersionFetch &other) { return other.id.version == version; });
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
        const bool isNeeded = entry.id.version > loaded && !isSkipped(model, entry.id.version);
        const bool isAsked = isOldestRequested ? isNeeded : entry.id.version == version;
        // Two agents that joined an outdated version must not confirm it to each other.
        if (isAsked && !entry.isJoined && stored != nullptr && stored->manifest.service == model) {
            return &stored->manifestText;
        }
    }
    return nullptr;
}

// An agent often starts before its engine and can search the stage only while it fetches.
awaitable<void> WeightStagingService::adoptPendingChunks(std::string model)
{
    const auto pending = std::ranges::find_if(
        mFetches, [](const VersionFetch &entry) { return !entry.isAdopted; });
    if (pending == mFetches.end()) {
        co_return;
    }
    const VersionId id = pending->id;
    const std::shared_ptr<WeightFetch> fetch = pending->fetch;
    ++pending->adoptionAttempts;
    bool isAdopted = true;
    if (!fetch->isComplete()) {
        isAdopted = co_await adoptStagedChunks(model, id);
    }
    if (const StoredVersion *stored = mStore->find(id.digest)) {
        for (std::uint32_t index = 0; index < stored->has.size(); ++index) {
            if (stored->has[index]) {
                fetch->addStored(index);
            }
        }
    }
    if (VersionFetch *entry = findFetch(id.version)) {
        entry->isAdopted = isAdopted || entry->adoptionAttempts >= sMaxAdoptionAttempts;
    }
}

// Chunks that an earlier process left in the staging area need not be transferred again.
// Returns whether the staging area was searched.
awaitable<bool> WeightStagingService::adoptStagedChunks(std::string model, VersionId id)
{
    if (!mReport) {
        co_return false; // the engine is not reachable yet
    }
    const StageAccess::Use use = co_await mStage.acquire();
    const auto pieces = co_await mEngine.stagedPieces(model);
    if (!pieces) {
        co_return false;
    }
    const std::string digest = id.digest;
    std::uint32_t adopted = 0;
    for (const std::uint32_t index : *pieces) {
        const StoredVersion *before = mStore->find(digest);
        if (before == nullptr || mStopped) {
            co_return true;
        }
        if (index >= before->has.size() || before->has[index]) {
            continue;
        }
        auto data = co_await mEngine.stageGet(model, index);
        const StoredVersion *stored = mStore->find(digest);
        if (stored == nullptr) {
            co_return true;
        }
        if (!data || sha256Hex(*data) != stored->manifest.chunkDigests[index]) {
            continue;
        }
        mStageWrites.noteHeld(digest, index);
        if (!stored->has[index]) {
            mStore->put(digest, index, std::move(*data));
            ++adopted;
        }
    }
    logLine(LogLevel::Info, "stage-adopted", {{"version", id.version}, {"chunks", adopted}});
    co_return true;
}

// Writes verified chunks to the stage, one at a time, so that a killed agent need not
// transfer them again.
awaitable<void> WeightStagingService::runStageWriting()
{
    while (!mStopped) {
        const auto write = nextStageWrite();
        if (!write) {
            co_await sleepFor(sStageIdleInterval);
            continue;
        }
        std::string data = mStore->find(write->digest)->chunks[write->index];
        std::string model = engineFigures()->models.front();
        mStageWrites.forget(write->index);
        mStage.beginWrite();
        const bool isWritten
            = co_await mEngine.stagePut(std::move(model), write->index, std::move(data));
        mStage.endWrite();
        if (isWritten) {
            mStageWrites.noteHeld(write->digest, write->index);
        } else {
            logLine(LogLevel::Warning, "stage-write-failed", {{"index", write->index}});
        }
        co_await sleepFor(isWritten ? sStageWriteInterval : sRetryDelay);
    }
}

std::optional<StageWrite> WeightStagingService::nextStageWrite()
{
    const EngineProfile *engine = engineFigures();
    if (engine == nullptr || engine->models.empty() || !mReport) {
        return std::nullopt;
    }
    const std::uint64_t loaded = loadedVersion(engine->models.front());
    std::vector<StageCandidate> candidates;
    for (const VersionFetch &entry : mFetches) {
        const StoredVersion *stored = mStore->find(entry.id.digest);
        if (stored != nullptr && entry.id.version > loaded) {
            candidates.push_back({entry.id.digest, stored->has, entry.isAdopted});
        }
    }
    const bool isStageInUse = mLoader->isLoading() || mReport->isBusy || mStage.isInUse();
    return mStageWrites.next(candidates, isStageInUse);
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

// The agents take turns at the origin from the publication on, as far as its time is known. If it
// may have been long ago, all turns are over.
Instant WeightStagingService::pullsBeginAt(std::string_view model, std::uint64_t version) const
{
    const EventTime publishedAt = mConfig->weights().publishedAt(model, version);
    if (!publishedAt.earliest() || !publishedAt.latest()) {
        return now() - mSettings.bounds.weightsGracePeriod;
    }
    return *publishedAt.earliest() + (*publishedAt.latest() - *publishedAt.earliest()) / 2;
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
    options.originPullStart = pullsBeginAt(model, version) + sManifestDelay;
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
        [this] { mWakeSignal->notify(); },
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

} // namespace Loom
