/*
 * operatorconfigservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "operatorconfigservice.h"

#include "clock.h"
#include "feedservice.h"
#include "jsonlog.h"
#include "loopstep.h"
#include "metrics.h"
#include "overload.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// Fraction of the maximum age up to which the configuration counts as fresh. The age already
// includes the time that requests for records are in transit. The remaining fraction covers what
// the age doesn't show: a store that lags behind its own confirmations, and a process that is
// suspended between checking the age and sending its response. In normal operation ages reach
// 1.1 s (three hops, in-memory store), less than the 1.5 s that this leaves of the shortest
// maximum age, 2 s.
constexpr int sFreshnessNumerator = 3;
constexpr int sFreshnessDenominator = 4;
// Interval of the checks for a change of mayBeStale(), and for evacuations whose records the store
// has lost; far shorter than the time for which these stay in force.
constexpr std::chrono::milliseconds sCheckInterval{100};

} // namespace

OperatorConfigService::OperatorConfigService(RecordPort &records, const MemberBounds &bounds)
    : mRecords(records)
    , mBounds(bounds)
    , mWeights(bounds.weightsGracePeriod)
{
}

tl::expected<void, std::string> OperatorConfigService::start(Kernel &kernel)
{
    mFeeds = &kernel.find<FeedService>(FeedService::sName);
    mFeeds->listen(Feed::Operators, [this](const FeedChange &change) { applyRecord(change); });
    mFeeds->setEraRules(Feed::Operators,
                        {[this](const FeedRecord &earlier, const FeedRecord &later) {
                             return isNewerVersion(earlier, later);
                         },
                         true});
    setBounds(mBounds);
    asio::co_spawn(kernel.executor(), runChecks(), asio::detached);
    return {};
}

void OperatorConfigService::setBounds(const MemberBounds &bounds)
{
    mBounds = bounds;
    mWeights.setGracePeriod(bounds.weightsGracePeriod);
    mFeeds->setMaxOperatorsAge(bounds.maxConfigAge);
}

// Versions of configurations and weights only rise, and operators write again what the store has
// lost. Until then, the version known stays in force.
bool OperatorConfigService::isNewerVersion(const FeedRecord &earlier, const FeedRecord &later) const
{
    const auto earlierVersion = versionOf(earlier);
    const auto laterVersion = versionOf(later);
    return earlierVersion && (!laterVersion || *earlierVersion > *laterVersion);
}

std::optional<std::uint64_t> OperatorConfigService::versionOf(const FeedRecord &record) const
{
    if (!record.value) {
        return std::nullopt;
    }
    const auto parsed = mRecords.operatorRecord(record.key, *record.value);
    if (!parsed) {
        return std::nullopt;
    }
    return std::visit(Overload{
                          [](const RouteConfig &config) { return std::optional(config.version); },
                          [](const NamedWeights &named) { return std::optional(named.version); },
                          [](const Evacuation &) { return std::optional<std::uint64_t>(); },
                          [](const UnrelatedRecord &) { return std::optional<std::uint64_t>(); },
                      },
                      *parsed);
}

bool OperatorConfigService::mayBeStale() const
{
    const auto age = mFeeds->age(Feed::Operators);
    const bool hasSuccessor
        = mHasUnreadableSuccessor || (mTable && mTable->version() < mReportedVersion);
    return mFeeds->mayLackRecords(Feed::Operators) || hasSuccessor || !age
        || *age > mBounds.maxConfigAge * sFreshnessNumerator / sFreshnessDenominator;
}

void OperatorConfigService::noteReportedVersion(std::uint64_t version)
{
    mReportedVersion = std::max(mReportedVersion, version);
}

void OperatorConfigService::logEvidence(std::string_view id, int status) const
{
    const FeedEvidence evidence = mFeeds->evidence(Feed::Operators);
    logLine(LogLevel::Info, "refused-for-good",
            {{"id", id},
             {"status", status},
             {"config", mTable ? mTable->version() : 0},
             {"ageMs", evidence.age.count()},
             {"from", evidence.from},
             {"era", evidence.next.era},
             {"next", evidence.next.offset}});
}

void OperatorConfigService::applyRecord(const FeedChange &change)
{
    if (!change.record.value) {
        // An accepted configuration stays active after its record is removed.
        if (const auto ended = mEvacuations.remove(change.record.key, now())) {
            announce(*ended);
        }
        return;
    }
    const LoopStep step("reading an operators' record");
    auto record = mRecords.operatorRecord(change.record.key, *change.record.value);
    if (!record) {
        logLine(LogLevel::Error, "operator-record-refused",
                {{"key", change.record.key},
                 {"offset", change.record.offset},
                 {"problem", record.error()}});
        mHasUnreadableSuccessor = mHasUnreadableSuccessor || change.record.key == mConfigKey;
        return;
    }
    std::visit(Overload{
                   [&](RouteConfig &config) { install(std::move(config), change); },
                   [&](const NamedWeights &named) { applyNamedWeights(named, change); },
                   [&](const Evacuation &evacuation) { applyEvacuation(evacuation, change); },
                   [](const UnrelatedRecord &) {},
               },
               *record);
}

void OperatorConfigService::install(RouteConfig config, const FeedChange &change)
{
    const LoopStep step("installing a configuration");
    const std::uint64_t before = mTable ? mTable->version() : 0;
    const bool isNewer = !mTable || config.version > before;
    logLine(LogLevel::Info, isNewer ? "config-in-force" : "config-passed-over",
            {{"version", config.version},
             {"before", before},
             {"offset", change.record.offset},
             {"ageMs", loggedAge(change.maxAge())},
             {"from", change.origin.from},
             {"hops", change.origin.hops},
             {"routes", config.routes.size()},
             {"accounts", config.accounts.size()}});
    if (!isNewer) {
        return;
    }
    observeAge(change);
    mConfigKey = change.record.key;
    mHasUnreadableSuccessor = false;
    mTable = std::make_shared<const RouteTable>(std::move(config));
    for (const Listener &listener : mListeners) {
        listener();
    }
}

void OperatorConfigService::observeAge(const FeedChange &change)
{
    const auto age = change.maxAge();
    if (mMetrics == nullptr || !age) {
        return;
    }
    const std::string_view source = change.origin.hops == 0 ? "from the store" : "relayed";
    mMetrics->observe("config_age_ms", source, static_cast<double>(age->count()) / 1'000);
}

void OperatorConfigService::applyEvacuation(const Evacuation &evacuation, const FeedChange &change)
{
    const auto begun
        = mEvacuations.put(change.record.key, evacuation.dataCentre, change.maxAge(), now());
    if (begun) {
        announce(*begun);
    }
}

void OperatorConfigService::announce(const EvacuationChange &change) const
{
    for (const EvacuationListener &listener : mEvacuationListeners) {
        listener(change);
    }
}

awaitable<void> OperatorConfigService::runChecks()
{
    while (!mStopped) {
        co_await sleepFor(sCheckInterval);
        updateLostEvacuations();
        logStaleness();
    }
}

// The feed's table is checked regularly rather than when a restore ends: a process that starts
// may receive a lost record from another one, and a rewritten record of the same value is not
// announced to listeners.
void OperatorConfigService::updateLostEvacuations()
{
    const FeedTable::Keys &missing = mFeeds->table(Feed::Operators).missing();
    const auto isLost = [&](const std::string &key) { return missing.contains(key); };
    for (const EvacuationChange &change : mEvacuations.update(isLost, now())) {
        announce(change);
    }
}

void OperatorConfigService::logStaleness()
{
    const bool isStale = mTable && mayBeStale();
    if (isStale == mStaleSince.has_value()) {
        return;
    }
    const FeedEvidence evidence = mFeeds->evidence(Feed::Operators);
    const Instant since = mStaleSince.value_or(now());
    mStaleSince = isStale ? std::optional(now()) : std::nullopt;
    logLine(isStale ? LogLevel::Warning : LogLevel::Info,
            isStale ? "config-may-be-stale" : "config-is-recent",
            {{"config", mTable ? mTable->version() : 0},
             {"ageMs", evidence.age.count()},
             {"from", evidence.from},
             {"era", evidence.next.era},
             {"next", evidence.next.offset},
             {"forMs", std::chrono::duration_cast<Milliseconds>(now() - since).count()}});
}

void OperatorConfigService::noteSuperseded(const SupersededVersion &superseded,
                                           std::string_view from)
{
    if (superseded.model.empty() || superseded.version == 0 || !mWeights.narrow(superseded)) {
        return;
    }
    const auto known = mWeights.supersededAt(superseded.model, superseded.version);
    logLine(LogLevel::Info, "weights-superseded",
            {{"model", superseded.model},
             {"version", superseded.version},
             {"minAgeMs", loggedAge(known ? known->minAge(now()) : std::nullopt)},
             {"maxAgeMs", loggedAge(known ? known->maxAge(now()) : std::nullopt)},
             {"from", from}});
    for (const Listener &listener : mListeners) {
        listener();
    }
}

void OperatorConfigService::applyNamedWeights(const NamedWeights &named, const FeedChange &change)
{
    const std::uint64_t before = mWeights.newest(named.model);
    if (change.completeUntil) {
        mWeights.noteNewest(named.model, *change.completeUntil);
    }
    mWeights.name(named.model, named.version, change.acceptedAt, now());
    logLine(LogLevel::Info, "weights-named",
            {{"model", named.model},
             {"version", named.version},
             {"before", before},
             {"offset", change.record.offset},
             {"ageMs", loggedAge(change.maxAge())},
             {"minAgeMs", loggedAge(change.acceptedAt.minAge(now()))},
             {"from", change.origin.from},
             {"hops", change.origin.hops}});
    for (const Listener &listener : mListeners) {
        listener();
    }
}

} // namespace Loom
