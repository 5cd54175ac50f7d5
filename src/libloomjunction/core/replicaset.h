/*
 * replicaset.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "enginemodel.h"
#include "instant.h"
#include "routetable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Loom {

class WeightsGoal;

/** What a replica says of itself in the store. One life of it has one id. */
struct ReplicaRecord
{
    std::string id;
    std::string service;
    std::string address; ///< IP:PORT
    std::string dataCentre;
    std::uint32_t slots = 1;
    std::uint64_t offset = 0; ///< of the record in the store; later lives have higher ones
    bool isDraining = false;
    /** Version of the weights that are loaded whole; zero: none, or a plain service. */
    std::uint64_t weightsVersion = 0;
};

/** What the agent of a replica's box says of it, as it stands right now. */
struct ReplicaLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t waitingPatient = 0; ///< of those: sent as patient, by all gateways
    std::uint64_t memoryUsed = 0;
    std::uint64_t memoryTotal = 0;
    double pace = 1; ///< above one: slower than it should be
    std::uint64_t weightsVersion = 0; ///< loaded whole; zero: none
    bool isLinkSlow = false; ///< what is sent to its box may arrive late
    bool isAccepting = true; ///< false while it loads weights or leaves
};

/** How a request that was sent to a replica ended, for the choice of later ones. */
enum class ReplicaOutcome : std::uint8_t
{
    Answered,
    Failed, ///< it answered with a failure of its own
    Refused, ///< it said that it did not run the request
    Broken, ///< no answer, or none that can be trusted
    Unreachable, ///< no connection; nothing was sent
    Abandoned, ///< the caller left, or its time was over
};

/** One replica as this entry sees it. */
struct Replica
{
    ReplicaRecord record;
    std::uint32_t inFlight = 0; ///< sent by this entry and not ended
    std::optional<ReplicaLoad> load; ///< what its agent said last
    Instant loadAt;
    double reportGapMs = 0; ///< smoothed time between two reports of its agent
    std::uint32_t startedSince = 0; ///< by this entry, that the agent cannot have counted
    std::vector<Instant> startedLately; ///< times of those, and of some before
    std::uint32_t endedSince = 0; ///< of those, and of earlier ones
    std::uint32_t awaiting = 0; ///< sent by this entry, without a first byte of an answer
    std::uint32_t patientWaiting = 0; ///< of those: sent as patient
    Instant avoidedUntil;
    std::uint32_t failures = 0; ///< in a row
    double failureRate = 0; ///< smoothed share of requests that failed
    double answerMs = 0; ///< smoothed time to an answer or a first event
    Instant goneAt; ///< the store took its record away; zero: it did not

    std::uint64_t weightsVersion() const;
};

/** What a request needs of a replica. */
struct ReplicaQuery
{
    std::string_view service;
    std::string_view dataCentre; ///< of this entry
    const EngineFigures *engine = nullptr; ///< null for a plain service
    Milliseconds goal{0};
    double promptTokens = 0; ///< zero: unknown
    std::uint64_t leastVersion = 0; ///< of the weights; zero: any, and none is needed
    /** Of the named weights and their model: which are over soon. Null for a plain service. */
    const WeightsGoal *weights = nullptr;
    std::string_view model;
    std::uint32_t entries = 1; ///< that share the replicas
    /** Since the caller first tried, here or elsewhere; the goal counts from then. */
    Milliseconds waited{0};
    /** The caller has the beginning of its answer and waits for the rest. */
    bool isResumed = false;
    std::span<const std::string> excluded; ///< ids
    std::uint64_t random = 0;
};

/** No replica of the service can take a request now, whatever its load. */
struct NoneUsable
{
    std::uint32_t known = 0;
};
/** All are too busy to answer within the goal. */
struct AllBusy
{
    Milliseconds comeBack{0};
    double leastLoad = 0; ///< requests for each slot at the least busy one
};
struct ChosenReplica
{
    std::string id;
    bool isPatient = false; ///< it will be answered after the goal
    double load = 0; ///< requests there, for each slot, as believed
    Milliseconds loadAge{-1}; ///< of the agent's report; below zero: none
    double answerMs = 0; ///< expected time to an answer or a first event
};
using ReplicaChoice = std::variant<ChosenReplica, AllBusy, NoneUsable>;

