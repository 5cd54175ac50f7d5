/*
 * loadprober.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "kernel.h"
#include "peerstream.h"
#include "replica.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace Loom {

class MemberService;
class Metrics;
class PeerHub;

/** A load query for the agent of one replica. */
struct LoadProbe
{
    std::string address; ///< of the replica
    std::uint32_t patientWaiting = 0; ///< patient requests of this gateway that wait at the replica
    std::uint64_t promptTokens = 0; ///< of the announced request; zero: unknown
};

/**
 * Queries the agents of replicas for the current load right before a replica is chosen.
 * Keeps one stream open to each agent that it probes. Owned by the replica service.
 */
class LoadProber
{
public:
    using ReportHandler = std::function<void(const std::string &address, const ReplicaLoad &load)>;

    LoadProber(Kernel &kernel, Metrics &metrics, ReportHandler reportHandler);

    /**
     * Sends all probes at once and waits for the reports. Returns once all agents have
     * answered, and otherwise after a timeout that is shorter if at least one of them has.
     * lastReportAt() tells which agents have answered.
     */
    awaitable<void> probe(std::vector<LoadProbe> probes);
    /** Tells the agent that this gateway is sending a request to the replica. */
    void announceRequest(const LoadProbe &probe);
    /** Sends a probe without waiting for the report. Opens the connection if there is none. */
    void probeInBackground(const LoadProbe &probe);
    /** Whether the agent recently failed to answer in time, so that others are to be probed. */
    bool isUnresponsive(const std::string &address) const;
    /** When the last report of the agent arrived; zero: none has arrived yet. */
    Instant lastReportAt(const std::string &address) const;
    /** Closes connections that have not been used for some time. */
    void closeUnused();
    void stop() { mStopped = true; }

private:
    struct AgentConnection
    {
        PeerStreamPtr stream;
        bool isConnecting = false;
        std::uint32_t patientWaiting = 0; ///< sent with the next query
        bool hasUnsentProbe = false; ///< a probe is waiting for the connection
        Instant oldestUnansweredAt; ///< when the oldest unanswered probe was sent; zero: none
        std::deque<Instant> sentTimes; ///< of the unanswered queries on the stream
        Instant lastUsedAt;
        Instant lastReportAt;
        Instant unresponsiveUntil;
        std::uint32_t missedProbes = 0; ///< consecutive probes answered late or not at all
    };

    void sendProbe(const LoadProbe &probe, Instant now);
    awaitable<void> connect(std::string address);
    awaitable<void> receive(std::string address, PeerStreamPtr stream);
    void markUnresponsive(const std::string &address, Instant now);
    void noteMissedProbe(const std::string &address, Instant now);
    static void sendQuery(AgentConnection &connection, Instant sentAt);
    static Microseconds takeRoundTrip(AgentConnection &connection, Instant now);
    void closeConnection(AgentConnection &connection);

    PeerHub &mHub;
    MemberService &mMembers;
    Metrics &mMetrics;
    ReportHandler mReportHandler;
    Signal mReportReceived;
    std::map<std::string, AgentConnection> mConnections;
    bool mStopped = false;
};

} // namespace Loom
