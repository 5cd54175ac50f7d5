/*
 * weightloader.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "weightloader.h"

#include "chunkstore.h"
#include "clock.h"
#include "digest.h"
#include "jsonlog.h"
#include "metrics.h"

#include <algorithm>
#include <utility>

namespace Loom {

namespace {

constexpr Milliseconds sRetryDelay{200};
// Gateways must learn that the replica accepts no requests before the load is ordered.
constexpr Milliseconds sLoadReportDelay{30};
// Limit on waiting for the engine's queue to empty before the load is ordered. Requests
// that are still queued then are sent to other replicas.
constexpr Milliseconds sQueueDrainTimeout{700};
// An order without a visible effect is lost once the engine has been reachable for this long.
constexpr Milliseconds sOrderTimeout{1'500};
// The second attempt repairs chunks that were corrupt.
constexpr int sMaxPrepareAttempts = 2;
// An engine must not take chunks whose check is older than three seconds. The margin covers the
// way of the answer.
constexpr Milliseconds sMaxCheckAge{2'900};
// Leaves time for the order to reach the engine.
constexpr Milliseconds sMaxCheckAgeAtOrder{1'500};
// Each round follows a standstill of this process or of the engine.
constexpr int sMaxRefreshRounds = 4;

Milliseconds elapsed(Instant since)
{
    return std::chrono::duration_cast<Milliseconds>(now() - since);
}

std::uint64_t wholeVersion(const EngineReport &report)
{
    const auto whole = std::ranges::find_if(report.loaded, &LoadedWeights::isWhole);
    return whole == report.loaded.end() ? 0 : whole->version;
}

} // namespace

WeightLoader::WeightLoader(Parts parts)
    : mParts(std::move(parts))
{
}

void WeightLoader::noteReport()
{
    const std::optional<EngineReport> &report = mParts.report;
    if (!mPending) {
        if (report && report->isBusy) {
            setPending(foreignLoad());
        }
        return;
    }
    if (!report) {
        mPending->reachableSince = Instant();
        return;
    }
    if (mPending->reachableSince == Instant()) {
        mPending->reachableSince = now();
    }
    const bool hasAcceptedOrder
        = mPending->orderedAt && report->acceptedOrderCount > mPending->orderCount;
    if (hasAcceptedOrder && !mPending->isAccepted) {
        noteAccepted(*mPending);
    }
}

// The engine may have taken the chunks at any time until now.
void WeightLoader::noteAccepted(PendingLoad &load)
{
    load.isAccepted = true;
    load.isProven = load.check && load.check->holdsAt(now(), sMaxCheckAge);
}

void WeightLoader::noteEngineRestart()
{
    ++mEngineRestarts;
    mSuspectVersion.reset();
    setPending(std::nullopt);
}

void WeightLoader::setPending(std::optional<PendingLoad> load)
{
    mPending = std::move(load);
    mParts.onStateChange();
}

// A load that this agent has no evidence for: an earlier agent ordered it, or the engine accepted
// an order long after it was sent.
std::optional<WeightLoader::PendingLoad> WeightLoader::foreignLoad() const
{
    const std::optional<EngineReport> &report = mParts.report;
    if (!report || !report->isBusy) {
        return std::nullopt;
    }
    PendingLoad load;
    load.since = now();
    load.replacedVersion = wholeVersion(*report);
    return load;
}

std::optional<Manifest> WeightLoader::manifest(std::string_view digest) const
{
    const StoredVersion *stored = mParts.store.find(digest);
    return stored == nullptr ? std::nullopt : std::optional(stored->manifest);
}

awaitable<bool> WeightLoader::load(std::string model, std::uint64_t version, std::string digest)
{
    // Nothing may be written between the check and the order, nor during the load, when
    // isLoading() is true.
    const StageAccess::Use use = co_await mParts.stage.acquire();
    const auto manifest = this->manifest(digest);
    if (!manifest || isLoading() || !mParts.report) {
        co_return false;
    }
    // A restart of the engine may lose the staging area after it was checked here.
    const std::uint64_t restarts = mEngineRestarts;
    StageCheck check(manifest->chunkCount());
    if (!co_await prepareStage(model, digest, *manifest, check)) {
        co_await sleepFor(sRetryDelay);
        co_return false;
    }
    if (isLoading() || mEngineRestarts != restarts) {
        co_return false;
    }
    PendingLoad load;
    load.version = version;
    load.since = now();
    setPending(std::move(load));
    const bool isReady = co_await drainQueue() && co_await refreshCheck(model, *manifest, check);
    if (mEngineRestarts != restarts) {
        co_return false;
    }
    if (!isReady || !mParts.report || mParts.report->isBusy || mStopped) {
        setPending(foreignLoad());
        co_return false;
    }
    co_return co_await order(model, std::move(check));
}

awaitable<bool> WeightLoader::order(const std::string &model, StageCheck check)
{
    const std::uint64_t restarts = mEngineRestarts;
    const std::uint64_t orderCount = mParts.report->acceptedOrderCount;
    const std::uint64_t version = mPending->version;
    const Instant sentAt = now();
    const Milliseconds checkAge = elapsed(*check.oldestRead());
    mPending->orderCount = orderCount;
    mPending->orderedAt = sentAt;
    mPending->check = std::move(check);
    const OrderResult answer = co_await mParts.engine.load(model, version, orderCount);
    const Milliseconds answeredIn = elapsed(sentAt);
    mParts.metrics.observe("stage_check_age_ms", model, static_cast<double>(checkAge.count()));
    mParts.metrics.observe("load_order_ms", model, static_cast<double>(answeredIn.count()));
    logLine(LogLevel::Info, "load-ordered",
            {{"model", model},
             {"version", version},
             {"answer", static_cast<int>(answer)},
             {"checkAgeMs", checkAge.count()},
             {"answeredInMs", answeredIn.count()},
             {"ordersTaken", orderCount},
             {"running", mParts.report ? mParts.report->running : 0}});
    if (mEngineRestarts != restarts) {
        co_return false;
    }
    if (answer == OrderResult::Refused) {
        setPending(foreignLoad());
        co_await sleepFor(sRetryDelay);
        co_return false;
    }
    if (answer == OrderResult::Begun && !mPending->isAccepted) {
        noteAccepted(*mPending);
    }
    co_return true;
}

// Gateways send no more requests, and the queued ones may still start. Running requests
// are not interrupted, because the engine delays the load until they are done. Breaking
// off a stream would end it for its caller if no other replica could continue it.
awaitable<bool> WeightLoader::drainQueue()
{
    const Instant deadline = now() + sQueueDrainTimeout;
    do {
        co_await sleepFor(sLoadReportDelay);
        if (!co_await mParts.pollEngine()) {
            co_return false;
        }
    } while (now() < deadline && mParts.report && mParts.report->waiting > 0 && !mStopped);
    co_return true;
}

// A standstill of the process may separate any two steps, so the age of the evidence is looked at
// last before the order, and again after each read.
awaitable<bool> WeightLoader::refreshCheck(const std::string &model, const Manifest &manifest,
                                           StageCheck &check)
{
    for (int round = 0; round < sMaxRefreshRounds; ++round) {
        if (check.holdsAt(now(), sMaxCheckAgeAtOrder)) {
            co_return true;
        }
        mParts.metrics.count("stage_checks_repeated", model);
        if (!co_await readStage(model, manifest, now() - sMaxCheckAgeAtOrder, check)) {
            co_return false;
        }
    }
    co_return check.holdsAt(now(), sMaxCheckAgeAtOrder);
}

// Writes the chunks that the stage lacks and reads back all of it. Chunks that turn out to be
// corrupt are written once more.
awaitable<bool> WeightLoader::prepareStage(const std::string &model, const std::string &digest,
                                           const Manifest &manifest, StageCheck &check)
{
    const Instant begunAt = now();
    for (int attempt = 0; attempt < sMaxPrepareAttempts; ++attempt) {
        if (!co_await writeStage(model, digest, manifest.chunkCount())) {
            co_return false;
        }
        if (co_await readStage(model, manifest, begunAt, check)) {
            co_return true;
        }
    }
    co_return false;
}

awaitable<bool> WeightLoader::writeStage(const std::string &model, const std::string &digest,
                                         std::uint32_t count)
{
    for (std::uint32_t index = 0; index < count && !mStopped; ++index) {
        const StoredVersion *stored = mParts.store.find(digest);
        if (stored == nullptr || !stored->has[index]) {
            co_return false;
        }
        if (mParts.writes.holds(digest, index)) {
            continue;
        }
        std::string data = stored->chunks[index];
        mParts.writes.forget(index);
        if (!co_await mParts.engine.stagePut(model, index, std::move(data))) {
            logLine(LogLevel::Warning, "stage-write-failed", {{"index", index}});
            co_return false;
        }
        mParts.writes.noteHeld(digest, index);
    }
    co_return true;
}

// Reads the chunks that @p check does not know to have been intact at @p since or later. All of
// them are read, so that one repair covers all that are corrupt.
awaitable<bool> WeightLoader::readStage(const std::string &model, const Manifest &manifest,
                                        Instant since, StageCheck &check)
{
    const Instant begunAt = now();
    const std::vector<std::uint32_t> indexes = check.chunksReadBefore(since);
    std::uint32_t corruptCount = 0;
    for (const std::uint32_t index : indexes) {
        if (mStopped) {
            co_return false;
        }
        const Instant requestedAt = now();
        const auto data = co_await mParts.engine.stageGet(model, index);
        if (data && sha256Hex(*data) == manifest.chunkDigests[index]) {
            check.noteIntact(index, requestedAt);
            continue;
        }
        ++corruptCount;
        check.noteCorrupt(index);
        mParts.writes.forget(index);
    }
    logLine(LogLevel::Info, "stage-read-back",
            {{"chunks", indexes.size()},
             {"corrupt", corruptCount},
             {"tookMs", elapsed(begunAt).count()}});
    co_return corruptCount == 0;
}

awaitable<void> WeightLoader::advance(std::string model, std::uint64_t loaded)
{
    if (!mPending || !mParts.report) {
        co_return;
    }
    const bool isForeign = mPending->version == 0;
    const bool isLoaded = isForeign ? !mParts.report->isBusy : loaded == mPending->version;
    if (isLoaded) {
        co_await finish(model, loaded);
    } else if (!isForeign && isOrderLost()) {
        logLine(LogLevel::Warning, "load-ended",
                {{"model", model},
                 {"version", mPending->version},
                 {"loaded", loaded},
                 {"tookMs", elapsed(mPending->since).count()}});
        setPending(std::nullopt);
    }
}

// While the engine stood still, the order may lie in its socket and be accepted later.
bool WeightLoader::isOrderLost() const
{
    const PendingLoad &load = *mPending;
    if (mParts.report->isBusy || load.reachableSince == Instant() || !load.orderedAt) {
        return false;
    }
    return now() - std::max(load.reachableSince, *load.orderedAt) > sOrderTimeout;
}

awaitable<void> WeightLoader::finish(const std::string &model, std::uint64_t loaded)
{
    const std::uint64_t restarts = mEngineRestarts;
    const bool isProven = mPending->isProven || loaded == mPending->replacedVersion;
    auto stage = LoadedStage::Intact;
    if (!isProven) {
        stage = co_await checkLoaded(model, loaded);
    }
    if (!mPending || mEngineRestarts != restarts || stage == LoadedStage::Unreachable) {
        co_return;
    }
    if (loaded != mPending->replacedVersion) {
        mSuspectVersion.reset();
    }
    if (stage == LoadedStage::Corrupt) {
        mSuspectVersion = loaded;
        mParts.metrics.count("suspect_loads", model);
        logLine(LogLevel::Error, "load-suspect", {{"model", model}, {"version", loaded}});
    }
    logLine(LogLevel::Info, "load-ended",
            {{"model", model},
             {"version", mPending->version},
             {"loaded", loaded},
             {"checkedAgain", !isProven},
             {"tookMs", elapsed(mPending->since).count()}});
    setPending(std::nullopt);
}

// Nothing was written to the stage since the engine took it, and a corrupt chunk does not become
// intact by itself. So chunks that are intact now were intact then.
awaitable<WeightLoader::LoadedStage> WeightLoader::checkLoaded(const std::string &model,
                                                               std::uint64_t version)
{
    const StageAccess::Use use = co_await mParts.stage.acquire();
    const auto manifest = this->manifest(mParts.manifestDigest(version));
    mParts.metrics.count("loads_checked_again", model);
    if (!manifest) {
        logLine(LogLevel::Warning, "load-unchecked", {{"model", model}, {"version", version}});
        co_return LoadedStage::Intact;
    }
    StageCheck check(manifest->chunkCount());
    if (co_await readStage(model, *manifest, now(), check)) {
        co_return LoadedStage::Intact;
    }
    // A chunk that cannot be read because the engine is unreachable is not corrupt.
    co_return co_await mParts.pollEngine() && !mStopped ? LoadedStage::Corrupt
                                                        : LoadedStage::Unreachable;
}

} // namespace Loom
