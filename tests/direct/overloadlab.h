/*
 * overloadlab.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "enginemodel.h"
#include "intransitcount.h"
#include "probedchoice.h"
#include "replicaset.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Loom {

/**
 * Gateways, engines and callers in virtual time, a millisecond a step. Gateways
 * know the engines by reports that lag or by asking, and choose with the product's
 * own code.
 * Owned by one test.
 */
class OverloadLab
{
public:
    struct Shape
    {
        std::size_t engines = 12;
        std::size_t gateways = 9;
        EngineFigures figures;
        Milliseconds goal{400};
        std::uint64_t seed = 1;
        std::size_t dataCentres = 1;
        /** Gateways ask agents before each choice; otherwise reports come by themselves. */
        bool probesAgents = false;
        bool includesInTransit = true; ///< and tell them at once what they send
        int transitMs = 4; ///< from a choice until the request is at the engine
        /** An engine with so many requests turns further ones away; zero: none does. */
        std::size_t maxHeld = 0;
        int restMs = 0; ///< that it asks for with each such refusal
        bool readsNotices = true; ///< gateways read what engines say of themselves
        std::size_t leaving = 0; ///< engines that say from leaveAtMs on that they leave
        int leaveAtMs = 0;
    };

    /** What engines that said something of themselves got afterwards, by gateway. */
    struct Notices
    {
        int rests = 0; ///< that were asked for
        int maxDuringRest = 0; ///< requests from one gateway, half a second after it was asked
        int rejections = 0;
        int sentAfterLeaving = 0; ///< requests, once the drain time was over
        int announcedLeaving = 0; ///< gateways that an engine told so, for each engine
    };

    /** Calls a second for some seconds. */
    struct Phase
    {
        int seconds = 0;
        double callsPerSecond = 0;
    };

    /** What became of the calls of one second, by their first try. */
    struct Second
    {
        int asked = 0;
        int inTime = 0;
        int late = 0;
        int refused = 0; ///< for good
    };

    explicit OverloadLab(Shape shape);

    /** Questions that agents were asked. */
    std::uint64_t probes() const { return mProbes; }
    const Notices &notices() const { return mNotices; }
    /** One entry a second. */
    std::vector<Second> play(const std::vector<Phase> &phases);
    /** Requests a second that the engines finish when all their slots are full. */
    double capacity() const;

private:
    struct Request
    {
        std::size_t gateway = 0;
        std::size_t engine = 0;
        int firstAttemptAt = 0;
        int sentAt = 0;
        double prompt = 0;
        int eventsLeft = 0;
        bool isPatient = false;
        bool isRetry = false;
        bool hasBegun = false;
        std::vector<std::string> refusedBy;
    };
    using RequestPtr = std::shared_ptr<Request>;

    struct Rest
    {
        int from = 0;
        int until = 0;
        int requests = 0;
    };

    struct Engine
    {
        std::deque<RequestPtr> waiting;
        std::vector<RequestPtr> inPass; ///< hold a slot, the first event to come or come already
        int passEndsAt = 0;
        InTransitCount claims;
        std::map<std::size_t, std::vector<Rest>> rests; ///< by gateway
        std::map<std::size_t, int> announcedLeavingAt; ///< by gateway
    };

    void call(RequestPtr request, int time);
    void arrive(const RequestPtr &request, int time);
    void handleRefusal(const RequestPtr &request, int time);
    void checkNotices(const Request &request, int time);
    void announceLeaving(const Request &request, int time);
    bool isLeaving(std::size_t engine, int time) const;
    void comeBack(RequestPtr request, int wait, int time);
    void abandonWaiting(int time);
    void runEngine(Engine &engine, int time);
    void endPass(Engine &engine, int time);
    void beginPass(Engine &engine, int time);
    ReplicaChoice choose(std::size_t gateway, const ReplicaQuery &query, int time);
    ReplicaLoad engineLoadReport(std::size_t engine) const;
    ReplicaLoad probeAnswer(std::size_t engine, int time);
    void report(std::size_t engine, int time);
    std::string dataCentreOf(std::size_t index) const;
    Second &secondOf(const Request &request);
    std::string replicaId(std::size_t engine) const;

    Shape mShape;
    std::vector<Engine> mEngines;
    std::vector<ReplicaSet> mGateways;
    std::multimap<int, RequestPtr> mInTransit; ///< to an engine, by arrival
    std::multimap<int, RequestPtr> mRefusals; ///< of engines, by arrival at the gateway
    std::multimap<int, RequestPtr> mRetries; ///< by when the caller comes back
    std::vector<Second> mSeconds;
    std::mt19937_64 mRandom;
    std::uint64_t mProbes = 0;
    Notices mNotices;
};

} // namespace Loom
