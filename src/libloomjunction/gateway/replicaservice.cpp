/*
 * replicaservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "replicaservice.h"

#include "clock.h"
#include "directconfig.h"
#include "feedservice.h"
#include "jsonlog.h"
#include "memberservice.h"
#include "metrics.h"
#include "overload.h"
#include "permitservice.h"
#include "probedchoice.h"
#include "quarantineservice.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// Some dozens of times the way between the farthest data centres.
constexpr std::chrono::milliseconds sConnectTimeout{250};
constexpr std::chrono::milliseconds sSweepEvery{500};
// An agent is asked at least this often, so that its loss shows within a second.
constexpr Milliseconds sWarmEvery{900};
// A replica that drains is read of within this part of its draining time; calls to
// the store have a price, and replicas' heartbeats always give something to read.
constexpr int sReadsWhileDraining = 10;
constexpr Milliseconds sLeastPause{100};
constexpr Milliseconds sMostPause{400};
// After a question for a permit that nobody answered.
constexpr Milliseconds sKeeperPause{200};
// Of a replica's connections; the rest is for entries that this one cannot see.
constexpr double sConnectionsUsed = 0.8;

} // namespace

ReplicaService::ReplicaService(RecordPort &records, Metrics &metrics,
                               const DirectSettings &settings)
    : mRecords(records)
    , mMetrics(metrics)
    , mSettings(settings)
    , mBounds(settings.bounds.retries)
    , mBorn(now())
    , mReplicas(settings.bounds.drainTime, settings.box)
{
}

tl::expected<void, std::string> ReplicaService::start(Kernel &kernel)
{
    mMembers = &kernel.find<MemberService>(MemberService::sName);
    mFeeds = &kernel.find<FeedService>(FeedService::sName);
    mFeeds->listen(Feed::Replicas, [this](const FeedChange &change) { take(change); });
    mFeeds->skipUnchanged(Feed::Replicas, [this](const FeedRecord &known, const FeedRecord &next) {
        return saysTheSame(known, next);
    });
    setBounds(mSettings.bounds);
    mConfig = &kernel.find<DirectConfig>(DirectConfig::sName);
    mAsker = std::make_unique<LoadAsker>(
        kernel, mMetrics,
        [this](const std::string &address, const ReplicaLoad &load) { takeReport(address, load); });
    mPermits = std::make_unique<PermitAsker>(kernel);
    asio::co_spawn(kernel.executor(), sweepLoop(), asio::detached);
    return {};
}

void ReplicaService::take(const FeedChange &change)
{
    const std::string &id = change.record.key;
    if (!change.record.value) {
        logLine(LogLevel::Info, "replica-gone",
                {{"replica", id}, {"offset", change.record.offset}, {"trusted", change.isTrusted}});
        mReplicas.remove(id, change.isTrusted, change.age, now());
        return;
    }
    auto record = mRecords.replicaRecord(id, *change.record.value);
    if (!record) {
        logLine(LogLevel::Warning, "replica-record-refused",
                {{"replica", id}, {"problem", record.error()}, {"offset", change.record.offset}});
        mMetrics.count("replica_records_refused");
        mReplicas.unreadable(id, now());
        return;
    }
    const Replica *known = mReplicas.find(id);
    const bool isReborn = known != nullptr && record->isOtherIncarnation(known->record);
    if (isReborn) {
        closeIdle(id);
    }
    const bool isNews = known == nullptr || isReborn
        || known->record.isDraining != record->isDraining
        || known->record.weightsVersion != record->weightsVersion;
    if (isNews) {
        logLine(LogLevel::Info, "replica-state",
                {{"replica", id},
                 {"service", record->service},
                 {"address", record->address},
                 {"draining", record->isDraining},
                 {"weights", record->weightsVersion},
                 {"born", record->born},
                 {"reborn", isReborn},
                 {"offset", change.record.offset}});
    }
    record->offset = change.record.offset;
    mReplicas.put(*record, now());
}

void ReplicaService::setBounds(const DirectBounds &bounds)
{
    mBounds = bounds.retries;
    for (auto &[service, budget] : mBudgets) {
        budget.setBounds(mBounds);
    }
    mReplicas.setDrainTime(bounds.drainTime);
    mFeeds->setReplicasReadDelay(
        std::clamp(bounds.drainTime / sReadsWhileDraining, sLeastPause, sMostPause));
}

bool ReplicaService::saysTheSame(const FeedRecord &known, const FeedRecord &next) const
{
    const auto before = mRecords.replicaRecord(known.key, *known.value);
    const auto after = mRecords.replicaRecord(next.key, *next.value);
    return before && after && before->hasSameContent(*after);
}

void ReplicaService::stop()
{
    mStopped = true;
    mAsker->stop();
    mPermits->stop();
}

awaitable<void> ReplicaService::askAgents(std::vector<const Replica *> replicas)
{
    std::vector<LoadQuestion> questions;
    questions.reserve(replicas.size());
    for (const Replica *replica : replicas) {
        questions.push_back({replica->record.address, replica->patientWaiting});
    }
    if (!questions.empty()) {
        co_await mAsker->ask(std::move(questions));
    }
}

// Of the replicas @p ids, those whose agents were heard since.
std::vector<std::string> ReplicaService::answeredSince(Instant since,
                                                       std::span<const std::string> ids) const
{
    std::vector<std::string> answered;
    for (const std::string &id : ids) {
        const Replica *replica = mReplicas.find(id);
        if (replica != nullptr && mAsker->heardAt(replica->record.address) >= since) {
            answered.push_back(id);
        }
    }
    return answered;
}

awaitable<ReplicaChoice> ReplicaService::choose(ReplicaQuery query)
{
    if (query.engine == nullptr) {
        co_return mReplicas.choose(query, now());
    }
    ProbedChoice choice(mReplicas, query, silentReplicas());
    const Instant begun = now();
    while (!choice.isDone()) {
        co_await askAgents(choice.replicasToProbe(now()));
        // Late answers to the questions of an earlier round count, too.
        choice.decide(answeredSince(begun, choice.asked()), now() - begun, now());
    }
    mReplicas.noteChoice(query, choice.choice(), now());
    co_return choice.choice();
}

std::vector<std::string> ReplicaService::silentReplicas() const
{
    std::vector<std::string> silent;
    for (const auto &[id, replica] : mReplicas.all()) {
        if (mAsker->isSilent(replica.record.address)) {
            silent.push_back(id);
        }
    }
    return silent;
}

// Links to the agents of the neighbours stand before the first request comes,
// and an agent that dies is missed although nobody sends it requests.
void ReplicaService::keepNeighboursWarm()
{
    const RouteTablePtr &table = mConfig->table();
    if (!table) {
        return;
    }
    for (const ServiceConfig &service : table->config().services) {
        if (!service.engine) {
            continue;
        }
        ReplicaQuery query;
        query.service = service.name;
        query.dataCentre = mSettings.dataCentre;
        query.engine = &*service.engine;
        for (const Replica *replica : mReplicas.subset(query, now())) {
            keepWarm({replica->record.address, replica->patientWaiting});
        }
    }
    for (const Member &stager : mMembers->watchedStagers()) {
        keepWarm({stager.engine, 0});
    }
}

void ReplicaService::keepWarm(const LoadQuestion &question)
{
    if (now() - mAsker->heardAt(question.address) >= sWarmEvery) {
        mAsker->keepWarm(question);
    }
}

void ReplicaService::began(const std::string &id, bool isPatient)
{
    mReplicas.began(id, isPatient, now());
    if (const Replica *replica = mReplicas.find(id)) {
        mAsker->claim({replica->record.address, replica->patientWaiting});
    }
}

void ReplicaService::answerBegan(const std::string &id, bool isPatient, Microseconds took)
{
    mReplicas.answerBegan(id, isPatient, took);
}

void ReplicaService::answerMissed(const std::string &id, bool isPatient)
{
    mReplicas.answerMissed(id, isPatient);
}

void ReplicaService::noteRate(const std::string &id, const AdvertisedRate &rate, Instant sentAt)
{
    const LimitChange change
        = std::visit(Overload{
                         [&](const NoRate &) { return mReplicas.noteNoLimit(id, sentAt, now()); },
                         [&](const RatePerSecond &named) {
                             return mReplicas.noteNamedLimit(id, named.value, now());
                         },
                         [&](const UnreadableRate &) {
                             mMetrics.count("replica_limits", "unreadable");
                             logLine(LogLevel::Warning, "replica-limit-refused", {{"replica", id}});
                             return LimitChange::Nothing;
                         },
                     },
                     rate);
    if (change == LimitChange::Nothing) {
        return;
    }
    noteLimit(id, change);
    mPermits->tell(*mReplicas.find(id));
}

void ReplicaService::noteNotice(const ReplicaLife &incarnation, const ReplicaNotice &notice)
{
    for (const std::string &header : notice.unreadable) {
        mMetrics.count("replica_notices", "unreadable");
        logLine(LogLevel::Warning, "replica-notice-refused",
                {{"replica", incarnation.id}, {"header", header}});
    }
    const NoticeChange change
        = mReplicas.applyNotice(incarnation.id, incarnation.born, notice, now());
    const Replica *replica = mReplicas.find(incarnation.id);
    if (change.hasStartedLeaving) {
        mMetrics.count("replica_notices", "leaving");
        logLeaving(incarnation, replica);
        closeIdle(incarnation.id);
    }
    if (change.isRestExtended) {
        mMetrics.count("replica_notices", "rest");
        logRest(incarnation, replica, *notice.rest);
    }
}

UnavailableReason ReplicaService::unavailableReason(const std::string &id)
{
    const Replica *replica = mReplicas.find(id);
    const UnavailableReason held
        = replica == nullptr ? UnavailableReason::Gone : replica->unavailableReason(now());
    if (held != UnavailableReason::Nothing) {
        mMetrics.count("sends_held_back", unavailableReasonName(held));
    }
    return held;
}

void ReplicaService::logLeaving(const ReplicaLife &incarnation, const Replica *replica)
{
    const bool isKnown = replica != nullptr && replica->removedAt == Instant();
    const std::string_view record = !isKnown ? "gone"
        : replica->record.isDraining         ? "draining"
                                             : "ready";
    logLine(LogLevel::Info, "replica-leaving",
            {{"replica", incarnation.id},
             {"born", incarnation.born},
             {"record", record},
             {"inFlight", replica == nullptr ? 0 : replica->inFlight}});
}

void ReplicaService::logRest(const ReplicaLife &incarnation, const Replica *replica,
                             Microseconds asked)
{
    const auto askedMs = std::chrono::duration_cast<Milliseconds>(asked);
    logLine(LogLevel::Info, "replica-rest",
            {{"replica", incarnation.id},
             {"born", incarnation.born},
             {"askedMs", askedMs.count()},
             {"inFlight", replica == nullptr ? 0 : replica->inFlight},
             {"sentLately", replica == nullptr ? 0 : replica->recentSends.size()}});
}

void ReplicaService::takeReport(const std::string &address, const ReplicaLoad &load)
{
    mReplicas.report(address, load, now());
    if (load.limit) {
        applyLimit(*load.limit);
    }
}

void ReplicaService::applyLimit(const ReportedLimit &told)
{
    const LimitChange change = mReplicas.applyLimit(told, now());
    if (change != LimitChange::Nothing) {
        noteLimit(std::string(told.replica()), change);
    }
    if (change == LimitChange::Started) {
        // Told that it must wait, it asks for no permit yet, and its sends would not count.
        mPermits->tell(*mReplicas.find(told.replica()));
    }
}

void ReplicaService::noteLimit(const std::string &id, LimitChange change)
{
    const std::string_view what = change == LimitChange::Started ? "begun"
        : change == LimitChange::Changed                         ? "changed"
                                                                 : "ended";
    const Replica *replica = mReplicas.find(id);
    if (change != LimitChange::Changed) {
        mPermits->forgetTold(replica->record.incarnation());
    }
    mMetrics.count("replica_limits", what);
    // A replica may name another one with each answer.
    const LogLevel level = change == LimitChange::Changed ? LogLevel::Debug : LogLevel::Info;
    logLine(level, "replica-limit",
            {{"replica", id},
             {"service", replica->record.service},
             {"change", what},
             {"perSecond", replica->limit.perSecond().value_or(-1)}});
}

awaitable<bool> ReplicaService::takePermit(std::string id)
{
    const Replica *replica = mReplicas.find(id);
    if (replica == nullptr || !replica->limit.perSecond()) {
        co_return true;
    }
    const auto answer = co_await mPermits->ask(*replica);
    if (!answer) {
        mMetrics.count("send_permits", "unanswered");
        mReplicas.setRateLimitedUntil(id, now() + sKeeperPause);
        co_return false;
    }
    if (answer->has_limit()) {
        applyLimit(limitTold(answer->limit(), now()));
    }
    mMetrics.count("send_permits", answer->granted() ? "granted" : "denied");
    mReplicas.setRateLimitedUntil(
        id, now() + Microseconds(static_cast<std::int64_t>(answer->wait_us())));
    co_return answer->granted();
}

void ReplicaService::noteRequest(const std::string &service, Milliseconds goal)
{
    budget(service).noteRequest(now());
    mReplicas.noteCall(service, goal, now());
}

Milliseconds ReplicaService::waitedBefore(const std::string &route, Milliseconds timeLeft)
{
    mPatience.note(route, timeLeft, mRefused.ratio(now()));
    return mPatience.waitedBefore(route, timeLeft);
}

void ReplicaService::noteEnd(bool mayReturn)
{
    mRefused.note(!mayReturn, now());
}

SharedRetryBudget &ReplicaService::budget(const std::string &service)
{
    return mBudgets.try_emplace(service, mBounds, mBorn).first->second;
}

bool ReplicaService::takeRepeat(const std::string &service)
{
    const bool taken = budget(service).take(mMembers->gatewayCount(), now());
    mMetrics.count(taken ? "repeats" : "repeats_denied", service);
    return taken;
}

std::unique_ptr<HttpLink> ReplicaService::takeIdle(Pool &pool)
{
    while (!pool.idle.empty()) {
        std::unique_ptr<HttpLink> link = std::move(pool.idle.back());
        pool.idle.pop_back();
        const bool isFresh = BootClock::now() < link->usableUntil();
        // Whatever came in unasked belongs to no request: such a link ends here.
        if (isFresh && link->isQuiet()) {
            return link;
        }
        --pool.open;
    }
    return nullptr;
}

awaitable<tl::expected<std::unique_ptr<HttpLink>, LinkError>>
ReplicaService::link(std::string id, std::string address, std::uint32_t maxConnections)
{
    Pool &pool = mPools[id];
    if (auto kept = takeIdle(pool)) {
        co_return std::move(kept);
    }
    const double own
        = maxConnections * sConnectionsUsed / std::max<std::uint32_t>(mMembers->gatewayCount(), 1);
    if (maxConnections > 0 && pool.open >= std::max(own, 1.0)) {
        co_return tl::unexpected(LinkError::NotConnected);
    }
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        co_return tl::unexpected(LinkError::NotConnected);
    }
    ++pool.open;
    mMetrics.count("replica_connections");
    auto made = co_await HttpLink::connect(*endpoint, sConnectTimeout);
    if (!made) {
        --mPools[id].open;
    }
    co_return std::move(made);
}

void ReplicaService::giveBack(const std::string &id, std::unique_ptr<HttpLink> link)
{
    const auto it = mPools.find(id);
    if (it == mPools.end()) {
        return;
    }
    const Replica *replica = mReplicas.find(id);
    const bool isWanted = replica != nullptr && !replica->notices.isLeaving();
    if (link->isReusable() && isWanted) {
        it->second.idle.push_back(std::move(link));
        return;
    }
    --it->second.open;
}

// Connections that rest lead to the life that ended; one that was lost without a
// word would take a request that cannot be sent again.
void ReplicaService::closeIdle(const std::string &id)
{
    const auto it = mPools.find(id);
    if (it == mPools.end()) {
        return;
    }
    it->second.open -= static_cast<std::uint32_t>(it->second.idle.size());
    it->second.idle.clear();
}

void ReplicaService::closeExpired(Pool &pool, BootClock::time_point time)
{
    pool.open -= static_cast<std::uint32_t>(
        std::erase_if(pool.idle, [&](const std::unique_ptr<HttpLink> &link) {
            return link->usableUntil() <= time;
        }));
}

void ReplicaService::countHeld()
{
    std::map<UnavailableReason, std::int64_t> held;
    for (const auto &[id, replica] : mReplicas.all()) {
        ++held[replica.unavailableReason(now())];
    }
    for (const UnavailableReason one : {UnavailableReason::Leaving, UnavailableReason::Resting}) {
        mMetrics.set("replicas_held_back", unavailableReasonName(one), held[one]);
    }
}

awaitable<void> ReplicaService::sweepLoop()
{
    while (!mStopped) {
        co_await sleepFor(sSweepEvery);
        mReplicas.sweep(now());
        countHeld();
        mAsker->closeUnused();
        mPermits->closeUnused();
        keepNeighboursWarm();
        const auto time = BootClock::now();
        for (auto &[id, pool] : mPools) {
            closeExpired(pool, time);
        }
        std::erase_if(mPools, [&](const auto &item) {
            return item.second.open == 0 && mReplicas.find(item.first) == nullptr;
        });
    }
}

} // namespace Loom
