/*
 * loadasker.h
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
struct LoadQuestion
{
    std::string address;
    std::uint32_t patientWaiting = 0; ///< what this gateway has there, to be answered late
};

/**
 * Asks the agents of replicas how these stand, right before a choice among
 * them. Keeps one stream to each agent that is asked. Owned by the replica service.
 */
class LoadAsker
{
public:
    using Heard = std::function<void(const std::string &address, const ReplicaLoad &load)>;

    LoadAsker(Kernel &kernel, Metrics &metrics, Heard heard);

    /**
     * Asks all at once and waits until they have answered, or some have and the
     * others take long, or none has for longer; heardAt() tells who did.
     */
    awaitable<void> ask(std::vector<LoadQuestion> questions);
    /** Tells the agent that a request is on its way to the replica. */
    void claim(const LoadQuestion &question);
    /** Asks without waiting, so that the link is there when it is needed. */
    void keepWarm(const LoadQuestion &question);
    /** It left a question unanswered lately. */
    bool isSilent(const std::string &address) const;
    /** When the agent was heard last; zero: not yet. */
    Instant heardAt(const std::string &address) const;
    /** Ends the links that nobody used for long. */
    void closeUnused();
    void stop() { mStopped = true; }

private:
    struct Link
    {
        PeerStreamPtr stream;
        bool isConnecting = false;
        std::uint32_t patientWaiting = 0; ///< to be told with the next question
        bool hasQuestion = false; ///< one waits for the connection
        Instant askedAt; ///< the oldest question without an answer; zero: none
        std::deque<Instant> open; ///< questions on the stream that wait for their answers
        Instant usedAt;
        Instant heardAt;
        Instant silentUntil;
        std::uint32_t missed = 0; ///< questions in a row, answered late or not at all
    };

    void send(const LoadQuestion &question, Instant now);
    awaitable<void> connect(std::string address);
    awaitable<void> receive(std::string address, PeerStreamPtr stream);
    void avoid(const std::string &address, Instant now);
    void noteMissed(const std::string &address, Instant now);
    static void put(Link &link, Instant askedAt);
    static Microseconds answerTime(Link &link, Instant now);
    void dropStream(Link &link);

    PeerHub &mHub;
    MemberService &mMembers;
    Metrics &mMetrics;
    Heard mHeard;
    Signal mAnswered;
    std::map<std::string, Link> mLinks;
    bool mStopped = false;
};

} // namespace Loom