/**
 * The replicas that an entry sends requests to without an agent in between,
 * and the choice among them. Owned by the replica service.
 */
class ReplicaSet
{
public:
    /** @p drainTime: a replica that leaves gets nothing after it. */
    explicit ReplicaSet(Milliseconds drainTime)
        : mDrainTime(drainTime)
    {
    }

    /** A record of the store, new or changed. Draining is final for one id. */
    void put(const ReplicaRecord &record, Instant now);
    /** The record was taken away; @p trusted: by a store that was well all the while. */
    void remove(std::string_view id, bool trusted, Instant now);
    /** Another replica answered at the address of @p id, so its life is over. */
    void replaced(std::string_view id, Instant now);
    /** An agent's report on the replica at @p address. */
    void report(std::string_view address, const ReplicaLoad &load, Instant now);
    /** The agent of @p address cannot be heard any more. */
    void reportLost(std::string_view address);

    ReplicaChoice choose(const ReplicaQuery &query, Instant now) const;

    /** A caller's request for @p service came. */
    void noteCall(std::string_view service, Milliseconds goal, Instant now);
    void began(std::string_view id, bool isPatient, Instant now);
    /** The answer or its first event came, @p took after the request was sent. */
    void answerBegan(std::string_view id, bool isPatient, Microseconds took);
    void ended(std::string_view id, ReplicaOutcome outcome, Instant now);
    /** The request ends without an answer; ended() follows. */
    void answerMissed(std::string_view id, bool isPatient);

    const Replica *find(std::string_view id) const;
    const std::map<std::string, Replica, std::less<>> &all() const { return mReplicas; }

    /** Takes replicas out for good that no request uses any more. */
    void sweep(Instant now);

private:
    /** What a replica can do for one request. Times in milliseconds. */
    struct Offer
    {
        double answer = 0; ///< expected time to an answer or a first event
        double cost = 0; ///< of choosing it, for comparison
        double step = 1; ///< by which one more request raises the cost
        double load = 0; ///< requests ahead, for each slot
        double room = 0; ///< further requests that it could take within the goal
        double freePlaces = 0; ///< slots that nobody runs in or waits for
        bool isPrompt = false; ///< it meets the goal
        bool isOpen = false; ///< it takes a request that misses the goal
    };

    void retireEarlierLives(const ReplicaRecord &record, Instant now);
    static void stopAwaiting(Replica &replica, bool isPatient);
    static bool isUsable(const Replica &replica, const ReplicaQuery &query, Instant now);
    static bool isSlow(const Replica &replica, const ReplicaQuery &query, double fastestMs);
    static Milliseconds comeBack(const ReplicaQuery &query, double leastLoad);
    double fastestAnswerMs(const ReplicaQuery &query, Instant now) const;
    EngineWork workOf(const Replica &replica, const ReplicaQuery &query, Instant now) const;
    bool beginsInTime(const Replica &replica, const ReplicaQuery &query, double fastestMs,
                      Instant now) const;
    static std::uint32_t patientRequests(const Replica &replica, Instant now);
    Offer offerOf(const Replica &replica, const ReplicaQuery &query, double fastestMs,
                  Instant now) const;
    Offer engineOffer(const Replica &replica, const ReplicaQuery &query, Instant now) const;
    static Offer plainOffer(const Replica &replica, const ReplicaQuery &query);
    /** What this gateway was asked for a service of late, halved again and again. */
    struct RecentCalls
    {
        double count = 0;
        std::map<Milliseconds, double> byGoal;
        Instant at;
    };

    struct Candidate
    {
        const Replica *replica = nullptr;
        Offer offer;
    };

    Milliseconds shortestGoal(std::string_view service) const;
    double callsPerMs(std::string_view service, Instant now) const;
    static const Candidate *pickLevelled(std::span<const Candidate> candidates, double requests,
                                         double random);
    std::vector<const Replica *> usableFor(const ReplicaQuery &query, double fastestMs,
                                           Instant now) const;

    Milliseconds mDrainTime;
    std::map<std::string, RecentCalls, std::less<>> mCalls; ///< by service
    std::map<std::string, Replica, std::less<>> mReplicas;
};

} // namespace Loom
