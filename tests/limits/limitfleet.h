/*
 * limitfleet.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "fleetgateway.h"
#include "loadreporter.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Loom {

/** A replica that counts the requests that reach it and may name a limit in its answers. */
class LimitedReplica
{
public:
    /** @p answersEvents: it answers with a stream of one event, as engines do. */
    LimitedReplica(asio::io_context &context, bool answersEvents);

    std::string address() const { return mReplica.address(); }
    /** Answers from now on name @p perSecond; nothing: none. */
    void name(std::optional<double> perSecond) { mNamed = perSecond; }
    /** Answers from now on state that it is cold for @p left; nothing: they don't. */
    void stateCold(std::optional<Milliseconds> left) { mColdLeft = left; }
    /** When requests came, oldest first. */
    const std::deque<Instant> &arrivals() const { return mArrivals; }
    /** Requests that came in [@p from, @p to). */
    int arrivedIn(Instant from, Instant to) const;
    /** The most requests in a span of @p length that ends at @p from or later. */
    int mostIn(Milliseconds length, Instant from) const;

private:
    ScriptedReplica::Answer answer(const std::string &head);

    bool mAnswersEvents;
    std::optional<double> mNamed;
    std::optional<Milliseconds> mColdLeft;
    std::deque<Instant> mArrivals;
    ScriptedReplica mReplica;
};

/** The agent's process beside a replica of an engine. */
class FleetAgent
{
public:
    FleetAgent(asio::io_context &context, MemoryStore &store, std::string box,
               const LimitedReplica &replica);

    void start();
    /** Ends it as a kill does. */
    void kill() { mKernel.stop(); }

private:
    MemberSettings mSettings;
    Kernel mKernel;
};

/** What the service and the first records of a fleet's replicas state about cold replicas. */
struct ColdFields
{
    double perSecond = 0; ///< zero: the configuration does not mention a rate
    Milliseconds left{0};
};

/** Gateways before replicas that may name limits, and callers at each gateway. */
class LimitFleet
{
public:
    enum class Kind : std::uint8_t
    {
        Plain, ///< a service without agents
        Engines, ///< with an agent beside each replica
    };

    LimitFleet(Kind kind, std::size_t gateways, std::size_t replicas, ColdFields cold = {});

    asio::io_context context{1};
    MemoryStore store{context.get_executor()};

    void run(std::function<awaitable<void>()> test);
    FleetGateway &gateway(std::size_t index) { return *mGateways[index]; }
    LimitedReplica &replica(std::size_t index) { return *mReplicas[index]; }
    awaitable<void> untilReady();
    /** Writes the record of a replica, which is cold for @p coldLeft. */
    void writeRecord(std::size_t index, Milliseconds coldLeft);
    /** Starts one more gateway, with callers if the others have them. */
    void addGateway();
    awaitable<void> waitFor(std::function<bool()> condition);
    /** One call, to its end. */
    awaitable<void> call(std::size_t gateway);
    /** Lets callers send each gateway @p perSecond requests, until stopCallers(). */
    void startCallers(double perSecond);
    awaitable<void> stopCallers();
    /** Ends a gateway as a kill does, and its callers with it. */
    void kill(std::size_t index);
    /** Lets a gateway leave; it serves its callers meanwhile. */
    void leave(std::size_t index);
    /** Whether no gateway has a membership record that another one knows of. */
    bool haveAllLeft();
    void killAgent(std::size_t index) { mAgents[index]->kill(); }

    int calls() const { return mCalls; }
    /** Answers with success so far. */
    int served() const { return mServed; }
    /** Answers so far that say that the request did not run. */
    int refused() const { return mRefused; }

private:
    awaitable<void> keepCalling(std::size_t gateway, double perSecond);

    Kind mKind;
    double mCallsPerSecond = 0;
    std::vector<std::unique_ptr<FleetGateway>> mGateways;
    std::vector<std::unique_ptr<LimitedReplica>> mReplicas;
    std::vector<std::unique_ptr<FleetAgent>> mAgents;
    std::vector<bool> mIsKilled;
    bool mIsCalling = false;
    int mCalls = 0;
    int mOpen = 0;
    int mServed = 0;
    int mRefused = 0;
};

} // namespace Loom
