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

/** One question to the agent of the replica at an address. */
struct LoadProbe
{
    std::string address;
    std::uint32_t patientWaiting = 0; ///< what this gateway has there, to be answered late
};

/**
 * Asks the agents of replicas how these stand, right before a choice among
 * them. Keeps one stream to each agent that is asked. Owned by the replica service.
 */
class LoadProber
{
public:
    using ReportHandler = std::function<void(const std::string &address, const ReplicaLoad &load)>;

    LoadProber(Kernel &kernel, Metrics &metrics, ReportHandler reportHandler);

    /**
     * Asks all at once and waits until they have answered, or some have and the
     * others take long, or none has for longer; lastReportAt() tells who did.
     */
    awaitable<void> probe(std::vector<LoadProbe> probes);
    /** Tells the agent that a request is on its way to the replica. */
    void announceRequest(const LoadProbe &probe);
    /** Asks without waiting, so that the link is there when it is needed. */
    void probeInBackground(const LoadProbe &probe);
    /** It left a question unanswered lately. */
    bool isUnresponsive(const std::string &address) const;
    /** When the agent was heard last; zero: not yet. */
    Instant lastReportAt(const std::string &address) const;
    /** Ends the links that nobody used for long. */
    void closeUnused();
    void stop() { mStopped = true; }

private:
    struct AgentConnection
    {
        PeerStreamPtr stream;
        bool isConnecting = false;
        std::uint32_t patientWaiting = 0; ///< to be told with the next question
        bool hasUnsentProbe = false; ///< one waits for the connection
        Instant oldestUnansweredAt; ///< the oldest question without an answer; zero: none
        std::deque<Instant> sentTimes; ///< questions on the stream that wait for their answers
        Instant lastUsedAt;
        Instant lastReportAt;
        Instant unresponsiveUntil;
        std::uint32_t missedProbes = 0; ///< questions in a row, answered late or not at all
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
