/*
 * limitlab.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "limitlab.h"

#include "rendezvous.h"

#include <algorithm>
#include <numeric>

namespace Loom {

namespace {

constexpr int sSecond = 1'000;
constexpr int sRunMs = 500;
constexpr std::size_t sPlaces = 10;
constexpr int sAnswerMs = 100; ///< from a send to its answer's head
constexpr int sWarmUpMs = 3'000; ///< before the limits are named
constexpr int sSpanMs = 4'000;
constexpr int sKnownMs = 3'000;
constexpr double sTolerance = 1.5;
constexpr double sBeyond = 5;
// Until a gateway that was killed is missed, and the next one is home.
constexpr int sMissedMs = 1'300;
constexpr Milliseconds sKeeperPause{200};

} // namespace

LimitLab::LimitLab(Shape shape)
    : mShape(shape)
    , mGateways(shape.gateways)
    , mReplicas(shape.replicas)
    , mRandom(shape.seed)
{
    for (Gateway &gateway : mGateways) {
        gateway.limits.resize(shape.replicas);
        gateway.isTold.resize(shape.replicas);
        gateway.deniedUntil.resize(shape.replicas);
        gateway.own.resize(shape.replicas);
        gateway.hasToldSends.resize(shape.replicas);
        gateway.sent.resize(shape.replicas);
        mWeights.push_back(1 + shape.uneven * chance());
    }
    for (std::size_t index = 0; index < mReplicas.size(); ++index) {
        mReplicas[index].keeper = homeOf(index);
    }
}

Instant LimitLab::time() const
{
    return Instant(Milliseconds(10'000 + mNow));
}

std::size_t LimitLab::homeOf(std::size_t index) const
{
    std::size_t home = 0;
    std::uint64_t most = 0;
    for (std::size_t gateway = 0; gateway < mGateways.size(); ++gateway) {
        const std::uint64_t weight
            = rendezvousWeight(std::to_string(index), std::to_string(gateway));
        if (mGateways[gateway].isAlive && weight >= most) {
            most = weight;
            home = gateway;
        }
    }
    return home;
}

LimitLab::Result LimitLab::play()
{
    const auto limited = static_cast<double>(mReplicas.size()) * mShape.limitedShare;
    const double free = static_cast<double>(mReplicas.size()) - limited;
    const double perPlace = static_cast<double>(sSecond) / sRunMs;
    const double full = free * sPlaces * perPlace + limited * mShape.rate;
    double due = 0;
    for (mNow = 0; mNow < mShape.seconds * sSecond; ++mNow) {
        const bool isChange
            = mShape.changesEveryMs > 0 && mNow > sWarmUpMs && mNow % mShape.changesEveryMs == 0;
        if (mNow == sWarmUpMs || isChange) {
            changeRates();
        }
        if (mNow == mShape.seconds * sSecond / 2) {
            kill();
        }
        for (std::size_t index = 0; index < mReplicas.size(); ++index) {
            answer(index);
        }
        for (due += mShape.load * full / sSecond; due >= 1; due -= 1) {
            arrive();
        }
    }
    double taken = 0;
    double could = 0;
    for (const Replica &replica : mReplicas) {
        taken += replica.taken;
        could += replica.could;
    }
    mResult.limitUsed = could > 0 ? taken / could : 0;
    mResult.refused = static_cast<double>(mRefused) / mRequests;
    mResult.refusedWhileRoom = static_cast<double>(mRefusedWhileRoom) / mRequests;
    mResult.asksPerGateway
        = static_cast<double>(mAsks) / static_cast<double>(mGateways.size()) / mShape.seconds;
    return mResult;
}

void LimitLab::changeRates()
{
    const auto limited = static_cast<std::size_t>(
        static_cast<double>(mReplicas.size()) * mShape.limitedShare + 0.5);
    for (std::size_t index = 0; index < limited; ++index) {
        const double factor = mNow == sWarmUpMs ? 1 : 0.5 + 1.5 * chance();
        mReplicas[index].rate = mShape.rate * factor;
    }
}

void LimitLab::kill()
{
    const auto killed
        = static_cast<std::size_t>(static_cast<double>(mGateways.size()) * mShape.killShare);
    for (std::size_t gateway = 0; gateway < killed; ++gateway) {
        mGateways[gateway].isAlive = false;
    }
    for (std::size_t index = 0; index < mReplicas.size(); ++index) {
        Replica &replica = mReplicas[index];
        if (mGateways[replica.keeper].isAlive) {
            continue;
        }
        replica.keeper = homeOf(index);
        replica.keeperSince = mNow + sMissedMs;
        if (mShape.way == LimitWay::HomePermits) {
            replica.permits = SendPermits();
            replica.known = ReplicaRateLimit();
            for (Gateway &gateway : mGateways) {
                gateway.hasToldSends[index] = false;
            }
        }
    }
}

void LimitLab::answer(std::size_t index)
{
    Replica &replica = mReplicas[index];
    while (!replica.running.empty() && replica.running.front() <= mNow) {
        replica.running.pop_front();
    }
    while (!replica.answers.empty() && replica.answers.begin()->first <= mNow) {
        const auto [gateway, named] = replica.answers.begin()->second;
        replica.answers.erase(replica.answers.begin());
        if (named > 0) {
            noteNamed(gateway, index, named);
        }
    }
    // Before it named one, the first one counts.
    replica.rates.push_back(mNow < sWarmUpMs ? mShape.rate : replica.rate);
    if (replica.rates.size() > sSpanMs) {
        replica.rates.pop_front();
    }
    if (replica.rate > 0 && mNow >= sWarmUpMs + sSpanMs) {
        replica.could += replica.rate / sSecond;
    }
}

void LimitLab::noteNamed(std::size_t gateway, std::size_t index, double perSecond)
{
    Gateway &own = mGateways[gateway];
    own.isTold[index] = true;
    const LimitChange change = own.limits[index].name(perSecond, time());
    if (change == LimitChange::Nothing) {
        return;
    }
    const bool isShared = mShape.way == LimitWay::EqualShares;
    const double part = isShared ? static_cast<double>(mGateways.size()) : 1;
    own.own[index].setRate(perSecond / part, time());
    Replica &replica = mReplicas[index];
    if (replica.known.hear(perSecond, time()) != LimitChange::Nothing) {
        replica.permits.setRate(perSecond, time());
    }
}

std::size_t LimitLab::pickGateway()
{
    std::discrete_distribution<std::size_t> pick(mWeights.begin(), mWeights.end());
    std::size_t gateway = pick(mRandom);
    while (!mGateways[gateway].isAlive) {
        gateway = (gateway + 1) % mGateways.size();
    }
    return gateway;
}

void LimitLab::arrive()
{
    ++mRequests;
    const std::size_t gateway = pickGateway();
    std::vector<std::size_t> order(mReplicas.size());
    for (std::size_t index = 0; index < order.size(); ++index) {
        order[index] = index;
    }
    std::ranges::shuffle(order, mRandom);
    for (const std::size_t index : order) {
        if (hasRoom(mReplicas[index]) && maySend(gateway, index)) {
            send(gateway, index);
            return;
        }
    }
    ++mRefused;
    const bool isRoom = std::ranges::any_of(mReplicas, [&](const Replica &replica) {
        const bool isLimited = replica.rate > 0;
        return isLimited ? replica.permits.rate() > 0
                && replica.permits.wait(time()) == Microseconds(0) && replica.keeperSince <= mNow
                         : hasRoom(replica);
    });
    mRefusedWhileRoom += isRoom ? 1 : 0;
}

bool LimitLab::hasRoom(const Replica &replica) const
{
    return replica.running.size() < sPlaces;
}

bool LimitLab::maySend(std::size_t gateway, std::size_t index)
{
    Gateway &own = mGateways[gateway];
    const Replica &replica = mReplicas[index];
    // Agents are asked before a choice and tell what they know.
    const bool isTold = mShape.way == LimitWay::AgentPermits && replica.known.perSecond();
    if (!own.limits[index].perSecond() && !isTold) {
        return true;
    }
    switch (mShape.way) {
    case LimitWay::Nobody:
        return true;
    case LimitWay::EachAlone:
    case LimitWay::EqualShares:
        return own.own[index].take(time());
    case LimitWay::OneSender:
        return replica.keeper == gateway && replica.keeperSince <= mNow
            && own.own[index].take(time());
    case LimitWay::AgentPermits:
    case LimitWay::HomePermits:
        return own.deniedUntil[index] <= time() && takePermit(gateway, index);
    }
    return false;
}

bool LimitLab::takePermit(std::size_t gateway, std::size_t index)
{
    Gateway &own = mGateways[gateway];
    Replica &replica = mReplicas[index];
    ++mAsks;
    if (replica.keeperSince > mNow) {
        own.deniedUntil[index] = time() + sKeeperPause;
        return false;
    }
    const auto known = own.limits[index].perSecond();
    if (known && replica.known.hear(known, own.limits[index].heardAt()) != LimitChange::Nothing) {
        replica.permits.setRate(*known, time());
    }
    if (!own.hasToldSends[index]) {
        own.hasToldSends[index] = true;
        for (const Instant sent : own.sent[index]) {
            if (time() - sent < sSendWindow) {
                replica.permits.noteSend(sent);
            }
        }
    }
    const bool isGranted = replica.permits.take(time());
    own.deniedUntil[index] = time() + replica.permits.wait(time());
    return isGranted;
}

void LimitLab::send(std::size_t gateway, std::size_t index)
{
    Replica &replica = mReplicas[index];
    replica.running.push_back(mNow + sRunMs);
    replica.answers.insert({mNow + sAnswerMs, {gateway, replica.rate}});
    Gateway &own = mGateways[gateway];
    own.sent[index].push_back(time());
    if (own.sent[index].size() > 200) {
        own.sent[index].pop_front();
    }
    if (replica.rate <= 0) {
        return;
    }
    const bool isTold = own.isTold[index] || mShape.way == LimitWay::Nobody;
    if (mNow >= sWarmUpMs + sSpanMs) {
        ++replica.taken;
    }
    if (isTold) {
        replica.arrivals.push_back(mNow);
    }
    judge(replica);
}

void LimitLab::judge(const Replica &replica)
{
    if (mNow < sWarmUpMs + sKnownMs) {
        return;
    }
    const auto count = std::ranges::count_if(replica.arrivals,
                                             [&](int arrival) { return arrival > mNow - sSpanMs; });
    // By what it named all the while: a limit that falls undoes nothing.
    const double named = std::accumulate(replica.rates.begin(), replica.rates.end(), 0.0);
    const double allowed = sTolerance * named / sSecond + sBeyond;
    mResult.worstOfAllowed = std::max(mResult.worstOfAllowed, static_cast<double>(count) / allowed);
}

} // namespace Loom
