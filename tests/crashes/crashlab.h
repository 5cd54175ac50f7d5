/*
 * crashlab.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "quarantine.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Loom {

/** What gateways of a CrashLab remember of requests that replicas ended under. */
enum class CrashMemory : std::uint8_t
{
    Nothing, ///< each call is new
    EachAlone, ///< each gateway counts what it saw itself
    ToldCuts, ///< every cut connection counts, and is told to the others
    ToldCrashes, ///< only replicas that ended count
};

/**
 * Gateways, replicas and callers in virtual time, a millisecond a step. Some requests end
 * the replicas that run them and come again; replicas also end by chance or reset
 * connections. The gateways' memory is the product's own. Owned by one test.
 */
class CrashLab
{
public:
    struct Shape
    {
        std::size_t gateways = 7;
        std::size_t replicas = 20;
        std::size_t places = 16;
        std::size_t guilty = 1; ///< requests that end what runs them
        std::size_t guiltyParts = 0; ///< prompt parts that end what runs requests with them
        int partReturnsAfterMs = 100; ///< between two requests with one of these parts
        int guiltyFromMs = 0; ///< when the first of all these comes
        std::size_t firstParts = 0; ///< that all requests share; 0: requests have no parts
        std::size_t middleParts = 60;
        double rareShare = 0.05; ///< of the requests, whose middle part few others have
        int killAllAtMs = -1; ///< all gateways are killed then, and begin anew
        int cutFromMs = -1; ///< half of the gateways hear nothing of the others from then on
        int cutUntilMs = -1;
        bool isStoreAway = false; ///< no record is written
        int returnsAfterMs = 700;
        int toldAfterMs = 30; ///< from one gateway to all others
        double crashesPerSecond = 0; ///< by chance, of all replicas
        double resetShare = 0; ///< of the runs at one replica in six
        double load = 0.6; ///< of all places
        double commonShare = 0.2; ///< of the requests, that many callers send alike
        int seconds = 60;
        std::uint64_t seed = 1;
        CrashMemory memory = CrashMemory::ToldCrashes;
        QuarantineLimits bounds;
    };

    struct Result
    {
        int guiltySends = 0; ///< the most for one request
        int lateSends = 0; ///< of those, later than three seconds after its third crash
        int crashes = 0; ///< of replicas
        int innocents = 0; ///< requests
        int refused = 0; ///< innocent, and taken for guilty
        int lost = 0; ///< innocent, and cut with no repeat left, its caller's one included
        int partSends = 0; ///< the most for one guilty part
        int latePartSends = 0; ///< of those, later than the bound after its fifth crash
        int partCrashes = 0; ///< the most under one guilty part
        int beganBefore = 0; ///< innocent, at their first attempt, before the guilty come
        int askedBefore = 0;
        int beganAfter = 0; ///< the same from twice the bound after a part's fifth crash
        int askedAfter = 0;
        int refusedForParts = 0; ///< innocent, and refused for a part
    };

    explicit CrashLab(Shape shape);
    Result play();

private:
    struct Request
    {
        std::vector<QuarantineSubject> subjects; ///< the whole request first
        std::size_t gateway = 0;
        std::size_t replica = 0;
        int writesFrom = 0;
        int endsAt = 0;
        int sends = 0; ///< in this call
        bool isGuilty = false;
        bool isReturn = false; ///< its caller's second call
        bool isReset = false; ///< its connection will be, instead of a good end
        std::size_t guiltyIndex = 0;
    };

    struct Replica
    {
        int life = 0;
        int backAt = 0; ///< it runs from then on
        std::vector<Request> running;
    };

    struct Guilty
    {
        std::optional<PromptPart> part; ///< nothing: one whole request
        int nextAt = 0;
        int sends = 0;
        int crashes = 0;
        int lateSends = 0;
        int boundFrom = 0; ///< time of the crash from which on few more are allowed
    };

    bool isHome(const QuarantineSubject &subject, std::size_t gateway) const;
    bool isRefused(const Request &request) const;
    bool isCut(std::size_t gateway, std::size_t other) const;
    void addParts(Request &request, const std::optional<PromptPart> &guilty);
    void countAttempt(const Request &request, bool hasBegun);
    void noteGuiltySend(Guilty &guilty);
    void noteSuccess(const Request &request);
    void record(std::size_t gateway);
    void killAll();
    void begin(Request request);
    void arrive();
    void lose(Request request);
    void comeAgain(std::size_t guilty);
    void step(Replica &replica, std::size_t index);
    void crash(std::size_t index);
    void cut(Request request, bool hasCrashed, const std::string &life);
    void tell(std::size_t gateway, const QuarantineSubject &subject, int delayMs);
    std::size_t pick(std::size_t count) { return mRandom() % count; }
    bool chance(double probability);

    Shape mShape;
    std::vector<Quarantine> mGateways;
    std::vector<Replica> mReplicas;
    std::vector<Guilty> mGuilty;
    std::multimap<int, std::pair<std::size_t, QuarantineEntry>> mOnTheWay; ///< news, by arrival
    std::map<QuarantineSubject, QuarantineEntry> mRecords; ///< in the store
    std::multimap<int, Request> mReturning; ///< innocent, by when their callers call again
    std::mt19937_64 mRandom;
    Result mResult;
    int mTime = 0;
    int mMade = 0;
};

} // namespace Loom
