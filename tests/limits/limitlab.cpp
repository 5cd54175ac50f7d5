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
#include <iterator>
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
// The bound of a cold replica: half as much again as its rate, and five, in any second.
constexpr double sColdFactor = 1.5;
constexpr double sColdBeyond = 5;
constexpr int sJoinMs = 1'000; ///< in which all joining gateways start
constexpr int sRecordMs = 600; ///< longest time for a membership record to arrive
constexpr int sNewHomeMs = 3'000; ///< a new home grants nothing so long
constexpr int sStallIntervalMs = 2 * sSecond;
constexpr int sMaxDenied = 6; ///< permits that are denied to a request

} // namespace

LimitLab::LimitLab(Shape shape)
    : mShape(shape)
    , mGateways(shape.gateways + shape.joining)
    , mReplicas(shape.replicas)
    , mRandom(shape.seed)
{
    const int middle = mShape.seconds * sSecond / 2;
    for (std::size_t number = 0; number < mGateways.size(); ++number) {
        Gateway &gateway = mGateways[number];
        const bool isJoining = number >= shape.gateways;
        gateway.isAlive = !isJoining;
        gateway.startsAt = isJoining ? middle + static_cast<int>(chance() * sJoinMs) : 0;
        gateway.knowsAt.resize(mGateways.size());
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
        joinAndCut();
        noteColdTime();
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
        const double rush = mNow < mShape.seconds * sSecond / 2 ? 1 : mShape.rush;
        for (due += rush * mShape.load * full / sSecond; due >= 1; due -= 1) {
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
    double coldCould = 0;
    double coldSends = 0;
    for (const Replica &replica : mReplicas) {
        coldCould += mShape.coldRate * replica.coldCouldMs / sSecond;
        coldSends += replica.coldSends;
    }
    mResult.coldUsed = coldCould > 0 ? coldSends / coldCould : 0;
    mResult.refused = static_cast<double>(mRefused) / mRequests;
    mResult.refusedWhileRoom = static_cast<double>(mRefusedWhileRoom) / mRequests;
    mResult.asksPerGateway
        = static_cast<double>(mAsks) / static_cast<double>(mGateways.size()) / mShape.seconds;
    return mResult;
}

// All limited replicas return together, cold, when the others have been in use for a while.
bool LimitLab::isCold(std::size_t index) const
{
    const double limited = static_cast<double>(mReplicas.size()) * mShape.limitedShare + 0.5;
    return isColdPlay() && index < static_cast<std::size_t>(limited);
}

bool LimitLab::hasOwners() const
{
    const int middle = mShape.seconds * sSecond / 2;
    return mNow < middle || mNow >= middle + mShape.ownerGoneMs;
}

void LimitLab::joinAndCut()
{
    const int middle = mShape.seconds * sSecond / 2;
    if (mNow == middle) {
        const auto cut
            = static_cast<std::size_t>(static_cast<double>(mGateways.size()) * mShape.cutShare);
        for (std::size_t gateway = 0; gateway < cut; ++gateway) {
            mGateways[gateway].isCut = true;
        }
    }
    const bool isRestart = mShape.ownerRestartMs > 0 && mNow >= middle
        && (mNow - middle) % mShape.ownerRestartMs == 0;
    if (isRestart || (mShape.ownerGoneMs > 0 && mNow == middle)) {
        restartOwners();
    }
    for (std::size_t number = mShape.gateways; number < mGateways.size(); ++number) {
        Gateway &joining = mGateways[number];
        if (joining.startsAt != mNow) {
            continue;
        }
        joining.isAlive = true;
        for (std::size_t other = 0; other < mGateways.size(); ++other) {
            const bool isOwn = other == number;
            mGateways[other].knowsAt[number]
                = isOwn ? mNow : mNow + static_cast<int>(chance() * sRecordMs);
        }
    }
}

// They start again without any knowledge, and no gateway tells its sends again, because it does not
// know that its owner is another process.
void LimitLab::restartOwners()
{
    for (Replica &replica : mReplicas) {
        replica.coldPermits.clear();
    }
}

void LimitLab::noteColdTime()
{
    for (std::size_t index = 0; index < mReplicas.size(); ++index) {
        if (isCold(index) && mNow >= sWarmUpMs && hasOwners()) {
            ++mReplicas[index].coldCouldMs;
        }
    }
}

std::size_t LimitLab::knownGateways(std::size_t gateway) const
{
    std::size_t known = 0;
    for (std::size_t other = 0; other < mGateways.size(); ++other) {
        const bool hasRecord = other < mShape.gateways
            || (mGateways[other].isAlive && mGateways[gateway].knowsAt[other] <= mNow);
        known += hasRecord ? 1 : 0;
    }
    return known;
}

std::size_t LimitLab::recordedHome(std::size_t index, std::size_t gateway) const
{
    std::size_t home = 0;
    std::uint64_t most = 0;
    for (std::size_t other = 0; other < mGateways.size(); ++other) {
        const bool hasRecord = other < mShape.gateways
            || (mGateways[other].isAlive && mGateways[gateway].knowsAt[other] <= mNow);
        const std::uint64_t weight = rendezvousWeight(std::to_string(index), std::to_string(other));
        if (hasRecord && weight >= most) {
            most = weight;
            home = other;
        }
    }
    return home;
}

bool LimitLab::maySendCold(std::size_t gateway, std::size_t index)
{
    if (mNow < sWarmUpMs) {
        return false;
    }
    Gateway &own = mGateways[gateway];
    if (mShape.way == LimitWay::EqualShares) {
        // A share of the rate by the number of gateways that this one knows.
        const double share = mShape.coldRate / static_cast<double>(knownGateways(gateway));
        if (own.own[index].rate() != share) {
            own.own[index].setRate(share, time(), sColdBurst);
        }
        return own.own[index].take(time());
    }
    return own.deniedUntil[index] <= time() && takeColdPermit(gateway, index);
}

bool LimitLab::takeColdPermit(std::size_t gateway, std::size_t index)
{
    ++mAsks;
    Gateway &own = mGateways[gateway];
    const bool isHome = mShape.way == LimitWay::HomePermits;
    const std::size_t owner = isHome ? recordedHome(index, gateway) : 0;
    const Gateway &home = mGateways[owner];
    const bool isCutOff = isHome ? own.isCut != home.isCut : own.isCut;
    // A home that is cut off does not hear most of the gateways, and a new one waits.
    const bool isWrongHome = isHome
        && (home.isCut || recordedHome(index, owner) != owner
            || (owner >= mShape.gateways && mNow < home.startsAt + sNewHomeMs));
    if (!hasOwners() || isCutOff || isWrongHome) {
        own.deniedUntil[index] = time() + sKeeperPause;
        return false;
    }
    std::vector<Instant> sends;
    if (!own.hasToldSends[index]) {
        own.hasToldSends[index] = true;
        std::ranges::copy_if(own.sent[index], std::back_inserter(sends),
                             [&](Instant sent) { return time() - sent < sSendWindow; });
    }
    ReplicaPermits &permits = mReplicas[index].coldPermits[owner];
    const ColdTime cold{mShape.coldRate, time() + Milliseconds(mShape.seconds * sSecond - mNow)};
    permits.apply(std::nullopt, Instant(), cold, sends, time());
    const bool isGranted = permits.take(time());
    own.deniedUntil[index] = time() + permits.wait(time());
    return isGranted;
}

void LimitLab::sendCold(std::size_t gateway, std::size_t index)
{
    Replica &replica = mReplicas[index];
    mGateways[gateway].sent[index].push_back(time());
    replica.coldSends += hasOwners() ? 1 : 0;
    // At regular times a link holds what is sent and then delivers it at once.
    const int phase = mNow % sStallIntervalMs;
    const int delay = phase < mShape.sendDelayMs ? mShape.sendDelayMs - phase
                                                 : static_cast<int>(chance() * mShape.sendDelayMs);
    replica.coldArrivals.insert(mNow + delay);
    // A later send may arrive earlier, so the seconds that it can still fill are judged again.
    const auto inSecondTo = [&](int end) {
        return std::distance(replica.coldArrivals.upper_bound(end - sSecond),
                             replica.coldArrivals.upper_bound(end));
    };
    const double bound = sColdFactor * mShape.coldRate + sColdBeyond;
    for (auto it = replica.coldArrivals.lower_bound(mNow); it != replica.coldArrivals.end(); ++it) {
        mResult.mostOfColdBound
            = std::max(mResult.mostOfColdBound, static_cast<double>(inSecondTo(*it)) / bound);
    }
    while (*replica.coldArrivals.begin() < mNow - 3 * sSecond) {
        replica.coldArrivals.erase(replica.coldArrivals.begin());
    }
}

void LimitLab::changeRates()
{
    const auto limited = static_cast<std::size_t>(
        static_cast<double>(mReplicas.size()) * mShape.limitedShare + 0.5);
    for (std::size_t index = 0; index < limited; ++index) {
        const double factor = mNow == sWarmUpMs ? 1 : 0.5 + 1.5 * chance();
        mReplicas[index].rate = isColdPlay() ? 0 : mShape.rate * factor;
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
            replica.permits = ReplicaPermits();
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
    replica.permits.apply(perSecond, time(), {}, {}, time());
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
    // Warm replicas go first.
    std::ranges::stable_partition(order, [&](std::size_t index) { return !isCold(index); });
    const int deniedBefore = mAsks;
    for (const std::size_t index : order) {
        if (isColdPlay() && mAsks - deniedBefore >= sMaxDenied) {
            break;
        }
        if (hasRoom(index) && maySend(gateway, index)) {
            send(gateway, index);
            return;
        }
    }
    ++mRefused;
    const bool isRoom = std::ranges::any_of(order, [&](std::size_t index) {
        const Replica &replica = mReplicas[index];
        const bool isLimited = replica.rate > 0;
        return isLimited ? replica.permits.perSecond(time())
                && replica.permits.wait(time()) == Microseconds(0) && replica.keeperSince <= mNow
                         : hasRoom(index);
    });
    mRefusedWhileRoom += isRoom ? 1 : 0;
}

// A cold replica has as much room as its rate needs.
bool LimitLab::hasRoom(std::size_t index) const
{
    return isCold(index) || mReplicas[index].running.size() < sPlaces;
}

bool LimitLab::maySend(std::size_t gateway, std::size_t index)
{
    if (isCold(index)) {
        return maySendCold(gateway, index);
    }
    Gateway &own = mGateways[gateway];
    const Replica &replica = mReplicas[index];
    // Agents are asked before a choice and tell what they know.
    const bool isTold = mShape.way == LimitWay::AgentPermits && replica.permits.perSecond(time());
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
    std::vector<Instant> sends;
    if (!own.hasToldSends[index]) {
        own.hasToldSends[index] = true;
        std::ranges::copy_if(own.sent[index], std::back_inserter(sends),
                             [&](Instant sent) { return time() - sent < sSendWindow; });
    }
    const Instant heardAt = known ? own.limits[index].heardAt() : Instant();
    replica.permits.apply(known, heardAt, {}, sends, time());
    const bool isGranted = replica.permits.take(time());
    own.deniedUntil[index] = time() + replica.permits.wait(time());
    return isGranted;
}

void LimitLab::send(std::size_t gateway, std::size_t index)
{
    Replica &replica = mReplicas[index];
    replica.running.push_back(mNow + sRunMs);
    if (isCold(index)) {
        sendCold(gateway, index);
        return;
    }
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
