/*
 * quarantineservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "quarantineservice.h"

#include "feedservice.h"
#include "joinedtext.h"
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
// Most suspected prompt parts are cleared by another gateway or a successful run before.
constexpr Milliseconds sSuspectWriteDelay{300};
constexpr Milliseconds sSuspectWriteSpread{500};
// An entry with as many crashes is cleared at all gateways at once, others with the next status.
constexpr std::size_t sUrgentCrashCount = 2;
// Source of news in logs and metrics.
constexpr std::string_view sOwnSource = "own";

std::string recordKey(const QuarantineSubject &subject)
{
    return std::string(sQuarantineKeys) + subjectText(subject);
}

std::optional<QuarantineSubject> subjectOfKey(std::string_view key)
{
    if (!key.starts_with(sQuarantineKeys)) {
        return std::nullopt;
    }
    const auto subject = parseSubject(key.substr(sQuarantineKeys.size()));
    return subject ? std::optional(*subject) : std::nullopt;
}

std::string textOf(std::span<const QuarantineSubject> subjects)
{
    std::vector<std::string> texts;
    for (const QuarantineSubject &subject : subjects) {
        texts.push_back(subjectText(subject));
    }
    return joinedText(texts, " ");
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

std::optional<Milliseconds> QuarantineService::refusedFor(const QuarantineSubject &subject) const
{
    const auto remaining = mQuarantine.refusedFor(subject, false, now());
    if (!remaining) {
        return std::nullopt; // the usual case; the home gateway need not be determined
    }
    return mQuarantine.refusedFor(subject, isHomeGateway(subject), now());
}

std::optional<QuarantineRefusal>
QuarantineService::refusal(std::span<const QuarantineSubject> subjects)
{
    mQuarantine.settle(now());
    reportChanges(sOwnSource);
    std::optional<QuarantineRefusal> longest;
    for (const QuarantineSubject &subject : mQuarantine.culprits(subjects)) {
        const auto timeLeft = refusedFor(subject);
        if (timeLeft && (!longest || *timeLeft > longest->timeLeft)) {
            longest = {subject, *timeLeft};
        }
    }
    return longest;
}

void QuarantineService::noteSent(std::span<const QuarantineSubject> subjects)
{
    for (const QuarantineSubject &subject : mQuarantine.culprits(subjects)) {
        mQuarantine.noteSent(subject, now());
    }
}

bool QuarantineService::isRetryForbidden(std::span<const QuarantineSubject> subjects) const
{
    return std::ranges::any_of(subjects, [this](const QuarantineSubject &subject) {
        return mQuarantine.isRetryForbidden(subject);
    });
}

// Gateways that are cut off from each other agree on the home gateway, too.
bool QuarantineService::isHomeGateway(const QuarantineSubject &subject) const
{
    return mMembers->isUndisputedOwnerOf(subjectText(subject));
}

awaitable<void> QuarantineService::noteConnectionLost(LostRun run)
{
    if (run.replica.isLeaving) {
        co_return;
    }
    const Instant lostAt = now();
    const ReplicaLiveness liveness = co_await mProber->check(run.replica, lostAt, sMaxProbeWait);
    if (liveness == ReplicaLiveness::Ended) {
        noteCrash(run);
    } else if (liveness == ReplicaLiveness::Unknown) {
        asio::co_spawn(mExecutor, noteCrashLater(std::move(run), lostAt), asio::detached);
    }
}

awaitable<void> QuarantineService::noteCrashLater(LostRun run, Instant lostAt)
{
    const ReplicaLiveness liveness
        = co_await mProber->check(run.replica, lostAt, CrashProber::maxDuration());
    if (liveness == ReplicaLiveness::Ended) {
        noteCrash(run);
    }
}

awaitable<bool> QuarantineService::isRunning(ReplicaIncarnation replica)
{
    const ReplicaLiveness liveness
        = co_await mProber->check(std::move(replica), now(), CrashProber::maxDuration());
    co_return liveness == ReplicaLiveness::Running;
}

void QuarantineService::noteCrash(const LostRun &run)
{
    logLine(LogLevel::Info, "run-crashed",
            {{"id", run.requestId},
             {"replica", run.replica.text()},
             {"account", run.account},
             {"subjects", textOf(run.subjects)}});
    for (const QuarantineSubject &subject : run.subjects) {
        handleNews(mQuarantine.noteCrash(subject, run.account, run.replica.text(), now()), subject,
                   sOwnSource);
    }
}

void QuarantineService::noteSuccess(std::span<const QuarantineSubject> subjects)
{
    for (const QuarantineSubject &subject : subjects) {
        const QuarantineEntry *entry = mQuarantine.find(subject);
        const std::size_t crashCount = entry == nullptr ? 0 : entry->lives.size();
        if (!mQuarantine.noteSuccess(subject, now())) {
            continue;
        }
        if (crashCount >= sUrgentCrashCount) {
            logLine(LogLevel::Info, "request-cleared",
                    {{"request", subjectText(subject)}, {"crashes", crashCount}});
            mMembers->noteChange();
        }
        if (mRecordedCrashCounts.contains(subject)) {
            asio::co_spawn(mExecutor, removeRecord(subject, Milliseconds(0)), asio::detached);
        }
    }
    reportChanges(sOwnSource);
}

void QuarantineService::handleNews(QuarantineNews news, const QuarantineSubject &subject,
                                   std::string_view source)
{
    if (news == QuarantineNews::Nothing) {
        return;
    }
    const QuarantineEntry *entry = mQuarantine.find(subject);
    if (entry != nullptr && !entry->lives.empty()) {
        mMembers->noteChange();
    }
    reportChanges(source);
    if (entry != nullptr && source == sOwnSource && isWorthRecording(*entry)
        && !refusedFor(subject)) {
        const Milliseconds delay
            = sSuspectWriteDelay + staggeredDelay(subject, sSuspectWriteSpread);
        asio::co_spawn(mExecutor, writeRecord(subject, delay), asio::detached);
    }
}

// A crash that becomes known may change the verdict on any subject.
void QuarantineService::reportChanges(std::string_view source)
{
    const QuarantineChanges changes = mQuarantine.takeChanges();
    for (const QuarantineSubject &subject : changes.refused) {
        const QuarantineEntry *entry = mQuarantine.find(subject);
        if (entry == nullptr) {
            continue;
        }
        mMetrics.count("quarantined", source);
        logRefusal(*entry, source);
        const Milliseconds delay = source == sOwnSource
            ? Milliseconds(0)
            : sRemoteWriteDelay + staggeredDelay(subject, sRemoteWriteDelay);
        asio::co_spawn(mExecutor, writeRecord(subject, delay), asio::detached);
        // Without them a gateway that starts would refuse every request with the subject.
        for (const QuarantineSubject &companion : mQuarantine.companions(subject)) {
            asio::co_spawn(mExecutor, writeRecord(companion, delay), asio::detached);
        }
    }
    for (const QuarantineSubject &subject : changes.released) {
        logLine(LogLevel::Info, "request-released", {{"request", subjectText(subject)}});
    }
}

void QuarantineService::logRefusal(const QuarantineEntry &entry, std::string_view source) const
{
    const std::vector<std::string> lives(entry.lives.begin(), entry.lives.end());
    logLine(LogLevel::Warning, "request-quarantined",
            {{"request", subjectText(entry.subject)},
             {"account", entry.account},
             {"crashes", entry.lives.size()},
             {"replicas", joinedText(lives, " ")},
             {"from", source},
             {"forMs", refusedFor(entry.subject).value_or(Milliseconds(0)).count()}});
}

// Spreads what several gateways would do at the same time.
Milliseconds QuarantineService::staggeredDelay(const QuarantineSubject &subject,
                                               Milliseconds range) const
{
    const std::uint64_t weight = rendezvousWeight(subjectText(subject), mMembers->key());
    return Milliseconds(
        static_cast<std::int64_t>(weight % static_cast<std::uint64_t>(range.count())));
}

bool QuarantineService::isRecorded(const QuarantineEntry &entry) const
{
    const auto recorded = mRecordedCrashCounts.find(entry.subject);
    return recorded != mRecordedCrashCounts.end() && recorded->second >= entry.lives.size();
}

bool QuarantineService::isWorthRecording(const QuarantineEntry &entry) const
{
    const bool isSuspectedPart
        = std::holds_alternative<PromptPart>(entry.subject) && entry.epoch == 0;
    return !entry.lives.empty() && (isSuspectedPart || refusedFor(entry.subject));
}

awaitable<void> QuarantineService::writeRecord(QuarantineSubject subject, Milliseconds delay)
{
    if (delay.count() > 0 && mWritesInProgress.contains(subject)) {
        co_return;
    }
    mWritesInProgress.insert(subject);
    co_await sleepFor(delay);
    const QuarantineEntry *entry = mQuarantine.find(subject);
    while (!mStopped && entry != nullptr && isWorthRecording(*entry) && !isRecorded(*entry)) {
        const std::string value = quarantineRecord(*entry, now(), wallNow());
        const std::size_t crashCount = entry->lives.size();
        const auto done = co_await mStore.put(recordKey(subject), value);
        entry = mQuarantine.find(subject);
        if (done && (entry == nullptr || entry->lives.size() <= crashCount)) {
            break;
        }
        if (!done) {
            co_await sleepFor(sRecordRetryDelay);
            entry = mQuarantine.find(subject);
        }
    }
    mWritesInProgress.erase(subject);
}

awaitable<void> QuarantineService::removeRecord(QuarantineSubject subject, Milliseconds delay)
{
    co_await sleepFor(delay);
    while (!mStopped && mRecordedCrashCounts.contains(subject) && !refusedFor(subject)) {
        const auto done = co_await mStore.put(recordKey(subject), std::nullopt);
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
        if (const auto subject = subjectOfKey(key)) {
            mRecordedCrashCounts.erase(*subject);
        }
    }
    std::uint64_t sinceStart = 0;
    for (const QuarantineEntry &entry : mQuarantine.changedSince(sinceStart, sMaxRestoreCount)) {
        if (!refusedFor(entry.subject) || isRecorded(entry)) {
            continue;
        }
        const Milliseconds delay = isHomeGateway(entry.subject)
            ? Milliseconds(0)
            : sRemoteWriteDelay + staggeredDelay(entry.subject, sRemoteWriteDelay);
        asio::co_spawn(mExecutor, writeRecord(entry.subject, delay), asio::detached);
    }
}

void QuarantineService::applyFeedChange(const FeedChange &change)
{
    const std::string &key = change.record.key;
    if (!key.starts_with(sQuarantineKeys)) {
        return;
    }
    if (!change.record.value) {
        if (const auto subject = subjectOfKey(key)) {
            mRecordedCrashCounts.erase(*subject);
        }
        return;
    }
    const auto entry = readQuarantineRecord(std::string_view(key).substr(sQuarantineKeys.size()),
                                            *change.record.value, now(), wallNow());
    if (!entry) {
        logLine(LogLevel::Warning, "quarantine-record-refused",
                {{"key", key}, {"problem", entry.error()}});
        return;
    }
    mRecordedCrashCounts[entry->subject] = entry->lives.size();
    handleNews(mQuarantine.merge(*entry, now()), entry->subject, "store");
}

void QuarantineService::readMemberNews(const wire::MemberStatus &status)
{
    for (const wire::QuarantineNews &news : status.quarantine()) {
        const auto subject = parseSubject(news.subject());
        if (!subject || news.lives_size() > static_cast<int>(QuarantineEntry::sMaxLives)) {
            continue; // of a later release
        }
        QuarantineEntry entry;
        entry.subject = *subject;
        entry.account = news.account();
        entry.epoch = news.epoch();
        entry.failedTrials = news.failed_trials();
        entry.lives.insert(news.lives().begin(), news.lives().end());
        entry.lastEventAt = now() - Milliseconds(static_cast<std::int64_t>(news.age_ms()));
        handleNews(mQuarantine.merge(entry, now()), *subject, status.box());
    }
}

std::uint64_t QuarantineService::writeMemberNews(std::uint64_t since,
                                                 wire::MemberStatus &status) const
{
    for (const QuarantineEntry &entry : mQuarantine.changedSince(since, sMaxNewsCount)) {
        wire::QuarantineNews *news = status.add_quarantine();
        news->set_subject(subjectText(entry.subject));
        news->set_account(entry.account);
        news->set_epoch(entry.epoch);
        news->set_failed_trials(entry.failedTrials);
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
        for (const QuarantineSubject &subject : mQuarantine.sweep(now())) {
            if (mRecordedCrashCounts.contains(subject)) {
                asio::co_spawn(mExecutor,
                               removeRecord(subject, staggeredDelay(subject, sMaxRemoveDelay)),
                               asio::detached);
            }
        }
        reportChanges(sOwnSource);
        mProber->forgetOldResults(now());
    }
}

} // namespace Loom
