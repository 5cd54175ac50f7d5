/*
 * replicaservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "replicaservice.h"

#include "clock.h"
#include "feedservice.h"
#include "jsonlog.h"
#include "memberservice.h"
#include "metrics.h"
#include "operatorconfigservice.h"
#include "overload.h"
#include "permitservice.h"
#include "probedchoice.h"
#include "quarantineservice.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// Some dozens of times the latency between the most distant data centres.
constexpr std::chrono::milliseconds sConnectTimeout{250};
constexpr std::chrono::milliseconds sSweepInterval{500};
// Agents are probed at least this often, so that a failure is detected within a second.
constexpr Milliseconds sMaxReportAge{900};
// Replica records are read this many times within the drain time, so that a draining
// replica is noticed early. More reads would cost too much, since calls to the store have a
// price and the heartbeats of the replicas always provide new records.
constexpr int sReadsPerDrainTime = 10;
constexpr Milliseconds sMinReadInterval{100};
constexpr Milliseconds sMaxReadInterval{400};
// Pause before a replica is considered again after a permit query without an answer.
constexpr Milliseconds sPermitRetryDelay{200};
// Fraction of a replica's connections that the gateways known to this one share. The rest is
// left to gateways that this one does not know of.
constexpr double sConnectionShare = 0.8;

AnswerLimits answerLimitsOf(const MemberSettings &settings)
{
    const auto *gateway = std::get_if<GatewaySettings>(&settings.role);
    return gateway == nullptr ? AnswerLimits() : gateway->answers;
}

} // namespace

ReplicaService::ReplicaService(RecordPort &records, Metrics &metrics,
                               const MemberSettings &settings)
    : mRecords(records)
    , mMetrics(metrics)
    , mSettings(settings)
    , mBounds(settings.bounds.retries)
    , mStartedAt(now())
    , mReplicas(settings.bounds.drainTimeout, settings.box)
    , mAnswerLimits(answerLimitsOf(settings))
    , mAnswerMemory(mAnswerLimits.heldBytes)
{
}

tl::expected<void, std::string> ReplicaService::start(Kernel &kernel)
{
    mExecutor = kernel.executor();
    mMembers = &kernel.find<MemberService>(MemberService::sName);
    mFeeds = &kernel.find<FeedService>(FeedService::sName);
    mFeeds->listen(Feed::Replicas, [this](const FeedChange &change) { applyChange(change); });
    mFeeds->skipUnchanged(Feed::Replicas, [this](const FeedRecord &known, const FeedRecord &next) {
        return hasSameContent(known, next);
    });
    mFeeds->setEraRules(Feed::Replicas,
                        {[this](const FeedRecord &earlier, const FeedRecord &later) {
                            return hasOutlasted(earlier, later);
                        }});
    setBounds(mSettings.bounds);
    updateRegions();
    mConfig = &kernel.find<OperatorConfigService>(OperatorConfigService::sName);
    mConfig->addEvacuationListener(
        [this](const EvacuationChange &change) { applyEvacuation(change); });
    mMetrics.set("evacuated_data_centres", "", 0);
    mConfig->addListener([this] { applyColdRates(); });
    applyColdRates();
    mLoadProber = std::make_unique<LoadProber>(
        kernel, mMetrics, [this](const std::string &address, const ReplicaLoad &load) {
            applyReport(address, load);
        });
    mPermits = std::make_unique<PermitClient>(kernel);
    mDemandExchange = std::make_unique<DemandExchange>(mReplicas, *mMembers, *mConfig, mMetrics,
                                                       mSettings.dataCentre);
    asio::co_spawn(kernel.executor(), sweepLoop(), asio::detached);
    return {};
}

void ReplicaService::applyChange(const FeedChange &change)
{
    const std::string &id = change.record.key;
    if (!change.record.value) {
        logLine(LogLevel::Info, "replica-gone",
                {{"replica", id}, {"offset", change.record.offset}, {"trusted", change.isTrusted}});
        mReplicas.remove(id, change.isTrusted, change.maxAge(), now());
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
    const bool hasRestarted = known != nullptr && record->isOtherIncarnation(known->record);
    if (hasRestarted) {
        closeIdle(id);
    }
    const bool isStateChange = known == nullptr || hasRestarted
        || known->record.isDraining != record->isDraining
        || known->record.weightsVersion != record->weightsVersion;
    if (isStateChange) {
        logLine(LogLevel::Info, "replica-state",
                {{"replica", id},
                 {"service", record->service},
                 {"address", record->address},
                 {"draining", record->isDraining},
                 {"weights", record->weightsVersion},
                 {"born", record->born},
                 {"reborn", hasRestarted},
                 {"offset", change.record.offset}});
    }
    record->position = change.record.position();
    const bool wasLimited
        = known != nullptr && !hasRestarted && known->ratePerSecond(now()).has_value();
    mReplicas.put(*record, now());
    reportIfColder(id, wasLimited);
    if (change.isRevived) {
        mReplicas.awaitConfirmation(id, now());
    }
}

bool ReplicaService::hasOutlasted(const FeedRecord &earlier, const FeedRecord &later) const
{
    if (!earlier.value || !later.value) {
        return false;
    }
    const auto earlierRecord = mRecords.replicaRecord(earlier.key, *earlier.value);
    const auto laterRecord = mRecords.replicaRecord(later.key, *later.value);
    return earlierRecord && laterRecord && earlierRecord->isNewerThan(*laterRecord);
}

void ReplicaService::setBounds(const MemberBounds &bounds)
{
    mBounds = bounds.retries;
    for (auto &[service, budget] : mBudgets) {
        budget.setBounds(mBounds);
    }
    mReplicas.setDrainTime(bounds.drainTimeout);
    mFeeds->setReplicasReadDelay(
        std::clamp(bounds.drainTimeout / sReadsPerDrainTime, sMinReadInterval, sMaxReadInterval));
}

void ReplicaService::updateRegions()
{
    DataCentreRegions regions = mSettings.regions;
    regions[mSettings.dataCentre] = mSettings.region;
    mReplicas.setRegions(std::move(regions));
}

void ReplicaService::applyEvacuation(const EvacuationChange &change)
{
    mReplicas.setEvacuated(change.dataCentre, change.isInForce);
    mMetrics.set("evacuated_data_centres", "",
                 static_cast<std::int64_t>(mReplicas.placement().evacuatedCount()));
    logLine(LogLevel::Info, change.isInForce ? "data-centre-evacuated" : "data-centre-restored",
            {{"dataCentre", change.dataCentre},
             {"ageMs", loggedAge(change.age)},
             {"replicas", mReplicas.replicaCountIn(change.dataCentre)},
             {"lost", change.isLost}});
    if (change.isInForce) {
        mUncheckedEvacuations.insert(change.dataCentre);
    } else {
        mUncheckedEvacuations.erase(change.dataCentre);
    }
}

// An evacuation may be read before the replicas are known.
void ReplicaService::warnOfEmptyEvacuations()
{
    if (!mFeeds->age(Feed::Replicas)) {
        return;
    }
    for (const std::string &dataCentre : mUncheckedEvacuations) {
        if (mReplicas.replicaCountIn(dataCentre) == 0) {
            logLine(LogLevel::Warning, "evacuation-without-replicas", {{"dataCentre", dataCentre}});
        }
    }
    mUncheckedEvacuations.clear();
}

void ReplicaService::warnOfUnknownRegions()
{
    const RouteTablePtr &table = mConfig->table();
    if (!table || !table->hasAllowedRegions()) {
        return;
    }
    for (const auto &[id, replica] : mReplicas.all()) {
        const std::string &dataCentre = replica.record.dataCentre;
        if (replica.region.empty() && mUnknownRegions.insert(dataCentre).second) {
            logLine(LogLevel::Warning, "region-unknown", {{"dataCentre", dataCentre}});
        }
    }
}

bool ReplicaService::hasSameContent(const FeedRecord &known, const FeedRecord &next) const
{
    const auto knownRecord = mRecords.replicaRecord(known.key, *known.value);
    const auto nextRecord = mRecords.replicaRecord(next.key, *next.value);
    const Replica *replica = mReplicas.find(next.key);
    const bool isColdLonger = replica != nullptr && nextRecord && nextRecord->coldLeft.count() > 0
        && now() + nextRecord->coldLeft > replica->cold.until;
    return knownRecord && nextRecord && knownRecord->hasSameContent(*nextRecord) && !isColdLonger;
}

void ReplicaService::stop()
{
    mStopped = true;
    mLoadProber->stop();
    mPermits->stop();
}

awaitable<void> ReplicaService::probeAgents(std::vector<const Replica *> replicas)
{
    std::vector<LoadProbe> probes;
    probes.reserve(replicas.size());
    for (const Replica *replica : replicas) {
        probes.push_back({replica->record.address, replica->patientWaiting});
    }
    if (!probes.empty()) {
        co_await mLoadProber->probe(std::move(probes));
    }
}

// Returns those of the replicas @p ids whose agents have sent a report since @p since.
std::vector<std::string> ReplicaService::answeredSince(Instant since,
                                                       std::span<const std::string> ids) const
{
    std::vector<std::string> answered;
    for (const std::string &id : ids) {
        const Replica *replica = mReplicas.find(id);
        if (replica != nullptr && mLoadProber->lastReportAt(replica->record.address) >= since) {
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
    ProbedChoice choice(mReplicas, query, unresponsiveReplicas());
    const Instant startedAt = now();
    while (!choice.isDone()) {
        co_await probeAgents(choice.replicasToProbe(now()));
        // Late answers to the probes of an earlier round count as well.
        choice.decide(answeredSince(startedAt, choice.asked()), now() - startedAt, now());
    }
    mReplicas.noteChoice(query, choice.choice(), now());
    co_return choice.choice();
}

std::vector<std::string> ReplicaService::unresponsiveReplicas() const
{
    std::vector<std::string> unresponsive;
    for (const auto &[id, replica] : mReplicas.all()) {
        if (mLoadProber->isUnresponsive(replica.record.address)) {
            unresponsive.push_back(id);
        }
    }
    return unresponsive;
}

// Keeps connections to the agents of the subset open before the first request arrives, and
// detects a failed agent even if no request is sent to its replica.
void ReplicaService::probeIdleAgents()
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
            probeIfStale({replica->record.address, replica->patientWaiting});
        }
    }
    for (const Member &stager : mMembers->monitoredStagers()) {
        probeIfStale({stager.engine, 0});
    }
}

void ReplicaService::probeIfStale(const LoadProbe &probe)
{
    if (now() - mLoadProber->lastReportAt(probe.address) >= sMaxReportAge) {
        mLoadProber->probeInBackground(probe);
    }
}

void ReplicaService::began(const std::string &id, bool isPatient, std::uint64_t promptTokens)
{
    mReplicas.began(id, isPatient, now(), promptTokens);
    if (const Replica *replica = mReplicas.find(id)) {
        mLoadProber->announceRequest(
            {replica->record.address, replica->patientWaiting, promptTokens});
    }
}

void ReplicaService::answerStarted(const std::string &id, bool isPatient, Microseconds elapsed)
{
    mReplicas.answerStarted(id, isPatient, elapsed);
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
    mPermits->reportLimit(*mReplicas.find(id));
}

void ReplicaService::noteNotice(const ReplicaIncarnation &incarnation, const ReplicaNotice &notice)
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
    const UnavailableReason reason
        = replica == nullptr ? UnavailableReason::Gone : replica->unavailableReason(now());
    if (reason != UnavailableReason::Nothing) {
        mMetrics.count("sends_held_back", unavailableReasonName(reason));
    }
    return reason;
}

void ReplicaService::logLeaving(const ReplicaIncarnation &incarnation, const Replica *replica)
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

void ReplicaService::logRest(const ReplicaIncarnation &incarnation, const Replica *replica,
                             Microseconds restTime)
{
    const auto restMs = std::chrono::duration_cast<Milliseconds>(restTime);
    logLine(LogLevel::Info, "replica-rest",
            {{"replica", incarnation.id},
             {"born", incarnation.born},
             {"askedMs", restMs.count()},
             {"inFlight", replica == nullptr ? 0 : replica->inFlight},
             {"sentLately", replica == nullptr ? 0 : replica->recentSends.size()}});
}

void ReplicaService::applyReport(const std::string &address, const ReplicaLoad &load)
{
    mReplicas.report(address, load, now());
    if (load.limit) {
        applyLimit(*load.limit);
    }
}

void ReplicaService::applyLimit(const ReportedLimit &limit)
{
    const LimitChange change = mReplicas.applyLimit(limit, now());
    if (change != LimitChange::Nothing) {
        noteLimit(std::string(limit.replica()), change);
    }
    if (change == LimitChange::Started) {
        // While the limit makes this gateway wait, it requests no permits, and the requests that
        // it has already sent would otherwise not be counted against the limit.
        mPermits->reportLimit(*mReplicas.find(limit.replica()));
    }
}

void ReplicaService::noteLimit(const std::string &id, LimitChange change)
{
    const std::string_view changeName = change == LimitChange::Started ? "begun"
        : change == LimitChange::Changed                               ? "changed"
                                                                       : "ended";
    const Replica *replica = mReplicas.find(id);
    // The permit owner of a cold replica has counted the sends, whether it names a limit or not.
    if (change != LimitChange::Changed && !replica->isCold(now())) {
        mPermits->resetReportedSends(replica->record.incarnation());
    }
    mMetrics.count("replica_limits", changeName);
    // A replica may name a different limit in each answer.
    const LogLevel level = change == LimitChange::Changed ? LogLevel::Debug : LogLevel::Info;
    logLine(level, "replica-limit",
            {{"replica", id},
             {"service", replica->record.service},
             {"change", changeName},
             {"perSecond", replica->limit.perSecond().value_or(-1)}});
}

awaitable<bool> ReplicaService::takePermit(std::string id)
{
    const Replica *replica = mReplicas.find(id);
    if (replica == nullptr || !replica->ratePerSecond(now())) {
        co_return true;
    }
    const auto answer = co_await mPermits->ask(*replica);
    if (!answer) {
        mMetrics.count("send_permits", "unanswered");
        mReplicas.setRateLimitedUntil(id, now() + sPermitRetryDelay);
        co_return false;
    }
    if (answer->has_limit()) {
        applyLimit(fromWireLimit(answer->limit(), now()));
    }
    mMetrics.count("send_permits", answer->granted() ? "granted" : "denied");
    mReplicas.setRateLimitedUntil(
        id, now() + Microseconds(static_cast<std::int64_t>(answer->wait_us())));
    co_return answer->granted();
}

RequestStanding ReplicaService::noteRequest(const std::string &service, Milliseconds goal,
                                            const std::optional<CallOrigin> &origin)
{
    budget(service).noteRequest(now());
    return mReplicas.noteCall(service, goal, now(), origin);
}

Milliseconds ReplicaService::waitedBefore(const std::string &route, Milliseconds timeLeft)
{
    mCallerWaits.note(route, timeLeft, mRefusalRatio.ratio(now()));
    return mCallerWaits.waitedBefore(route, timeLeft);
}

void ReplicaService::noteRequestEnd(bool wasRefused)
{
    mRefusalRatio.note(!wasRefused, now());
}

SharedRetryBudget &ReplicaService::budget(const std::string &service)
{
    return mBudgets.try_emplace(service, mBounds, mStartedAt).first->second;
}

bool ReplicaService::takeRetry(const std::string &service)
{
    const bool isGranted = budget(service).take(mMembers->gatewayCount(), now());
    mMetrics.count(isGranted ? "repeats" : "repeats_denied", service);
    return isGranted;
}

CapacityQueue &ReplicaService::capacityQueue(const std::string &service)
{
    return mCapacityQueues.try_emplace(service, mExecutor).first->second;
}

std::unique_ptr<HttpLink> ReplicaService::takeIdleLink(Pool &pool)
{
    while (!pool.idle.empty()) {
        std::unique_ptr<HttpLink> link = std::move(pool.idle.back());
        pool.idle.pop_back();
        const bool isUsable = BootClock::now() < link->usableUntil();
        // Data that arrived on an idle connection belongs to no request, so that the connection
        // is closed.
        if (isUsable && link->isQuiet()) {
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
    if (auto idle = takeIdleLink(pool)) {
        co_return std::move(idle);
    }
    const double ownShare
        = maxConnections * sConnectionShare / std::max<std::uint32_t>(mMembers->gatewayCount(), 1);
    if (maxConnections > 0 && pool.open >= std::max(ownShare, 1.0)) {
        co_return tl::unexpected(LinkError::NotConnected);
    }
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        co_return tl::unexpected(LinkError::NotConnected);
    }
    ++pool.open;
    mMetrics.count("replica_connections");
    auto connected = co_await HttpLink::connect(*endpoint, sConnectTimeout, mAnswerLimits);
    if (!connected) {
        --mPools[id].open;
    }
    co_return std::move(connected);
}

void ReplicaService::releaseLink(const std::string &id, std::unique_ptr<HttpLink> link)
{
    const auto it = mPools.find(id);
    if (it == mPools.end()) {
        return;
    }
    const Replica *replica = mReplicas.find(id);
    const bool isReplicaUsable = replica != nullptr && !replica->notices.isLeaving();
    if (link->isReusable() && isReplicaUsable) {
        it->second.idle.push_back(std::move(link));
        return;
    }
    --it->second.open;
}

// The idle connections lead to an incarnation that has ended or is leaving. If one of them was
// lost without a reset, a request that can't be retried would be sent on it.
void ReplicaService::closeIdle(const std::string &id)
{
    const auto it = mPools.find(id);
    if (it == mPools.end()) {
        return;
    }
    it->second.open -= static_cast<std::uint32_t>(it->second.idle.size());
    it->second.idle.clear();
}

void ReplicaService::closeExpired(Pool &pool, BootClock::time_point bootTime)
{
    pool.open -= static_cast<std::uint32_t>(
        std::erase_if(pool.idle, [&](const std::unique_ptr<HttpLink> &link) {
            return link->usableUntil() <= bootTime;
        }));
}

void ReplicaService::updateUnavailableMetrics()
{
    std::map<UnavailableReason, std::int64_t> counts;
    std::int64_t limitedCount = 0;
    for (const auto &[id, replica] : mReplicas.all()) {
        const UnavailableReason reason = replica.unavailableReason(now());
        ++counts[reason];
        const bool isAvailable = reason == UnavailableReason::Nothing;
        limitedCount += isAvailable && replica.isAtConcurrencyLimit(now()) ? 1 : 0;
    }
    for (const UnavailableReason reason :
         {UnavailableReason::Leaving, UnavailableReason::Resting, UnavailableReason::Displaced}) {
        mMetrics.set("replicas_held_back", unavailableReasonName(reason), counts[reason]);
    }
    mMetrics.set("replicas_held_back", "limited", limitedCount);
}

void ReplicaService::applyColdRates()
{
    const RouteTablePtr &table = mConfig->table();
    if (!table || table == mColdRatesTable) {
        return;
    }
    mColdRatesTable = table;
    std::map<std::string, double, std::less<>> rates;
    for (const ServiceConfig &service : table->config().services) {
        for (const std::string &field : service.invalidColdFields) {
            mMetrics.count("cold_rates_refused");
            logLine(LogLevel::Warning, "cold-rate-refused",
                    {{"service", service.name}, {"field", field}});
        }
        if (service.coldPerSecond > 0) {
            rates[service.name] = service.coldPerSecond;
        }
    }
    mReplicas.setColdRates(std::move(rates));
    updateColdReplicas();
}

void ReplicaService::noteCold(const ReplicaIncarnation &incarnation, Milliseconds left)
{
    const Replica *replica = mReplicas.find(incarnation.id);
    const bool wasLimited = replica != nullptr && replica->ratePerSecond(now()).has_value();
    mReplicas.noteCold(incarnation.id, incarnation.born, left, now());
    reportIfColder(incarnation.id, wasLimited);
}

// The sends to a replica that turned cold are reported at once, even if this gateway sends it
// nothing more: its permit owner must count them.
void ReplicaService::reportIfColder(const std::string &id, bool wasLimited)
{
    const Replica *replica = mReplicas.find(id);
    if (replica != nullptr && replica->isCold(now()) && !mColdReplicas.contains(id)) {
        updateColdReplicas();
    }
    if (wasLimited || replica == nullptr || !replica->isCold(now())) {
        return;
    }
    mPermits->resetReportedSends(replica->record.incarnation());
    const bool hasSentRecently = std::ranges::any_of(
        replica->recentSends, [](Instant sent) { return now() - sent < sSendWindow; });
    if (hasSentRecently) {
        mPermits->reportLimit(*replica);
    }
}

void ReplicaService::updateColdReplicas()
{
    const Instant time = now();
    std::set<std::string> cold;
    for (const auto &[id, replica] : mReplicas.all()) {
        if (!replica.isCold(time) || replica.unavailableReason(time) == UnavailableReason::Gone) {
            continue;
        }
        cold.insert(id);
        if (!mColdReplicas.contains(id)) {
            const auto left = std::chrono::duration_cast<Milliseconds>(replica.cold.until - time);
            logLine(LogLevel::Info, "replica-cold",
                    {{"replica", id},
                     {"service", replica.record.service},
                     {"perSecond", replica.cold.perSecond},
                     {"leftMs", left.count()}});
        }
    }
    for (const std::string &id : mColdReplicas) {
        if (!cold.contains(id)) {
            const Replica *replica = mReplicas.find(id);
            const bool isGone
                = replica == nullptr || replica->unavailableReason(time) == UnavailableReason::Gone;
            logLine(LogLevel::Info, "replica-warm", {{"replica", id}, {"gone", isGone}});
        }
    }
    mColdReplicas = std::move(cold);
    mMetrics.set("cold_replicas", "", static_cast<std::int64_t>(mColdReplicas.size()));
}

awaitable<void> ReplicaService::sweepLoop()
{
    while (!mStopped) {
        co_await sleepFor(sSweepInterval);
        mReplicas.sweep(now());
        updateUnavailableMetrics();
        warnOfUnknownRegions();
        warnOfEmptyEvacuations();
        mDemandExchange->update();
        updateColdReplicas();
        mLoadProber->closeUnused();
        mPermits->closeUnused();
        probeIdleAgents();
        const auto bootTime = BootClock::now();
        for (auto &[id, pool] : mPools) {
            closeExpired(pool, bootTime);
        }
        std::erase_if(mPools, [&](const auto &item) {
            return item.second.open == 0 && mReplicas.find(item.first) == nullptr;
        });
    }
}

} // namespace Loom
