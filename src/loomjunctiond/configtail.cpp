/*
 * configtail.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "configtail.h"

#include "clock.h"
#include "configservice.h"
#include "jsonlog.h"
#include "listservice.h"
#include "platformservice.h"
#include "rendezvous.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::string_view sConfigStream = "config";
constexpr std::chrono::milliseconds sLongPoll{2'000};
constexpr std::chrono::milliseconds sRetry{250};
constexpr std::chrono::milliseconds sAppendTimeout{2'000};
constexpr std::chrono::milliseconds sSnapshotCheck{1'000};

} // namespace

tl::expected<void, std::string> ConfigTail::start(Kernel &kernel)
{
    mPlatform = &kernel.find<PlatformService>(PlatformService::sName);
    mConfig = &kernel.find<ConfigService>(ConfigService::sName);
    mList = &kernel.find<ListService>(ListService::sName);
    mPolicy.maxChanges = std::get<EntrySettings>(mPlatform->settings().role).snapshotChanges;
    asio::co_spawn(kernel.executor(), follow(), asio::detached);
    asio::co_spawn(kernel.executor(), writeSnapshots(), asio::detached);
    return {};
}

awaitable<void> ConfigTail::follow()
{
    while (!mStopped) {
        const std::uint64_t from = mConfig->replica().nextReadOffset();
        const auto batch = co_await mPlatform->log().read(sConfigStream, from, sLongPoll);
        if (batch.has_value() != mLogReachable) {
            mLogReachable = batch.has_value();
            logLine(mLogReachable ? LogLevel::Info : LogLevel::Warning, "log-reachable",
                    {{"reachable", mLogReachable}});
        }
        if (!batch) {
            mPlatform->metrics().count("log_read_failures");
            co_await sleepFor(sRetry);
            continue;
        }
        mPolicy.retention = Milliseconds(batch->retentionMs);
        const ApplyResult result = mConfig->applyLog(batch->records, batch->first);
        if (result == ApplyResult::Gap && batch->records.empty()) {
            // Trimmed past us with no snapshot after: only a peer can help.
            logLine(LogLevel::Error, "config-gap-in-log",
                    {{"logFirst", batch->first}, {"ownNext", mConfig->replica().nextOffset()}});
            co_await sleepFor(sRetry);
        }
    }
}

awaitable<ChangeOutcome> ConfigTail::submit(wire::ConfigChange change,
                                            std::chrono::milliseconds wait)
{
    const auto until = std::chrono::steady_clock::now() + wait;
    wire::ConfigRecord record;
    *record.mutable_change() = change;
    const std::string data = record.SerializeAsString();
    ChangeOutcome outcome;
    outcome.isSurelyNotAppended = true;
    bool appended = false;
    while (std::chrono::steady_clock::now() < until) {
        outcome.result = mConfig->state().fate(change.change_id());
        if (outcome.result) {
            co_return outcome;
        }
        if (!appended) {
            // Appending again after a lost answer is safe: the second copy of
            // a change id folds to nothing.
            const auto offset
                = co_await mPlatform->log().append(sConfigStream, data, sAppendTimeout);
            mPlatform->metrics().count("log_appends", "config");
            appended = offset.has_value();
            const bool untouched = !offset && offset.error() == LogError::NotDone;
            outcome.isSurelyNotAppended = outcome.isSurelyNotAppended && untouched;
            if (!appended) {
                co_await sleepFor(sRetry);
            }
            continue;
        }
        co_await mConfig->changed().waitFor(sRetry);
    }
    outcome.result = mConfig->state().fate(change.change_id());
    co_return outcome;
}

std::size_t ConfigTail::ownRank() const
{
    std::vector<std::string> boxes{mPlatform->box()};
    for (const ListedBox &entry : mList->entries()) {
        if (entry.box != mPlatform->box()) {
            boxes.push_back(entry.box);
        }
    }
    const auto order = rendezvousOrder("snapshot", boxes, boxes.size());
    return static_cast<std::size_t>(std::ranges::find(order, std::size_t{0}) - order.begin());
}

awaitable<void> ConfigTail::writeSnapshots()
{
    while (!mStopped) {
        co_await sleepFor(sSnapshotCheck);
        const auto delay = mPolicy.delay(mConfig->replica(), ownRank(), now());
        if (!delay || !mLogReachable) {
            continue;
        }
        co_await sleepFor(*delay);
        // Somebody before us in the order has usually written it by now.
        if (mPolicy.delay(mConfig->replica(), 0, now())) {
            co_await writeSnapshot();
        }
    }
}

awaitable<void> ConfigTail::writeSnapshot()
{
    const wire::ConfigSnapshot snapshot = mConfig->state().snapshot();
    const std::uint64_t begun = mConfig->replica().nextOffset();
    for (const wire::ConfigRecord &record : snapshotRecords(snapshot)) {
        mPlatform->metrics().count("log_appends", "snapshot");
        const auto offset = co_await mPlatform->log().append(
            sConfigStream, record.SerializeAsString(), sAppendTimeout);
        if (!offset) {
            logLine(LogLevel::Warning, "snapshot-failed", {{"asOf", snapshot.as_of()}});
            co_return;
        }
    }
    logLine(LogLevel::Info, "snapshot-written", {{"asOf", snapshot.as_of()}});
    // Not again before it has been read back.
    const auto until = std::chrono::steady_clock::now() + sLongPoll;
    while (mConfig->replica().nextOffset() == begun && std::chrono::steady_clock::now() < until) {
        co_await mConfig->changed().waitFor(sRetry);
    }
}

} // namespace Loom
