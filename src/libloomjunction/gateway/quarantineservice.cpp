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

// Some dozens of times the way between the farthest data centres.
constexpr std::chrono::milliseconds sLookTimeout{250};
// A stream that goes on elsewhere must not wait for a replica whose box is dark. Nobody
// listening is told within a way there and back, some 10 ms between regions.
constexpr std::chrono::milliseconds sMostWait{50};
// Connections of one replica are cut within milliseconds of each other when it ends; a
// later cut of one that lived is looked at anew.
constexpr Milliseconds sLookHolds{100};
constexpr Milliseconds sLooksKept{60'000};
constexpr std::chrono::seconds sSweepEvery{5};
// News in one message of a gateway's state, some 100 bytes each.
constexpr std::size_t sMostNews = 64;
// Whoever refuses a request by what others told writes only if nobody did by then.
constexpr Milliseconds sOthersWrite{1'000};
constexpr Milliseconds sRemoveWithin{5'000};
constexpr std::chrono::milliseconds sRecordRetry{400};

std::string keyOf(const RequestDigest &digest)
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
    mFeeds = &kernel.find<FeedService>(FeedService::sName);
    mMembers = &kernel.find<MemberService>(MemberService::sName);
    mFeeds->listen(Feed::Members, [this](const FeedChange &change) { take(change); });
    mMembers->setStatusExtension(
        {[this](std::uint64_t since, wire::MemberStatus &status) { return putNews(since, status); },
         [this] { return mQuarantine.revision(); },
         [this](const wire::MemberStatus &status) { takeNews(status); }});
    asio::co_spawn(mExecutor, sweepLoop(), asio::detached);
    return {};
}

std::optional<Milliseconds> QuarantineService::refusedFor(const RequestDigest &digest) const
{
    const auto elsewhere = mQuarantine.refusedFor(digest, false, now());
    if (!elsewhere) {
        return std::nullopt; // most requests: whose home it is need not be worked out
    }
    return mQuarantine.refusedFor(digest, isHome(digest), now());
}

// The same gateway for all that know the same members.
bool QuarantineService::isHome(const RequestDigest &digest) const
{
    const std::uint64_t own = rendezvousWeight(digest.text(), mMembers->key());
    return std::ranges::none_of(mMembers->others(), [&](const Member &member) {
        return member.isGateway
            && rendezvousWeight(digest.text(), endpointText(member.peers)) > own;
    });
}

// A cut connection is also what a reset, a load of weights or a reused connection looks
// like. A replica that still takes connections did not end, and its word against a request
// would refuse those that only ran where connections are reset.
QuarantineService::LookPtr QuarantineService::lookAt(const ReplicaLife &life)
{
    LookPtr &known = mLooks[life.text()];
    const bool isOld
        = known && known->hasEnded && !*known->hasEnded && now() - known->at > sLookHolds;
    if (!known || isOld) {
        known = std::make_shared<Look>(mExecutor);
        asio::co_spawn(mExecutor, connectTo(life, known), asio::detached);
    }
    return known;
}

awaitable<void> QuarantineService::connectTo(ReplicaLife life, LookPtr look)
{
    const auto endpoint = parseEndpoint(life.address);
    if (!endpoint) {
        look->hasEnded = false;
        look->done.notify();
        co_return;
    }
    const auto made = co_await connectWithin(*endpoint, sLookTimeout);
    look->hasEnded = !made.has_value();
    look->at = now();
    look->done.notify();
    if (made) {
        co_return;
    }
    mMetrics.count("replica_crashes");
    logLine(LogLevel::Warning, "replica-crashed",
            {{"replica", life.id},
             {"born", life.born},
             {"address", life.address},
             {"problem", made.error().message()}});
}

awaitable<void> QuarantineService::noteCut(RequestDigest digest, std::string account,
                                           ReplicaLife life)
{
    if (life.isLeaving) {
        co_return;
    }
    const LookPtr look = lookAt(life);
    if (!look->hasEnded) {
        co_await look->done.waitFor(sMostWait);
    }
    if (look->hasEnded) {
        noteLook(*look, digest, account, life);
        co_return;
    }
    asio::co_spawn(mExecutor, noteLater(look, digest, account, life), asio::detached);
}

awaitable<void> QuarantineService::noteLater(LookPtr look, RequestDigest digest,
                                             std::string account, ReplicaLife life)
{
    if (!look->hasEnded) {
        co_await look->done.waitFor(2 * sLookTimeout);
    }
    noteLook(*look, digest, account, life);
}

void QuarantineService::noteLook(const Look &look, const RequestDigest &digest,
                                 const std::string &account, const ReplicaLife &life)
{
    if (look.hasEnded.value_or(false)) {
        noteNews(mQuarantine.noteCrash(digest, account, life.text(), now()), digest, "own");
    }
}

void QuarantineService::noteGoodEnd(const RequestDigest &digest)
{
    if (!mQuarantine.noteGoodEnd(digest, now())) {
        return;
    }
    logLine(LogLevel::Info, "request-cleared", {{"request", digest.text()}});
    mMembers->noteChange();
    if (mRecorded.contains(digest)) {
        asio::co_spawn(mExecutor, removeRecord(digest, Milliseconds(0)), asio::detached);
    }
}

void QuarantineService::noteNews(QuarantineNews news, const RequestDigest &digest,
                                 std::string_view from)
{
    if (news == QuarantineNews::Nothing) {
        return;
    }
    mMembers->noteChange();
    const QuarantineEntry *entry = mQuarantine.find(digest);
    if (news != QuarantineNews::Refused || entry == nullptr) {
        return;
    }
    mMetrics.count("quarantined", from);
    std::string lives;
    for (const std::string &life : entry->lives) {
        lives += (lives.empty() ? "" : " ") + life;
    }
    logLine(LogLevel::Warning, "request-quarantined",
            {{"request", digest.text()},
             {"account", entry->account},
             {"crashes", entry->lives.size()},
             {"replicas", lives},
             {"from", from},
             {"forMs", refusedFor(digest).value_or(Milliseconds(0)).count()}});
    const auto turn = Milliseconds(
        static_cast<std::int64_t>(rendezvousWeight(digest.text(), mMembers->key())
                                  % static_cast<std::uint64_t>(sOthersWrite.count())));
    const Milliseconds wait = from == "own" ? Milliseconds(0) : sOthersWrite + turn;
    asio::co_spawn(mExecutor, record(digest, wait), asio::detached);
}

bool QuarantineService::isRecorded(const QuarantineEntry &entry) const
{
    const auto recorded = mRecorded.find(entry.digest);
    return recorded != mRecorded.end() && recorded->second >= entry.lives.size();
}

awaitable<void> QuarantineService::record(RequestDigest digest, Milliseconds wait)
{
    if (!mRecording.insert(digest).second) {
        co_return;
    }
    co_await sleepFor(wait);
    const QuarantineEntry *entry = mQuarantine.find(digest);
    while (!mStopped && entry != nullptr && !entry->lives.empty() && !isRecorded(*entry)) {
        const std::string value = quarantineRecord(*entry, now(), wallNow());
        const auto done = co_await mStore.put(keyOf(digest), value);
        if (done) {
            break;
        }
        co_await sleepFor(sRecordRetry);
        entry = mQuarantine.find(digest);
    }
    mRecording.erase(digest);
}

awaitable<void> QuarantineService::removeRecord(RequestDigest digest, Milliseconds wait)
{
    co_await sleepFor(wait);
    while (!mStopped && mRecorded.contains(digest) && !refusedFor(digest)) {
        const auto done = co_await mStore.put(keyOf(digest), std::nullopt);
        if (done) {
            co_return;
        }
        co_await sleepFor(sRecordRetry);
    }
}

void QuarantineService::take(const FeedChange &change)
{
    const std::string &key = change.record.key;
    if (!key.starts_with(sQuarantineKeys)) {
        return;
    }
    if (!change.record.value) {
        const auto digest
            = RequestDigest::parse(std::string_view(key).substr(sQuarantineKeys.size()));
        mRecorded.erase(digest.value_or(RequestDigest()));
        return;
    }
    const auto entry = readQuarantineRecord(std::string_view(key).substr(sQuarantineKeys.size()),
                                            *change.record.value, now(), wallNow());
    if (!entry) {
        logLine(LogLevel::Warning, "quarantine-record-refused",
                {{"key", key}, {"problem", entry.error()}});
        return;
    }
    mRecorded[entry->digest] = entry->lives.size();
    noteNews(mQuarantine.merge(*entry, now()), entry->digest, "store");
}

void QuarantineService::takeNews(const wire::MemberStatus &status)
{
    for (const wire::QuarantineNews &told : status.quarantine()) {
        const auto digest = RequestDigest::parse(told.digest());
        if (!digest) {
            continue;
        }
        QuarantineEntry entry;
        entry.digest = *digest;
        entry.account = told.account();
        entry.epoch = told.epoch();
        entry.lives.insert(told.lives().begin(), told.lives().end());
        entry.lastEventAt = now() - Milliseconds(static_cast<std::int64_t>(told.age_ms()));
        noteNews(mQuarantine.merge(entry, now()), *digest, status.box());
    }
}

std::uint64_t QuarantineService::putNews(std::uint64_t since, wire::MemberStatus &status) const
{
    for (const QuarantineEntry &entry : mQuarantine.changedSince(since, sMostNews)) {
        wire::QuarantineNews *news = status.add_quarantine();
        news->set_digest(entry.digest.text());
        news->set_account(entry.account);
        news->set_epoch(entry.epoch);
        for (const std::string &life : entry.lives) {
            news->add_lives(life);
        }
        const auto age = std::chrono::duration_cast<Milliseconds>(now() - entry.lastEventAt);
        news->set_age_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0)));
    }
    return since;
}

awaitable<void> QuarantineService::sweepLoop()
{
    while (!mStopped) {
        co_await sleepFor(sSweepEvery);
        for (const RequestDigest &digest : mQuarantine.sweep(now())) {
            if (mRecorded.contains(digest)) {
                const auto turn = rendezvousWeight(digest.text(), mMembers->key())
                    % static_cast<std::uint64_t>(sRemoveWithin.count());
                asio::co_spawn(mExecutor,
                               removeRecord(digest, Milliseconds(static_cast<std::int64_t>(turn))),
                               asio::detached);
            }
        }
        std::erase_if(mLooks, [](const auto &item) {
            return item.second->hasEnded && now() - item.second->at > sLooksKept;
        });
    }
}

} // namespace Loom
