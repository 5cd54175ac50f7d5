/*
 * overloadlab.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "overloadlab.h"

#include "fakelog.h"
#include "memberplan.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace Loom {

namespace {

constexpr int sReportIntervalMs = 50;
constexpr int sDeadlineMs = 6'000;
// Largest request in mean sizes, as an operator's limit on the body would set it.
constexpr double sMaxSizeFactor = 12;
constexpr int sStatusIntervalMs = 400; // of the messages in which gateways report their rates
constexpr int sFirstEventTimeoutMs = 2'400; // callers disconnect without an event for this long
// Required by the users: no requests in a rest after this grace period, and none to a leaving
// engine after this drain time.
constexpr int sRestGraceMs = 500;
constexpr int sDrainMs = 2'000;
constexpr int sRecoveredMs = 4'000; // the last part of a run, in which recovery() compares engines
constexpr std::size_t sMaxAttempts = 2;
constexpr Milliseconds sRefusedRetryDelay{200};
const std::string sService = "scorer";

} // namespace

OverloadLab::OverloadLab(Shape shape)
    : mShape(std::move(shape))
    , mEngines(mShape.engines)
    , mRandom(mShape.seed)
{
    for (std::size_t gateway = 0; gateway < mShape.gateways; ++gateway) {
        mGateways.emplace_back(Milliseconds(2'000), "gateway-" + std::to_string(gateway));
    }
    for (ReplicaSet &gateway : mGateways) {
        for (std::size_t engine = 0; engine < mEngines.size(); ++engine) {
            ReplicaRecord record;
            record.id = replicaId(engine);
            record.service = sService;
            record.address = "10.0.0.1:" + std::to_string(engine + 1);
            record.dataCentre = dataCentreOf(engine);
            record.slots = mShape.figures.slots;
            record.weightsVersion = 1;
            gateway.put(record, at(0));
        }
    }
}

std::string OverloadLab::dataCentreOf(std::size_t index) const
{
    return "z" + std::to_string(index % mShape.dataCentres);
}

std::string OverloadLab::replicaId(std::size_t engine) const
{
    return "r" + std::to_string(engine);
}

double OverloadLab::capacity() const
{
    const EngineModel model(mShape.figures);
    return 1'000.0 / model.completionIntervalMs() * static_cast<double>(mEngines.size());
}

void OverloadLab::countOutcome(const Request &request, int Second::*outcome)
{
    const auto second = static_cast<std::size_t>(request.firstAttemptAt / 1'000);
    ++(mSeconds[second].*outcome);
    ++(mSecondsByDataCentre[request.dataCentre][second].*outcome);
}

// A log-normal factor with a mean of one before the limit.
double OverloadLab::drawSizeFactor()
{
    std::lognormal_distribution<double> factor(-mShape.sizeSigma * mShape.sizeSigma / 2,
                                               mShape.sizeSigma);
    return std::min(sMaxSizeFactor, factor(mRandom));
}

// Draws the data centre by its share of the calls, and one of its gateways.
std::size_t OverloadLab::drawGateway(const std::vector<double> &shares)
{
    if (shares.empty()) {
        return mRandom() % mGateways.size();
    }
    std::discrete_distribution<std::size_t> dataCentres(shares.begin(), shares.end());
    const std::size_t dataCentre = dataCentres(mRandom);
    const std::size_t last = mGateways.size() - 1;
    const std::size_t count = (last - dataCentre) / mShape.dataCentres + 1;
    return dataCentre + mRandom() % count * mShape.dataCentres;
}

std::vector<OverloadLab::Second> OverloadLab::run(const std::vector<Phase> &phases)
{
    std::vector<double> rates;
    std::vector<const Phase *> phaseOfSecond;
    for (const Phase &phase : phases) {
        const auto seconds = static_cast<std::size_t>(phase.seconds);
        rates.insert(rates.end(), seconds, phase.callsPerSecond);
        phaseOfSecond.insert(phaseOfSecond.end(), seconds, &phase);
    }
    mSeconds.assign(rates.size(), Second());
    mSecondsByDataCentre.assign(mShape.dataCentres, mSeconds);
    mRemoteSends.assign(mShape.dataCentres, std::vector<int>(rates.size() + sDeadlineMs / 1'000));
    std::exponential_distribution<double> sizeFactor(1);
    double expected = 0;
    const int end = static_cast<int>(rates.size()) * 1'000;
    for (int time = 0; time < end + sDeadlineMs; ++time) {
        expected += time < end ? rates[static_cast<std::size_t>(time / 1'000)] / 1'000 : 0;
        std::poisson_distribution<int> arrivals(std::exchange(expected, 0));
        for (int count = time < end ? arrivals(mRandom) : 0; count > 0; --count) {
            auto request = std::make_shared<Request>();
            request->gateway
                = drawGateway(phaseOfSecond[static_cast<std::size_t>(time / 1'000)]->shares);
            request->dataCentre = request->gateway % mShape.dataCentres;
            request->firstAttemptAt = time;
            const double prompt = mShape.sizeSigma > 0
                ? drawSizeFactor()
                : std::min(3.0, 0.3 + 0.7 * sizeFactor(mRandom));
            request->prompt = mShape.figures.meanPromptTokens * prompt;
            const double events = mShape.figures.meanAnswerTokens / mShape.figures.stepsPerPass;
            const double answer
                = mShape.sizeSigma > 0 ? drawSizeFactor() : std::min(3.0, sizeFactor(mRandom));
            request->eventsLeft = 1 + static_cast<int>((events - 1) * answer);
            countOutcome(*request, &Second::calls);
            sendOrRefuse(std::move(request), time);
        }
        while (!mRetries.empty() && mRetries.begin()->first <= time) {
            const RequestPtr request = mRetries.begin()->second;
            mRetries.erase(mRetries.begin());
            sendOrRefuse(request, time);
        }
        while (!mInTransit.empty() && mInTransit.begin()->first <= time) {
            const RequestPtr request = mInTransit.begin()->second;
            mInTransit.erase(mInTransit.begin());
            arrive(request, time);
        }
        while (!mRefusals.empty() && mRefusals.begin()->first <= time) {
            const RequestPtr request = mRefusals.begin()->second;
            mRefusals.erase(mRefusals.begin());
            handleRefusal(request, time);
        }
        abandonWaiting(time);
        exchangeDemand(time);
        for (std::size_t engine = 0; engine < mEngines.size(); ++engine) {
            runEngine(mEngines[engine], time);
            // Agents sample their engines at different times.
            const bool isDue
                = time % sReportIntervalMs == static_cast<int>(engine * 7 % sReportIntervalMs);
            if (isDue && !mShape.probesAgents) {
                report(engine, time);
            }
        }
    }
    return mSeconds;
}

// Gateways receive the rates of those whose status they follow, which send them at different
// times.
void OverloadLab::exchangeDemand(int time)
{
    if (!mShape.sharesDemand) {
        return;
    }
    if (mFollowed.empty()) {
        followGateways();
    }
    for (std::size_t gateway = 0; gateway < mGateways.size(); ++gateway) {
        for (const std::size_t sender : mFollowed[gateway]) {
            if (time % sStatusIntervalMs == static_cast<int>(sender * 37 % sStatusIntervalMs)) {
                const double perMs = mGateways[sender].ownCallsPerMs(sService, at(time));
                mGateways[gateway].demand().report(
                    std::to_string(sender), {dataCentreOf(sender), {{sService, perMs}}}, at(time));
            }
        }
    }
}

void OverloadLab::followGateways()
{
    std::map<std::string, std::uint32_t, std::less<>> counts;
    std::vector<MemberLocation> members;
    for (std::size_t gateway = 0; gateway < mGateways.size(); ++gateway) {
        members.push_back({std::to_string(gateway), dataCentreOf(gateway), true});
        ++counts[dataCentreOf(gateway)];
    }
    for (std::size_t gateway = 0; gateway < mGateways.size(); ++gateway) {
        std::vector<MemberLocation> others = members;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(gateway));
        std::vector<std::size_t> followed;
        for (const std::string &key : MemberPlan(members[gateway], others).gatewaysToFollow()) {
            followed.push_back(std::stoul(key));
        }
        mFollowed.push_back(std::move(followed));
        mGateways[gateway].demand().setGateways(counts);
    }
}

void OverloadLab::sendOrRefuse(RequestPtr request, int time)
{
    ReplicaSet &gateway = mGateways[request->gateway];
    gateway.noteCall(sService, mShape.goal, at(time));
    ReplicaQuery query;
    query.service = sService;
    const std::string dataCentre = dataCentreOf(request->gateway);
    query.dataCentre = dataCentre;
    query.engine = &mShape.figures;
    query.goal = mShape.goal;
    query.waited = Milliseconds(time - request->firstAttemptAt);
    query.promptTokens = request->prompt;
    query.minVersion = 1;
    query.gatewayCount = static_cast<std::uint32_t>(mGateways.size());
    query.random = mRandom();
    query.excluded = request->refusedBy;
    query.timeLeft = Milliseconds(sDeadlineMs - (time - request->firstAttemptAt));
    const ReplicaChoice choice = choose(request->gateway, query, time);
    gateway.noteChoice(query, choice, at(time));
    if (const auto *chosen = std::get_if<ChosenReplica>(&choice)) {
        request->engine = static_cast<std::size_t>(std::stoul(chosen->id.substr(1)));
        request->isPatient = chosen->isPatient;
        request->sentAt = time;
        gateway.began(chosen->id, chosen->isPatient, at(time));
        if (dataCentreOf(request->engine) != dataCentre) {
            ++mRemoteSends[request->gateway % mShape.dataCentres]
                          [static_cast<std::size_t>(time / 1'000)];
        }
        mEngines[request->engine].inTransit.note(at(time));
        mInTransit.emplace(time + mShape.transitMs, std::move(request));
        return;
    }
    if (!request->isRetry) {
        countOutcome(*request, &Second::refusedAtFirst);
    }
    const auto *busy = std::get_if<AllBusy>(&choice);
    scheduleRetry(std::move(request),
                  busy ? static_cast<int>(busy->retryAfter.count()) : sDeadlineMs, time);
}

void OverloadLab::scheduleRetry(RequestPtr request, int wait, int time)
{
    if (request->isRetry) {
        countOutcome(*request, &Second::refused);
        return;
    }
    request->isRetry = true;
    request->refusedBy.clear();
    if (mShape.restMs > 0) {
        request->gateway = mRandom() % mGateways.size(); // a rest applies to one gateway
    }
    const int maxWait = (sDeadlineMs - (time - request->firstAttemptAt)) / 3;
    mRetries.emplace(time + mShape.transitMs + std::min(wait, maxWait), std::move(request));
}

bool OverloadLab::isLeaving(std::size_t engine, int time) const
{
    return engine < mShape.leaving && time >= mShape.leaveAtMs;
}

bool OverloadLab::isRefusing(std::size_t engine, int time) const
{
    return engine < mShape.refusing && time >= mShape.refusingFromMs
        && time < mShape.refusingUntilMs;
}

void OverloadLab::noteRecovery(const Request &request, int time)
{
    Engine &engine = mEngines[request.engine];
    if (isRefusing(request.engine, time)) {
        engine.returnedAt[request.gateway] = -1;
        return;
    }
    const auto refused = engine.returnedAt.find(request.gateway);
    if (refused != engine.returnedAt.end() && refused->second < 0) {
        refused->second = time;
    }
    const int end = static_cast<int>(mSeconds.size()) * 1'000;
    engine.lateRequests += time >= end - sRecoveredMs ? 1 : 0;
}

OverloadLab::Recovery OverloadLab::recovery() const
{
    Recovery recovery;
    double there = 0;
    double elsewhere = 0;
    for (std::size_t engine = 0; engine < mEngines.size(); ++engine) {
        (engine < mShape.refusing ? there : elsewhere) += mEngines[engine].lateRequests;
        for (const auto &[gateway, at] : mEngines[engine].returnedAt) {
            ++recovery.refusedPairs;
            recovery.returnedPairs += at >= 0 ? 1 : 0;
        }
    }
    const auto refusing = static_cast<double>(mShape.refusing);
    const auto others = static_cast<double>(mEngines.size() - mShape.refusing);
    recovery.usedRatio = there / refusing / (elsewhere / others);
    return recovery;
}

void OverloadLab::arrive(const RequestPtr &request, int time)
{
    checkNotices(*request, time);
    noteRecovery(*request, time);
    Engine &engine = mEngines[request->engine];
    const std::size_t requests = engine.waiting.size() + engine.active.size();
    const bool isFull = mShape.maxHeld > 0 && requests >= mShape.maxHeld;
    if (!isFull && !isRefusing(request->engine, time)) {
        engine.waiting.push_back(request);
        return;
    }
    ++mNotices.rejections;
    if (mShape.restMs > 0) {
        engine.rests[request->gateway].push_back({time + sRestGraceMs, time + mShape.restMs, 0});
        ++mNotices.rests;
    }
    mRefusals.emplace(time + mShape.transitMs, request);
}

void OverloadLab::checkNotices(const Request &request, int time)
{
    Engine &engine = mEngines[request.engine];
    for (Rest &rest : engine.rests[request.gateway]) {
        if (rest.from <= time && time < rest.until) {
            mNotices.maxDuringRest = std::max(mNotices.maxDuringRest, ++rest.requests);
        }
    }
    const auto announced = engine.announcedLeavingAt.find(request.gateway);
    const bool isInformed = announced != engine.announcedLeavingAt.end();
    mNotices.sentAfterLeaving += isInformed && time > announced->second + sDrainMs ? 1 : 0;
}

void OverloadLab::announceLeaving(const Request &request, int time)
{
    if (!isLeaving(request.engine, time)) {
        return;
    }
    const bool isFirst
        = mEngines[request.engine].announcedLeavingAt.try_emplace(request.gateway, time).second;
    mNotices.announcedLeaving += isFirst ? 1 : 0;
    if (mShape.readsNotices) {
        mGateways[request.gateway].applyNotice(replicaId(request.engine), 0,
                                               {true, std::nullopt, {}}, at(time));
    }
}

void OverloadLab::handleRefusal(const RequestPtr &request, int time)
{
    ReplicaSet &gateway = mGateways[request->gateway];
    const std::string id = replicaId(request->engine);
    gateway.answerMissed(id, request->isPatient);
    announceLeaving(*request, time);
    if (mShape.readsNotices && mShape.restMs > 0) {
        gateway.applyNotice(id, 0, {false, Milliseconds(mShape.restMs), {}}, at(time));
    }
    gateway.ended(id, ReplicaOutcome::Refused, at(time));
    request->refusedBy.push_back(id);
    if (request->refusedBy.size() < sMaxAttempts) {
        sendOrRefuse(request, time);
        return;
    }
    ReplicaQuery query;
    query.service = sService;
    query.random = mRandom();
    const auto delay = gateway.retryDelayIfPaused(query, at(time)).value_or(sRefusedRetryDelay);
    scheduleRetry(request, static_cast<int>(delay.count()), time);
}

// Agents answer probes within the same millisecond. Their answers include the requests that
// have reached the engine by then.
ReplicaChoice OverloadLab::choose(std::size_t gateway, const ReplicaQuery &query, int time)
{
    ReplicaSet &replicas = mGateways[gateway];
    if (!mShape.probesAgents) {
        return replicas.choose(query, at(time));
    }
    ProbedChoice choice(replicas, query, {});
    while (!choice.isDone()) {
        for (const Replica *replica : choice.replicasToProbe(at(time))) {
            const std::string &id = replica->record.id;
            const auto engine = static_cast<std::size_t>(std::stoul(id.substr(1)));
            replicas.report("10.0.0.1:" + std::to_string(engine + 1), probeAnswer(engine, time),
                            at(time));
            ++mProbes;
        }
        choice.decide({choice.asked().begin(), choice.asked().end()}, Microseconds(0), at(time));
    }
    return choice.choice();
}

void OverloadLab::abandonWaiting(int time)
{
    for (Engine &engine : mEngines) {
        std::erase_if(engine.waiting, [&](const RequestPtr &request) {
            if (time - request->sentAt < sFirstEventTimeoutMs) {
                return false;
            }
            ReplicaSet &gateway = mGateways[request->gateway];
            gateway.answerMissed(replicaId(request->engine), request->isPatient);
            gateway.ended(replicaId(request->engine), ReplicaOutcome::Abandoned, at(time));
            countOutcome(*request, &Second::refused);
            return true;
        });
    }
}

void OverloadLab::runEngine(Engine &engine, int time)
{
    if (time < engine.passEndsAt) {
        return;
    }
    endPass(engine, time);
    beginPass(engine, time);
}

void OverloadLab::endPass(Engine &engine, int time)
{
    for (const RequestPtr &request : engine.active) {
        if (!request->hasStarted) {
            request->hasStarted = true;
            const int took = time + mShape.transitMs - request->firstAttemptAt;
            const bool isInTime = took <= mShape.goal.count();
            countOutcome(*request, isInTime ? &Second::inTime : &Second::late);
            announceLeaving(*request, time);
            mGateways[request->gateway].answerStarted(replicaId(request->engine),
                                                      request->isPatient,
                                                      Milliseconds(time - request->sentAt));
        }
        --request->eventsLeft;
        if (request->eventsLeft <= 0) {
            mGateways[request->gateway].ended(replicaId(request->engine), ReplicaOutcome::Answered,
                                              at(time));
        }
    }
    std::erase_if(engine.active,
                  [](const RequestPtr &request) { return request->eventsLeft <= 0; });
}

void OverloadLab::beginPass(Engine &engine, int time)
{
    std::ranges::stable_sort(engine.waiting, {},
                             [](const RequestPtr &request) { return request->isPatient ? 1 : 0; });
    const EngineModel model(mShape.figures);
    double length = 0;
    while (!engine.waiting.empty() && engine.active.size() < mShape.figures.slots) {
        length += model.promptReadMs(engine.waiting.front()->prompt);
        engine.active.push_back(engine.waiting.front());
        engine.waiting.pop_front();
    }
    if (engine.active.empty()) {
        return;
    }
    length += model.passMs(static_cast<double>(engine.active.size()));
    engine.passEndsAt = time + std::max(1, static_cast<int>(length));
}

ReplicaLoad OverloadLab::engineLoadReport(std::size_t engine) const
{
    ReplicaLoad load;
    load.weightsVersion = 1;
    for (const RequestPtr &request : mEngines[engine].active) {
        ++(request->hasStarted ? load.running : load.waiting);
    }
    load.waiting += static_cast<std::uint32_t>(mEngines[engine].waiting.size());
    for (const RequestPtr &request : mEngines[engine].waiting) {
        load.waitingPatient += request->isPatient ? 1 : 0;
    }
    return load;
}

// The answer of the engine's agent to a probe.
ReplicaLoad OverloadLab::probeAnswer(std::size_t engine, int time)
{
    ReplicaLoad load = engineLoadReport(engine);
    if (mShape.includesInTransit) {
        load.includesInTransit = true;
        load.waiting += mEngines[engine].inTransit.notVisibleAt(at(time));
    }
    return load;
}

void OverloadLab::report(std::size_t engine, int time)
{
    const ReplicaLoad load = engineLoadReport(engine);
    for (ReplicaSet &gateway : mGateways) {
        gateway.report("10.0.0.1:" + std::to_string(engine + 1), load, at(time));
    }
}

} // namespace Loom
