/*
 * loadprober.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "loadprober.h"

#include "clock.h"
#include "jsonlog.h"
#include "memberservice.h"
#include "metrics.h"
#include "peerhub.h"
#include "permitservice.h"
#include "wire.pb.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::string_view sLoadPath = "/replica-load";
// Once an agent has answered, the others are only waited for this long. This exceeds the
// round trip to the farthest data centre including the agent's poll of its engine.
constexpr Milliseconds sPartialAnswerTimeout{15};
// If no agent has answered by then, other agents are probed. Late answers still count.
constexpr Milliseconds sFirstAnswerTimeout{50};
// After a probe that was answered late or not at all, the agent counts as unresponsive for
// this long and others are probed in its place. The time doubles with each further missed
// probe and ends with an answer. Only about one request per such period is delayed by the
// timeouts above because of a dead box.
constexpr Milliseconds sUnresponsiveBackoff{150};
constexpr std::uint32_t sMaxBackoffDoublings = 4;
// A connection is closed if a probe on it stays unanswered for this long, since the peer may
// be unreachable without a reset of the connection.
constexpr Milliseconds sStreamLossTimeout{400};
// Lower bound of a measured round trip, since zero marks a report without a query.
constexpr Microseconds sMinRoundTrip{1};
constexpr Microseconds sUnsolicited{0};
// Long enough for any idle stream: a probe that is not answered is detected when the next one
// is sent.
constexpr std::chrono::hours sReportTimeout{1};
constexpr Milliseconds sIdleTimeout{5'000};
constexpr double sPermille = 1'000;

ReplicaLoad loadFromReport(const wire::ReplicaLoadReport &report)
{
    ReplicaLoad load;
    load.running = report.running();
    load.waiting = report.waiting();
    load.waitingPatient = report.waiting_patient();
    load.waitingTokens = report.waiting_tokens();
    load.memoryUsed = report.memory_used();
    load.memoryTotal = report.memory_total();
    load.pace = report.pace_permille() / sPermille;
    load.weightsVersion = report.weights_version();
    load.isAccepting = report.accepting();
    load.isLinkSlow = report.link_slow();
    load.includesInTransit = true;
    if (report.has_limit()) {
        load.limit = fromWireLimit(report.limit(), now());
        load.limit->wait = Microseconds(report.permit_wait_us());
    }
    return load;
}

} // namespace

LoadProber::LoadProber(Kernel &kernel, Metrics &metrics, ReportHandler reportHandler)
    : mHub(kernel.find<PeerHub>(PeerHub::sName))
    , mMembers(kernel.find<MemberService>(MemberService::sName))
    , mMetrics(metrics)
    , mReportHandler(std::move(reportHandler))
    , mReportReceived(kernel.executor())
{
}

bool LoadProber::isUnresponsive(const std::string &address) const
{
    const auto it = mConnections.find(address);
    return it != mConnections.end() && it->second.unresponsiveUntil > now();
}

Instant LoadProber::lastReportAt(const std::string &address) const
{
    const auto it = mConnections.find(address);
    return it == mConnections.end() ? Instant() : it->second.lastReportAt;
}

void LoadProber::probeInBackground(const LoadProbe &probe)
{
    sendProbe(probe, now());
}

// Uses the stream of the queries, so that the agent includes the request in its next report.
void LoadProber::announceRequest(const LoadProbe &probe)
{
    const auto it = mConnections.find(probe.address);
    if (it == mConnections.end() || !it->second.stream || !it->second.stream->isOpen()) {
        return;
    }
    wire::LoadQuery query;
    query.set_claim(true);
    query.set_prompt_tokens(probe.promptTokens);
    query.set_waiting_patient(probe.patientWaiting);
    it->second.stream->send(query);
}

awaitable<void> LoadProber::probe(std::vector<LoadProbe> probes)
{
    const Instant startedAt = now();
    for (const LoadProbe &probe : probes) {
        sendProbe(probe, startedAt);
    }
    mMetrics.count("load_questions", "asked", probes.size());
    const auto countUnanswered = [&] {
        return std::ranges::count_if(probes, [&](const LoadProbe &probe) {
            return mConnections[probe.address].lastReportAt < startedAt;
        });
    };
    while (!mStopped) {
        const auto unanswered = static_cast<std::size_t>(countUnanswered());
        const bool hasAnyAnswer = unanswered < probes.size();
        const Instant deadline
            = startedAt + (hasAnyAnswer ? sPartialAnswerTimeout : sFirstAnswerTimeout);
        if (unanswered == 0 || now() >= deadline) {
            break;
        }
        co_await mReportReceived.waitUntil(steadyTime(deadline));
    }
    for (const LoadProbe &probe : probes) {
        if (mConnections[probe.address].lastReportAt < startedAt) {
            markUnresponsive(probe.address, now());
        }
    }
}

void LoadProber::markUnresponsive(const std::string &address, Instant now)
{
    AgentConnection &connection = mConnections[address];
    if (connection.unresponsiveUntil > now) {
        return;
    }
    connection.unresponsiveUntil = now
        + sUnresponsiveBackoff * (1 << std::min(connection.missedProbes, sMaxBackoffDoublings));
    ++connection.missedProbes;
}

void LoadProber::sendProbe(const LoadProbe &probe, Instant now)
{
    AgentConnection &connection = mConnections[probe.address];
    if (connection.oldestUnansweredAt != Instant()
        && now - connection.oldestUnansweredAt > sStreamLossTimeout) {
        noteMissedProbe(probe.address, now);
    }
    connection.lastUsedAt = now;
    connection.patientWaiting = probe.patientWaiting;
    if (connection.oldestUnansweredAt == Instant()) {
        connection.oldestUnansweredAt = now;
    }
    if (connection.stream && connection.stream->isOpen()) {
        sendQuery(connection, now);
        return;
    }
    connection.hasUnsentProbe = true;
    if (!connection.isConnecting) {
        connection.isConnecting = true;
        asio::co_spawn(mReportReceived.executor(), connect(probe.address), asio::detached);
    }
}

void LoadProber::sendQuery(AgentConnection &connection, Instant sentAt)
{
    wire::LoadQuery query;
    query.set_waiting_patient(connection.patientWaiting);
    connection.stream->send(query);
    connection.sentTimes.push_back(sentAt);
}

// An agent answers the queries on a stream in the order of their arrival.
Microseconds LoadProber::takeRoundTrip(AgentConnection &connection, Instant now)
{
    if (connection.sentTimes.empty()) {
        return sUnsolicited;
    }
    const Microseconds roundTrip = now - connection.sentTimes.front();
    connection.sentTimes.pop_front();
    return std::max(roundTrip, sMinRoundTrip);
}

awaitable<void> LoadProber::connect(std::string address)
{
    const auto agent = mMembers.agentFor(address);
    PeerStreamPtr stream;
    if (agent) {
        stream = co_await mHub.open(*agent, std::string(sLoadPath));
    }
    AgentConnection &connection = mConnections[address];
    connection.isConnecting = false;
    if (!stream || mStopped) {
        noteMissedProbe(address, now());
        co_return;
    }
    connection.stream = stream;
    connection.sentTimes.clear();
    asio::co_spawn(mReportReceived.executor(), receive(address, stream), asio::detached);
    if (std::exchange(connection.hasUnsentProbe, false)) {
        sendQuery(connection, now());
    }
}

awaitable<void> LoadProber::receive(std::string address, PeerStreamPtr stream)
{
    while (!mStopped) {
        const auto deadline = std::chrono::steady_clock::now() + sReportTimeout;
        const auto report = co_await stream->receiveMessage<wire::ReplicaLoadReport>(deadline);
        if (!report || !*report) {
            break;
        }
        AgentConnection &connection = mConnections[address];
        if (connection.stream != stream) {
            break;
        }
        ReplicaLoad load = loadFromReport(**report);
        load.roundTrip = takeRoundTrip(connection, now());
        connection.lastReportAt = now();
        connection.oldestUnansweredAt = Instant();
        connection.unresponsiveUntil = Instant();
        connection.missedProbes = 0;
        mMembers.noteHeard((*report)->member());
        mReportHandler((*report)->address(), load);
        mReportReceived.notify();
        // Either this report is late, or an earlier query was never answered, so that each
        // report is matched with an older query and all measured round trips are too long.
        if (load.roundTrip > sStreamLossTimeout) {
            break;
        }
    }
    stream->reset();
    const auto it = mConnections.find(address);
    if (it != mConnections.end() && it->second.stream == stream) {
        it->second.stream.reset();
    }
}

void LoadProber::noteMissedProbe(const std::string &address, Instant now)
{
    mMetrics.count("load_questions", "unanswered");
    logLine(LogLevel::Info, "agent-silent",
            {{"replica", address}, {"missed", mConnections[address].missedProbes}});
    markUnresponsive(address, now);
    closeConnection(mConnections[address]);
}

// Closes the whole connection, not only the stream: a connection can stop delivering data
// without a reset while new connections to the same agent work.
void LoadProber::closeConnection(AgentConnection &connection)
{
    connection.oldestUnansweredAt = Instant();
    connection.hasUnsentProbe = false;
    if (connection.stream) {
        connection.stream->connection()->close();
        connection.stream.reset();
    }
}

void LoadProber::closeUnused()
{
    const Instant time = now();
    std::erase_if(mConnections, [&](const auto &item) {
        const AgentConnection &connection = item.second;
        const bool isUnused
            = !connection.isConnecting && time - connection.lastUsedAt > sIdleTimeout;
        if (isUnused && connection.stream) {
            connection.stream->reset();
        }
        return isUnused;
    });
}

} // namespace Loom
