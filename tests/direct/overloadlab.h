/*
 * overloadlab.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "announcedsizes.h"
#include "enginemodel.h"
#include "intransitcount.h"
#include "probedchoice.h"
#include "replicaset.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Loom {

/**
 * Simulates gateways, engines and callers in virtual time, in steps of a millisecond.
 * Gateways know the engines' loads by delayed reports or by probing, and choose with
 * the production code. Owned by one test.
 */
class OverloadLab
{
public:
    /** Callers with the same rank and goal. */
    struct RequestClass
    {
        RequestRank rank;
        Milliseconds goal{400};
        double fraction = 1; ///< of all calls in a phase without factors
        double promptFactor = 1; ///< mean prompt, relative to the configured mean
        double answerFactor = 1; ///< mean answer, relative to the configured mean
    };

    struct Shape
    {
        std::size_t engines = 12;
        std::size_t gateways = 9;
        EngineProfile figures;
        Milliseconds goal{400};
        std::uint64_t seed = 1;
        std::size_t dataCentres = 1;
        /** Gateways probe agents before each choice; otherwise agents report periodically. */
        bool probesAgents = false;
        bool includesInTransit = true; ///< agents count announced requests
        int transitMs = 4; ///< time from a choice until the request reaches the engine
        /** Number of requests at an engine that makes it refuse others; zero: no limit. */
        std::size_t maxHeld = 0;
        int restMs = 0; ///< rest that an engine asks for with each such refusal
        bool readsNotices = true; ///< gateways apply the notices in answers
        std::size_t leaving = 0; ///< engines that announce from leaveAtMs on that they leave
        int leaveAtMs = 0;
        std::size_t refusing = 0; ///< engines that refuse all requests for some time
        int refusingFromMs = 0;
        int refusingUntilMs = 0;
        /** Spread of log-normal prompt and answer sizes; zero: exponential, up to 3 means. */
        double sizeSigma = 0;
        double maxSizeFactor = 12; ///< largest log-normal size, in mean sizes
        double maxAnswerFactor = 12; ///< the same for answers
        bool hasExactMean = false; ///< log-normal sizes are scaled so that the limit keeps the mean
        double namedSizes = 1; ///< fraction of the requests whose prompt size gateways know
        bool endsAtDeadline = false; ///< callers leave streams that are unfinished by then
        std::size_t slowEngines = 0; ///< the first engines, whose passes take longer
        double slowPace = 1; ///< of the slow engines, as their reports state it
        std::size_t crashing = 0; ///< the last engines, which end at crashAtMs for good
        int crashAtMs = 0;
        int reportLagMs = 0; ///< age of the engines' state in the answers of agents
        bool announcesSizes = false; ///< gateways announce the prompts' tokens to agents
        std::size_t earlierGateways = 0; ///< the first gateways, which announce no tokens
        double lostAnnouncements = 0; ///< fraction of all, also for the count in transit
        int agentsRestartAtMs = 0; ///< when agents lose what was announced; zero: never
        bool usesOwnSize = true; ///< gateways predict with the prompt's own tokens
        bool sharesDemand = false; ///< gateways exchange their call rates
        std::vector<RequestClass> classes; ///< empty: all calls have the goal above and no rank
        bool usesRanks = true; ///< gateways know the ranks and accounts of calls
        std::size_t accounts = 0; ///< zero: no call has an account
        double accountExponent = 1.2; ///< of the power law of the accounts' sizes
        double heavyAccountFraction = 0; ///< of all calls, added to those of the first account
        double repeatingFraction = 0; ///< callers that repeat at once, three times, when refused
        std::optional<std::size_t> repeatingAccount; ///< all its callers repeat so
        std::optional<std::size_t> deafGateway; ///< does not know of other gateways
        std::optional<std::size_t> restartedGateway; ///< loses its state at restartAtMs
        int restartAtMs = 0;
        /** Refuses calls by their rank before a choice instead of reserving capacity; for
            comparison. */
        bool usesCutoff = false;
    };

    /** Use of the engines that refused all requests for some time, after that time. */
    struct Recovery
    {
        std::size_t refusedPairs = 0; ///< pairs of such an engine and a gateway it refused
        std::size_t returnedPairs = 0; ///< those whose gateway sent a request there again
        double usedRatio = 0; ///< requests in the last seconds, against those at other engines
    };

    /** Counts of notices, and of requests that ignored them. */
    struct Notices
    {
        int rests = 0; ///< rests that engines asked for
        /** Most requests of one gateway in a rest, from half a second after its start. */
        int maxDuringRest = 0;
        int rejections = 0; ///< requests that engines refused
        int sentAfterLeaving = 0; ///< requests after the drain time of a leaving engine
        int announcedLeaving = 0; ///< pairs of a leaving engine and a gateway that it told
    };

    /** A constant call rate for some seconds. */
    struct Phase
    {
        int seconds = 0;
        double callsPerSecond = 0;
        /** Share of the calls by data centre, in any unit; empty: gateways get equal shares. */
        std::vector<double> shares;
        std::vector<double> factors; ///< of the calls by class; empty: all are 1
    };

    /** Outcomes of calls. */
    struct Outcomes
    {
        int calls = 0;
        int inTime = 0;
        int late = 0;
        int refused = 0; ///< after all attempts
        int refusedAtFirst = 0; ///< calls whose first attempt a gateway refused
    };

    /** Outcome of a call by its size. */
    struct SizedOutcome
    {
        std::size_t requestClass = 0;
        double prompt = 0; ///< tokens
        double work = 0; ///< tokens of the prompt, and ten times those of the answer
        bool isServed = false; ///< in time or late, and complete if streams end at the deadline
    };

