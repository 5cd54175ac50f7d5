/*
 * limitlab.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "replicapermits.h"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Loom {

/** Who may send to a replica of a LimitLab that named a limit. */
enum class LimitWay : std::uint8_t
{
    Nobody, ///< keeps it: the limit is not read
    EachAlone, ///< each gateway keeps the whole limit for itself
    EqualShares, ///< each gateway keeps its part of it
    OneSender, ///< the replica's home gateway alone sends to it
    AgentPermits, ///< the agent beside it hands out the sends
    HomePermits, ///< its home gateway hands them out
};

/**
 * Gateways, replicas and callers in virtual time, a millisecond a step. Some replicas name
 * a limit and change it, or are cold from their return on. Knowledge and permits are the product's
 * own. Owned by one test.
 */
class LimitLab
{
public:
    struct Shape
    {
        std::size_t gateways = 9;
        std::size_t replicas = 12;
        double limitedShare = 0.5; ///< of the replicas
        double rate = 2.3; ///< that these name, requests a second
        int changesEveryMs = 0; ///< each draws half to twice the rate anew; zero: never
        double load = 0.6; ///< of what all can take
        double uneven = 0; ///< the busiest gateway gets so much more than its part
        double killShare = 0; ///< of the gateways, in the midst
        double coldRate = 0; ///< the limited replicas are cold at it instead; zero: they are not
        int sendDelayMs = 0; ///< longest time from a permit to the arrival at a cold replica
        std::size_t joining = 0; ///< gateways that start within a second in the midst
        double cutShare = 0; ///< of the gateways, cut off from the permit owners in the midst
        double rush = 1; ///< the load from the midst on, by the load before
        int ownerGoneMs = 0; ///< the permit owners end in the midst and start again after it
        int ownerRestartMs = 0; ///< they start again this often from the midst on; zero: never
        int seconds = 30;
        std::uint64_t seed = 1;
        LimitWay way = LimitWay::AgentPermits;
    };

    struct Result
    {
        double worstOfAllowed = 0; ///< told gateways' sends, by what is allowed
        double limitUsed = 0; ///< of what the limited ones take while there is demand
        double refused = 0; ///< share of the requests
        double refusedWhileRoom = 0; ///< share, though a replica would have taken one
        double asksPerGateway = 0; ///< a second
        double mostOfColdBound = 0; ///< arrivals in any second at a cold replica, by its bound
        double coldUsed = 0; ///< of what cold replicas take while their permit owners are there
    };

    explicit LimitLab(Shape shape);
    Result play();

private:
    struct Gateway
    {
        bool isAlive = true;
        std::vector<ReplicaRateLimit> limits; ///< by replica
        std::vector<bool> isTold;
        std::vector<Instant> deniedUntil;
        std::vector<SendPermits> own; ///< its own part, in the ways without permits
        std::vector<bool> hasToldSends;
        std::vector<std::deque<Instant>> sent;
        int startsAt = 0;
        bool isCut = false;
        std::vector<int> knowsAt; ///< when the record of each gateway arrives
    };

    struct Replica
    {
        double rate = 0; ///< zero: it names none
        std::deque<double> rates; ///< named in each millisecond of the last span
        std::deque<int> running; ///< when each ends
        std::deque<int> arrivals; ///< from gateways that were told
        std::multimap<int, std::pair<std::size_t, double>> answers; ///< on their way: to, named
        ReplicaPermits permits; ///< with what is known by who hands them out
        std::map<std::size_t, ReplicaPermits> coldPermits; ///< by permit owner
        std::multiset<int> coldArrivals;
        int coldSends = 0;
        int coldCouldMs = 0;
        std::size_t keeper = 0; ///< a gateway, in the ways that have a home
        int keeperSince = 0;
        int taken = 0;
        double could = 0;
    };

    bool isColdPlay() const { return mShape.coldRate > 0; }
    bool isCold(std::size_t index) const;
    bool hasOwners() const;
    void joinAndCut();
    void restartOwners();
    void noteColdTime();
    std::size_t knownGateways(std::size_t gateway) const;
    std::size_t recordedHome(std::size_t index, std::size_t gateway) const;
    bool maySendCold(std::size_t gateway, std::size_t index);
    bool takeColdPermit(std::size_t gateway, std::size_t index);
    void sendCold(std::size_t gateway, std::size_t index);
    void changeRates();
    void kill();
    void answer(std::size_t index);
    void arrive();
    bool maySend(std::size_t gateway, std::size_t index);
    bool takePermit(std::size_t gateway, std::size_t index);
    void send(std::size_t gateway, std::size_t index);
    void noteNamed(std::size_t gateway, std::size_t index, double perSecond);
    void judge(const Replica &replica);
    bool hasRoom(std::size_t index) const;
    std::size_t homeOf(std::size_t index) const;
    std::size_t pickGateway();
    double chance() { return std::uniform_real_distribution<double>(0, 1)(mRandom); }
    Instant time() const;

    Shape mShape;
    std::vector<Gateway> mGateways;
    std::vector<Replica> mReplicas;
    std::vector<double> mWeights; ///< of the gateways, in what comes to them
    std::mt19937_64 mRandom;
    Result mResult;
    int mNow = 0;
    int mRequests = 0;
    int mRefused = 0;
    int mRefusedWhileRoom = 0;
    int mAsks = 0;
};

} // namespace Loom
