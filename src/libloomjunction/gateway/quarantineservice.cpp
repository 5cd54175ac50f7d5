/*
 * quarantineservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "quarantineservice.h"

#include "feedservice.h"
#include "jsonlog.h"
#include "memberservice.h"
#include "metrics.h"
#include "quarantinerecord.h"
#include "rendezvous.h"
#include "wire.pb.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// A stream that continues at another replica must not wait for a replica whose box does not
// respond. A refused connection is reported within a round trip, some 10 ms between regions.
constexpr std::chrono::milliseconds sMaxProbeWait{50};
constexpr std::chrono::seconds sSweepInterval{5};
// Maximum number of entries in one status message of a gateway; each takes some 100 bytes.
constexpr std::size_t sMaxNewsCount = 64;
// Maximum number of records that a gateway writes again after the store's return from a copy.
constexpr std::size_t sMaxRestoreCount = 1'024;
// A gateway that refuses a request because of news from other processes writes the record
// only if no other gateway has written it after this delay.
constexpr Milliseconds sRemoteWriteDelay{1'000};
constexpr Milliseconds sMaxRemoveDelay{5'000};
constexpr std::chrono::milliseconds sRecordRetryDelay{400};

std::string recordKey(const RequestDigest &digest)
{
    return std::string(sQuarantineKeys) + digest.text();
}

} // namespace

QuarantineService::QuarantineService(StorePort &store, Metrics &metrics)
    : mStore(store)
    , mMetrics(metrics)
{
}

tl::expected<void, std::string> QuarantineService::start(Kernel &kernel)
{
    mExecutor = kernel.executor();
    mProber = std::make_unique<CrashProber>(mExecutor, mMetrics);
    mFeeds = &kernel.find<FeedService>(FeedService::sName);
    mMembers = &kernel.find<MemberService>(MemberService::sName);
    mFeeds->listen(Feed::Members, [this](const FeedChange &change) { applyFeedChange(change); });
    mFeeds->listenRestored(Feed::Members,
                           [this](const FeedTable::Keys &missing) { restoreRecords(missing); });
    mMembers->addStatusExtension(
        {[this](std::uint64_t since, wire::MemberStatus &status) {
             return writeMemberNews(since, status);
         },
         [this] { return mQuarantine.revision(); },
         [this](const Member &, const wire::MemberStatus &status) { readMemberNews(status); }});
    asio::co_spawn(mExecutor, sweepLoop(), asio::detached);
    return {};
}

std::optional<Milliseconds> QuarantineService::refusedFor(const RequestDigest &digest) const
{
    const auto remaining = mQuarantine.refusedFor(digest, false, now());
    if (!remaining) {
        return std::nullopt; // the usual case; the home gateway need not be determined
    }
    return mQuarantine.refusedFor(digest, isHomeGateway(digest), now());
}

// All gateways that know the same members determine the same home gateway.
bool QuarantineService::isHomeGateway(const RequestDigest &digest) const
{
    const std::uint64_t ownWeight = rendezvousWeight(digest.text(), mMembers->key());
    return std::ranges::none_of(mMembers->others(), [&](const Member &member) {
        return member.isGateway
            && rendezvousWeight(digest.text(), endpointText(member.peers)) > ownWeight;
    });
}

awaitable<void> QuarantineService::noteConnectionLost(RequestDigest digest, std::string account,
                                                      ReplicaIncarnation incarnation)
{
    if (incarnation.isLeaving) {
        co_return;
    }
    const Instant lostAt = now();
    const ReplicaLiveness liveness = co_await mProber->check(incarnation, lostAt, sMaxProbeWait);
    if (liveness == ReplicaLiveness::Ended) {
        noteCrash(digest, account, incarnation);
    } else if (liveness == ReplicaLiveness::Unknown) {
        asio::co_spawn(
            mExecutor,
            noteCrashLater(std::move(digest), std::move(account), std::move(incarnation), lostAt),
            asio::detached);
    }
}

awaitable<void> QuarantineService::noteCrashLater(RequestDigest digest, std::string account,
                                                  ReplicaIncarnation incarnation, Instant lostAt)
{
    const ReplicaLiveness liveness
        = co_await mProber->check(incarnation, lostAt, CrashProber::maxDuration());
    if (liveness == ReplicaLiveness::Ended) {
        noteCrash(digest, account, incarnation);
    }
}

awaitable<bool> QuarantineService::isRunning(ReplicaIncarnation replica)
{
    const ReplicaLiveness liveness
        = co_await mProber->check(std::move(replica), now(), CrashProber::maxDuration());
    co_return liveness == ReplicaLiveness::Running;
}

void QuarantineService::noteCrash(const RequestDigest &digest, const std::string &account,
                                  const ReplicaIncarnation &incarnation)
{
    handleNews(mQuarantine.noteCrash(digest, account, incarnation.text(), now()), digest, "own");
}

void QuarantineService::noteSuccess(const RequestDigest &digest)
{
    if (!mQuarantine.noteSuccess(digest, now())) {
        return;
    }
    logLine(LogLevel::Info, "request-cleared", {{"request", digest.text()}});
    mMembers->noteChange();
    if (mRecordedCrashCounts.contains(digest)) {
        asio::co_spawn(mExecutor, removeRecord(digest, Milliseconds(0)), asio::detached);
    }
}

void QuarantineService::handleNews(QuarantineNews news, const RequestDigest &digest,
                                   std::string_view source)
{
    if (news == QuarantineNews::Nothing) {
        return;
    }
    mMembers->noteChange();
    const QuarantineEntry *entry = mQuarantine.find(digest);
    if (news != QuarantineNews::Refused || entry == nullptr) {
        return;
    }
    mMetrics.count("quarantined", source);
    std::string lives;
    for (const std::string &incarnation : entry->lives) {
        lives += (lives.empty() ? "" : " ") + incarnation;
    }
    logLine(LogLevel::Warning, "request-quarantined",
            {{"request", digest.text()},
             {"account", entry->account},
             {"crashes", entry->lives.size()},
             {"replicas", lives},
             {"from", source},
             {"forMs", refusedFor(digest).value_or(Milliseconds(0)).count()}});
    const Milliseconds delay = source == "own" ? Milliseconds(0) : remoteWriteDelay(digest);
    asio::co_spawn(mExecutor, writeRecord(digest, delay), asio::detached);
}

Milliseconds QuarantineService::remoteWriteDelay(const RequestDigest &digest) const
{
    const std::uint64_t weight = rendezvousWeight(digest.text(), mMembers->key());
    const auto range = static_cast<std::uint64_t>(sRemoteWriteDelay.count());
    return sRemoteWriteDelay + Milliseconds(static_cast<std::int64_t>(weight % range));
}

bool QuarantineService::isRecorded(const QuarantineEntry &entry) const
{
    const auto recorded = mRecordedCrashCounts.find(entry.digest);
    return recorded != mRecordedCrashCounts.end() && recorded->second >= entry.lives.size();
}

awaitable<void> QuarantineService::writeRecord(RequestDigest digest, Milliseconds delay)
{
    if (!mWritesInProgress.insert(digest).second) {
        co_return;
    }
    co_await sleepFor(delay);
    const QuarantineEntry *entry = mQuarantine.find(digest);
    while (!mStopped && entry != nullptr && !entry->lives.empty() && !isRecorded(*entry)) {
        const std::string value = quarantineRecord(*entry, now(), wallNow());
        const auto done = co_await mStore.put(recordKey(digest), value);
        if (done) {
            break;
        }
        co_await sleepFor(sRecordRetryDelay);
        entry = mQuarantine.find(digest);
    }
    mWritesInProgress.erase(digest);
}

awaitable<void> QuarantineService::removeRecord(RequestDigest digest, Milliseconds delay)
{
    co_await sleepFor(delay);
    while (!mStopped && mRecordedCrashCounts.contains(digest) && !refusedFor(digest)) {
        const auto done = co_await mStore.put(recordKey(digest), std::nullopt);
        if (done) {
            co_return;
        }
        co_await sleepFor(sRecordRetryDelay);
    }
}

// Writes the records again that the store has lost or of which it holds an earlier state, the
// home gateway first.
void QuarantineService::restoreRecords(const FeedTable::Keys &missing)
{
    for (const std::string &key : missing) {
        if (key.starts_with(sQuarantineKeys)) {
            const auto digest
                = RequestDigest::parse(std::string_view(key).substr(sQuarantineKeys.size()));
            mRecordedCrashCounts.erase(digest.value_or(RequestDigest()));
        }
    }
    std::uint64_t sinceStart = 0;
    for (const QuarantineEntry &entry : mQuarantine.changedSince(sinceStart, sMaxRestoreCount)) {
        if (!refusedFor(entry.digest) || isRecorded(entry)) {
            continue;
        }
        const bool isHome = isHomeGateway(entry.digest);
        const Milliseconds delay = isHome ? Milliseconds(0) : remoteWriteDelay(entry.digest);
        asio::co_spawn(mExecutor, writeRecord(entry.digest, delay), asio::detached);
    }
}

void QuarantineService::applyFeedChange(const FeedChange &change)
{
    const std::string &key = change.record.key;
    if (!key.starts_with(sQuarantineKeys)) {
        return;
    }
    if (!change.record.value) {
        const auto digest
            = RequestDigest::parse(std::string_view(key).substr(sQuarantineKeys.size()));
        mRecordedCrashCounts.erase(digest.value_or(RequestDigest()));
        return;
    }
    const auto entry = readQuarantineRecord(std::string_view(key).substr(sQuarantineKeys.size()),
                                            *change.record.value, now(), wallNow());
    if (!entry) {
        logLine(LogLevel::Warning, "quarantine-record-refused",
                {{"key", key}, {"problem", entry.error()}});
        return;
    }
    mRecordedCrashCounts[entry->digest] = entry->lives.size();
    handleNews(mQuarantine.merge(*entry, now()), entry->digest, "store");
}

void QuarantineService::readMemberNews(const wire::MemberStatus &status)
{
    for (const wire::QuarantineNews &news : status.quarantine()) {
        const auto digest = RequestDigest::parse(news.digest());
        if (!digest) {
            continue;
        }
        QuarantineEntry entry;
        entry.digest = *digest;
        entry.account = news.account();
        entry.epoch = news.epoch();
        entry.lives.insert(news.lives().begin(), news.lives().end());
        entry.lastEventAt = now() - Milliseconds(static_cast<std::int64_t>(news.age_ms()));
        handleNews(mQuarantine.merge(entry, now()), *digest, status.box());
    }
}

std::uint64_t QuarantineService::writeMemberNews(std::uint64_t since,
                                                 wire::MemberStatus &status) const
{
    for (const QuarantineEntry &entry : mQuarantine.changedSince(since, sMaxNewsCount)) {
        wire::QuarantineNews *news = status.add_quarantine();
        news->set_digest(entry.digest.text());
        news->set_account(entry.account);
        news->set_epoch(entry.epoch);
        for (const std::string &incarnation : entry.lives) {
            news->add_lives(incarnation);
        }
        const auto age = std::chrono::duration_cast<Milliseconds>(now() - entry.lastEventAt);
        news->set_age_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0)));
    }
    return since;
}

awaitable<void> QuarantineService::sweepLoop()
{
    while (!mStopped) {
        co_await sleepFor(sSweepInterval);
        for (const RequestDigest &digest : mQuarantine.sweep(now())) {
            if (mRecordedCrashCounts.contains(digest)) {
                const auto stagger = rendezvousWeight(digest.text(), mMembers->key())
                    % static_cast<std::uint64_t>(sMaxRemoveDelay.count());
                asio::co_spawn(
                    mExecutor,
                    removeRecord(digest, Milliseconds(static_cast<std::int64_t>(stagger))),
                    asio::detached);
            }
        }
        mProber->forgetOldResults(now());
    }
}

} // namespace Loom