    /** Outcomes of the calls whose first attempt was in one second. */
    struct Second : Outcomes
    {
        std::vector<Outcomes> byClass;
        std::vector<Outcomes> byAccount;
        std::vector<Outcomes> byGateway; ///< of the first attempt
    };

    explicit OverloadLab(Shape shape);

    /** Number of probes that gateways sent to agents. */
    std::uint64_t probes() const { return mProbes; }
    const Notices &notices() const { return mNotices; }
    /** Outcomes by data centre of the gateway called first, one entry per second each. */
    const std::vector<std::vector<Second>> &secondsByDataCentre() const
    {
        return mSecondsByDataCentre;
    }
    const std::vector<SizedOutcome> &sizedOutcomes() const { return mSizedOutcomes; }
    /** Requests that reached engines in another data centre than their gateway's, per second. */
    const std::vector<std::vector<int>> &remoteSends() const { return mRemoteSends; }
    /** The choices in their order: the index of the engine, or the negated retry delay. */
    const std::vector<std::int64_t> &decisions() const { return mDecisions; }
    /** Valid after a run with refusing engines. */
    Recovery recovery() const;
    /** Runs the phases and returns one entry per second. */
    std::vector<Second> run(const std::vector<Phase> &phases);
    /** Requests per second that the engines complete when all slots are in use. */
    double capacity() const;

private:
    struct Request
    {
        std::size_t gateway = 0;
        std::size_t firstGateway = 0;
        std::size_t dataCentre = 0; ///< of the gateway called first
        std::size_t engine = 0;
        std::size_t requestClass = 0;
        std::size_t account = 0;
        std::uint64_t repeatSeed = 0;
        int repeatsLeft = 0; ///< immediate retries of an impatient caller
        std::uint8_t urgencyLevel = 0;
        int firstAttemptAt = 0;
        int sentAt = 0;
        double prompt = 0;
        int eventsLeft = 0;
        bool isPatient = false;
        bool isRetry = false;
        bool hasStarted = false;
        bool isSizeNamed = true;
        double answerTokens = 0;
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
        std::vector<RequestPtr> active; ///< requests that have a slot
        int passEndsAt = 0;
        InTransitCount inTransit; ///< requests that gateways announced
        AnnouncedSizes announcedSizes;
        std::map<std::size_t, std::vector<Rest>> rests; ///< by gateway
        std::map<std::size_t, int> announcedLeavingAt; ///< by gateway
        std::map<std::size_t, int> returnedAt; ///< by gateway that was refused; negative: never
        int lateRequests = 0; ///< requests in the last seconds of the run
        bool hasCrashed = false;
        std::deque<ReplicaLoad> history; ///< states of the last milliseconds, the newest last
    };

    ReplicaSet newGateway(std::size_t index) const;
    void restart(std::size_t index);
    double classFactor(const Phase &phase) const;
    void sendOrRefuse(RequestPtr request, int time);
    void arrive(const RequestPtr &request, int time);
    void handleRefusal(const RequestPtr &request, int time);
    void checkNotices(const Request &request, int time);
    void announceLeaving(const Request &request, int time);
    bool isLeaving(std::size_t engine, int time) const;
    bool isRefusing(std::size_t engine, int time) const;
    void noteRecovery(const Request &request, int time);
    void scheduleRetry(RequestPtr request, int wait, int time);
    void abandonWaiting(int time);
    void runEngine(Engine &engine, int time);
    void endPass(Engine &engine, int time);
    void beginPass(Engine &engine, int time);
    ReplicaChoice choose(std::size_t gateway, const ReplicaQuery &query, int time);
    ReplicaLoad engineLoadReport(std::size_t engine) const;
    ReplicaLoad probeAnswer(std::size_t engine, int time);
    void report(std::size_t engine, int time);
    std::string dataCentreOf(std::size_t index) const;
    double drawSizeFactor(double limit);
    void drawSize(Request &request);
    void noteSize(const Request &request, bool isServed);
    bool isSizeKnown(const Request &request) const;
    double paceOf(std::size_t engine) const;
    void crash(std::size_t engine);
    void endAtDeadline(int time);
    void recordHistory(std::size_t engine);
    std::size_t drawGateway(const std::vector<double> &shares);
    void exchangeDemand(int time);
    void announce(const Request &request, int time);
    void followGateways();
    void note(const Request &request, int Outcomes::*outcome);
    void drawOrigin(Request &request, const std::vector<double> &factors);
    Milliseconds goalOf(const Request &request) const;
    bool isCutOff(const Request &request);
    void noteCutoff(const Request &request, bool isRefused);
    std::string replicaId(std::size_t engine) const;

    Shape mShape;
    std::vector<Engine> mEngines;
    std::vector<ReplicaSet> mGateways;
    std::multimap<int, RequestPtr> mInTransit; ///< requests to engines, by arrival time
    std::multimap<int, RequestPtr> mRefusals; ///< refused requests, by arrival at the gateway
    std::multimap<int, RequestPtr> mRetries; ///< requests of waiting callers, by retry time
    std::vector<Second> mSeconds;
    std::vector<std::vector<Second>> mSecondsByDataCentre;
    std::vector<std::vector<int>> mRemoteSends; ///< by data centre and second
    std::vector<std::vector<std::size_t>> mFollowed; ///< gateways whose status each one receives
    std::vector<std::string> mAccountNames;
    std::vector<std::map<RequestRank, RefusalRatio>> mCutoffs; ///< refusals by gateway and rank
    std::vector<double> mCutoffLevels; ///< number of ranks that each gateway refuses
    std::vector<SizedOutcome> mSizedOutcomes;
    int mNow = 0;
    std::mt19937_64 mRandom;
    std::uint64_t mProbes = 0;
    std::vector<std::int64_t> mDecisions;
    Notices mNotices;
};

} // namespace Loom
