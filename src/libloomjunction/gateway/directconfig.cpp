/*
 * directconfig.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "directconfig.h"

#include "clock.h"
#include "feedservice.h"
#include "jsonlog.h"
#include "loopstep.h"
#include "metrics.h"
#include "overload.h"

namespace Loom {

namespace {

// The part of a configuration's bound for which knowledge counts as fresh. A request on
// its way only makes it older; the rest of the bound is for what ages do not show: a store
// that lags behind its own confirmation, and a process that stands still between its look
// at the age and its answer. All well, ages reach 1.1 s (three hops, memory store), under
// the 1.5 s that this leaves of the shortest bound, 2 s.
constexpr int sFreshParts = 3;
constexpr int sBoundParts = 4;
// A quiet store answers a long read after this part of the bound, so that knowledge of a
// quiet store stays fresh.
constexpr int sReadsInBound = 2;
// Nobody knows when a version was named that this process finds at its start:
// older weights may begin requests for this long after it.
constexpr Milliseconds sStartGrace{1'500};
// Known since some process's start, not since an operator wrote it: such ages, a day,
// would hide all others.
constexpr Microseconds sNoAge = std::chrono::hours(12);

} // namespace

DirectConfig::DirectConfig(RecordPort &records, const DirectBounds &bounds)
    : mRecords(records)
    , mBounds(bounds)
    , mWeights(bounds.weightsTime)
{
}

tl::expected<void, std::string> DirectConfig::start(Kernel &kernel)
{
    mFeeds = &kernel.find<FeedService>(FeedService::sName);
    mFeeds->listen(Feed::Operators, [this](const FeedChange &change) { take(change); });
    setBounds(mBounds);
    return {};
}

void DirectConfig::setBounds(const DirectBounds &bounds)
{
    mBounds = bounds;
    mWeights.setGracePeriod(bounds.weightsTime);
    mFeeds->setOperatorsPollTimeout(bounds.configTime / sReadsInBound);
}

bool DirectConfig::mayBeStale() const
{
    const auto age = mFeeds->age(Feed::Operators);
    return !age || *age > mBounds.configTime * sFreshParts / sBoundParts;
}

void DirectConfig::take(const FeedChange &change)
{
    if (!change.record.value) {
        return; // what was accepted stays in force
    }
    const LoopStep step("reading an operators' record");
    auto record = mRecords.operatorRecord(change.record.key, *change.record.value);
    if (!record) {
        logLine(LogLevel::Error, "operator-record-refused",
                {{"key", change.record.key},
                 {"offset", change.record.offset},
                 {"problem", record.error()}});
        return;
    }
    std::visit(Overload{
                   [&](RouteConfig &config) { install(std::move(config), change); },
                   [&](const NamedWeights &named) { nameWeights(named, change); },
                   [](const UnrelatedRecord &) {},
               },
               *record);
}

void DirectConfig::install(RouteConfig config, const FeedChange &change)
{
    const LoopStep step("installing a configuration");
    const std::uint64_t before = mTable ? mTable->version() : 0;
    const bool isNewer = !mTable || config.version > before;
    logLine(LogLevel::Info, isNewer ? "config-in-force" : "config-passed-over",
            {{"version", config.version},
             {"before", before},
             {"offset", change.record.offset},
             {"ageMs", std::chrono::duration_cast<Milliseconds>(change.age).count()},
             {"from", change.origin.from},
             {"hops", change.origin.hops},
             {"routes", config.routes.size()},
             {"accounts", config.accounts.size()}});
    if (!isNewer) {
        return;
    }
    observeAge(change);
    mTable = std::make_shared<const RouteTable>(std::move(config));
    for (const Listener &listener : mListeners) {
        listener();
    }
}

void DirectConfig::observeAge(const FeedChange &change)
{
    if (mMetrics == nullptr || change.age >= sNoAge) {
        return;
    }
    const std::string_view origin = change.origin.hops == 0 ? "from the store" : "relayed";
    mMetrics->observe("config_age_ms", origin, static_cast<double>(change.age.count()) / 1'000);
}

void DirectConfig::nameWeights(const NamedWeights &named, const FeedChange &change)
{
    const Microseconds most = mBounds.weightsTime - sStartGrace;
    const Microseconds age = std::min(change.age, most);
    mWeights.name(named.model, named.version, now() - age);
    logLine(LogLevel::Info, "weights-named",
            {{"model", named.model},
             {"version", named.version},
             {"offset", change.record.offset},
             {"ageMs", std::chrono::duration_cast<Milliseconds>(change.age).count()}});
    for (const Listener &listener : mListeners) {
        listener();
    }
}

} // namespace Loom
