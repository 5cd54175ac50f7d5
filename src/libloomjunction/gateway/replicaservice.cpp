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
#include "peerhub.h"
#include "wire.pb.h"

#include <cmath>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::string_view sLoadPath = "/replica-load";
// Some dozens of times the way between the farthest data centres.
constexpr std::chrono::milliseconds sConnectTimeout{250};
constexpr std::chrono::milliseconds sLoadSilence{1'500};
constexpr std::chrono::milliseconds sSweepEvery{1'000};
// Of a replica's connections; the rest is for entries that this one cannot see.
constexpr double sConnectionsUsed = 0.8;
constexpr double sPermille = 1'000;

} // namespace

ReplicaService::ReplicaService(RecordPort &records, Metrics &metrics,
                               const DirectSettings &settings)
    : mRecords(records)
    , mMetrics(metrics)
    , mBounds(settings.bounds.retries)
    , mBorn(now())
    , mReplicas(settings.bounds.drainTime)
{
}

tl::expected<void, std::string> ReplicaService::start(Kernel &kernel)
{
    mMembers = &kernel.find<MemberService>(MemberService::sName);
    kernel.find<FeedService>(FeedService::sName)
        .listen(Feed::Replicas, [this](const FeedChange &change) { take(change); });
    kernel.find<PeerHub>(PeerHub::sName)
        .serve(std::string(sLoadPath),
               [this](PeerStreamPtr stream) { return takeLoads(std::move(stream)); });
    asio::co_spawn(kernel.executor(), sweepLoop(), asio::detached);
    return {};
}

void ReplicaService::take(const FeedChange &change)
{
    const std::string &id = change.record.key;
    if (!change.record.value) {
        logLine(LogLevel::Info, "replica-gone",
                {{"replica", id}, {"offset", change.record.offset}, {"trusted", change.isTrusted}});
        mReplicas.remove(id, change.isTrusted, now());
        return;
    }
    auto record = mRecords.replicaRecord(id, *change.record.value);
    if (!record) {
        logLine(LogLevel::Error, "replica-record-refused",
                {{"replica", id}, {"problem", record.error()}});
        return;
    }
    const Replica *known = mReplicas.find(id);
    const bool isNews = known == nullptr || known->record.isDraining != record->isDraining
        || known->record.weightsVersion != record->weightsVersion;
    if (isNews) {
        logLine(LogLevel::Info, "replica-state",
                {{"replica", id},
                 {"service", record->service},
                 {"address", record->address},
                 {"draining", record->isDraining},
                 {"weights", record->weightsVersion},
                 {"offset", change.record.offset}});
    }
    record->offset = change.record.offset;
    mReplicas.put(*record, now());
}

awaitable<void> ReplicaService::takeLoads(PeerStreamPtr stream)
{
    std::string address;
    while (stream->isOpen() && !mStopped) {
        const auto deadline = std::chrono::steady_clock::now() + sLoadSilence;
        const auto report = co_await stream->receiveMessage<wire::ReplicaLoadReport>(deadline);
        if (!report || !*report) {
            break;
        }
        const wire::ReplicaLoadReport &told = **report;
        if (address.empty()) {
            address = told.address();
            mLoadStreams[address] = stream;
        }
        mMembers->noteHeard(told.member());
        ReplicaLoad load;
        load.running = told.running();
        load.waiting = told.waiting();
        load.waitingPatient = told.waiting_patient();
        load.memoryUsed = told.memory_used();
        load.memoryTotal = told.memory_total();
        load.pace = told.pace_permille() / sPermille;
        load.weightsVersion = told.weights_version();
        load.isAccepting = told.accepting();
        load.isLinkSlow = told.link_slow();
        mReplicas.report(address, load, now());
    }
    stream->reset();
    const auto it = mLoadStreams.find(address);
    if (it != mLoadStreams.end() && it->second == stream) {
        mLoadStreams.erase(it);
        mReplicas.reportLost(address);
    }
}

void ReplicaService::began(const std::string &id, bool isPatient)
{
    mReplicas.began(id, isPatient, now());
    if (isPatient) {
        tellPatient(id);
    }
}

void ReplicaService::answerBegan(const std::string &id, bool isPatient, Microseconds took)
{
    mReplicas.answerBegan(id, isPatient, took);
    if (isPatient) {
        tellPatient(id);
    }
}

void ReplicaService::answerMissed(const std::string &id, bool isPatient)
{
    mReplicas.answerMissed(id, isPatient);
    if (isPatient) {
        tellPatient(id);
    }
}

// The replica's agent adds up what all gateways have there.
void ReplicaService::tellPatient(const std::string &id)
{
    const Replica *replica = mReplicas.find(id);
    if (replica == nullptr) {
        return;
    }
    const auto it = mLoadStreams.find(replica->record.address);
    if (it == mLoadStreams.end()) {
        return;
    }
    wire::PatientCount count;
    count.set_waiting(replica->patientWaiting);
    it->second->send(count);
}

void ReplicaService::noteRequest(const std::string &service, Milliseconds goal)
{
    budget(service).noteRequest(now());
    mReplicas.noteCall(service, goal, now());
}

Milliseconds ReplicaService::waitedBefore(const std::string &route, Milliseconds timeLeft)
{
    Milliseconds &longest = mLongestDeadline[route];
    longest = std::max(longest, timeLeft);
    return longest - timeLeft;
}

SharedRetryBudget &ReplicaService::budget(const std::string &service)
{
    return mBudgets.try_emplace(service, mBounds, mBorn).first->second;
}

bool ReplicaService::takeRepeat(const std::string &service)
{
    const bool taken = budget(service).take(mMembers->gatewayCount(), now());
    mMetrics.count(taken ? "loom_repeats_total" : "loom_repeats_denied_total", service);
    return taken;
}

std::unique_ptr<HttpLink> ReplicaService::takeIdle(Pool &pool)
{
    while (!pool.idle.empty()) {
        std::unique_ptr<HttpLink> link = std::move(pool.idle.back());
        pool.idle.pop_back();
        const bool isFresh = std::chrono::steady_clock::now() < link->usableUntil();
        // Whatever came in unasked belongs to no request: such a link ends here.
        if (isFresh && link->isQuiet()) {
            return link;
        }
        --pool.open;
    }
    return nullptr;
}

awaitable<tl::expected<std::unique_ptr<HttpLink>, LinkError>>
ReplicaService::link(std::string id, std::string address, std::uint32_t connectionCap)
{
    Pool &pool = mPools[id];
    if (auto kept = takeIdle(pool)) {
        co_return std::move(kept);
    }
    const double own
        = connectionCap * sConnectionsUsed / std::max<std::uint32_t>(mMembers->gatewayCount(), 1);
    if (connectionCap > 0 && pool.open >= std::max(own, 1.0)) {
        co_return tl::unexpected(LinkError::NotConnected);
    }
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        co_return tl::unexpected(LinkError::NotConnected);
    }
    ++pool.open;
    mMetrics.count("loom_replica_connections_total");
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
    if (link->isReusable() && mReplicas.find(id) != nullptr) {
        it->second.idle.push_back(std::move(link));
        return;
    }
    --it->second.open;
}

void ReplicaService::closeExpired(Pool &pool, std::chrono::steady_clock::time_point time)
{
    pool.open -= static_cast<std::uint32_t>(
        std::erase_if(pool.idle, [&](const std::unique_ptr<HttpLink> &link) {
            return link->usableUntil() <= time;
        }));
}

awaitable<void> ReplicaService::sweepLoop()
{
    while (!mStopped) {
        co_await sleepFor(sSweepEvery);
        mReplicas.sweep(now());
        const auto time = std::chrono::steady_clock::now();
        for (auto &[id, pool] : mPools) {
            closeExpired(pool, time);
        }
        std::erase_if(mPools, [&](const auto &item) {
            return item.second.open == 0 && mReplicas.find(item.first) == nullptr;
        });
    }
}

} // namespace Loom
