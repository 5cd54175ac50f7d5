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
#include "retryadvice.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace Loom {

namespace {

constexpr int sReportIntervalMs = 50;
constexpr int sDeadlineMs = 6'000;
constexpr int sStatusIntervalMs = 400; // of the messages in which gateways report their rates
constexpr int sFirstEventTimeoutMs = 2'400; // callers disconnect without an event for this long
// Required by the users: no requests in a rest after this grace period, and none to a leaving
// engine after this drain time.
constexpr int sRestGraceMs = 500;
constexpr int sDrainMs = 2'000;
constexpr int sRecoveredMs = 4'000; // the last part of a run, in which recovery() compares engines
constexpr std::size_t sMaxAttempts = 2;
constexpr Milliseconds sRefusedRetryDelay{200};
constexpr int sImmediateRepeats = 3;
// Generating a token takes about as long as reading ten.
constexpr double sOutputWorkFactor = 10;
// The cutoff follows this ratio of refusals of the most urgent rank; at a ratio of one, it
// rises by a rank in 25 calls.
constexpr double sCutoffTargetRatio = 0.05;
constexpr double sCutoffGain = 0.04;
const std::string sService = "scorer";

} // namespace

OverloadLab::OverloadLab(Shape shape)
    : mShape(std::move(shape))
    , mEngines(mShape.engines)
    , mRandom(mShape.seed)
{
    for (std::size_t gateway = 0; gateway < mShape.gateways; ++gateway) {
        mGateways.push_back(newGateway(gateway));
    }
    for (std::size_t account = 0; account < mShape.accounts; ++account) {
        mAccountNames.push_back("account-" + std::to_string(account));
    }
    mCutoffs.resize(mShape.gateways);
    mCutoffLevels.resize(mShape.gateways);
}

ReplicaSet OverloadLab::newGateway(std::size_t index) const
{
    ReplicaSet gateway(Milliseconds(2'000), "gateway-" + std::to_string(index));
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
    return gateway;
}

// The gateway's callers lose their connections, so their requests at engines end unanswered.
// They are counted as refused.
void OverloadLab::restart(std::size_t index)
{
    const auto isOfGateway = [&](const RequestPtr &request) { return request->gateway == index; };
    for (Engine &engine : mEngines) {
        for (const RequestPtr &request : engine.waiting) {
            if (isOfGateway(request)) {
                note(*request, &Outcomes::refused);
            }
        }
        for (const RequestPtr &request : engine.active) {
            if (isOfGateway(request) && !request->hasStarted) {
                note(*request, &Outcomes::refused);
            }
        }
        std::erase_if(engine.waiting, isOfGateway);
        std::erase_if(engine.active, isOfGateway);
    }
    for (const auto &[time, request] : mInTransit) {
        if (isOfGateway(request)) {
            note(*request, &Outcomes::refused);
        }
    }
    std::erase_if(mInTransit, [&](const auto &item) { return isOfGateway(item.second); });
    mGateways[index] = newGateway(index);
}

double OverloadLab::classFactor(const Phase &phase) const
{
    if (phase.factors.empty()) {
        return 1;
    }
    double sum = 0;
    double weighted = 0;
    for (std::size_t index = 0; index < mShape.classes.size(); ++index) {
        sum += mShape.classes[index].fraction;
        weighted += mShape.classes[index].fraction * phase.factors[index];
    }
    return weighted / sum;
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

// A log-normal factor with a mean of one, before the limit or after it.
double OverloadLab::drawSizeFactor(double limit)
{
    const double sigma = mShape.sizeSigma;
    std::lognormal_distribution<double> factor(-sigma * sigma / 2, sigma);
    const double drawn = std::min(limit, factor(mRandom));
    if (!mShape.hasExactMean) {
        return drawn;
    }
    const auto normal = [](double x) { return 0.5 * std::erfc(-x / std::sqrt(2.0)); };
    const double deviations = std::log(limit) / sigma;
    const double mean
        = normal(deviations - sigma / 2) + limit * (1 - normal(deviations + sigma / 2));
    return drawn / mean;
}

void OverloadLab::drawSize(Request &request)
{
    std::exponential_distribution<double> sizeFactor(1);
    const bool isSpread = mShape.sizeSigma > 0;
    const double prompt = isSpread ? drawSizeFactor(mShape.maxSizeFactor)
                                   : std::min(3.0, 0.3 + 0.7 * sizeFactor(mRandom));
    const double answer
        = isSpread ? drawSizeFactor(mShape.maxAnswerFactor) : std::min(3.0, sizeFactor(mRandom));
    RequestClass requestClass;
    if (!mShape.classes.empty()) {
        requestClass = mShape.classes[request.requestClass];
    }
    request.prompt = mShape.figures.meanPromptTokens * requestClass.promptFactor * prompt;
    const double events
        = mShape.figures.meanAnswerTokens * requestClass.answerFactor / mShape.figures.stepsPerPass;
    request.eventsLeft = 1 + static_cast<int>((events - 1) * answer);
    request.answerTokens = static_cast<double>(request.eventsLeft * mShape.figures.stepsPerPass);
    request.isSizeNamed
        = mShape.namedSizes >= 1 || std::bernoulli_distribution(mShape.namedSizes)(mRandom);
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

void OverloadLab::note(const Request &request, int Outcomes::*outcome)
{
    const auto index = static_cast<std::size_t>(request.firstAttemptAt / 1'000);
    Second &second = mSeconds[index];
    ++(second.*outcome);
    ++(mSecondsByDataCentre[request.dataCentre][index].*outcome);
    const bool isStarted = outcome == &Outcomes::inTime || outcome == &Outcomes::late;
    if (outcome == &Outcomes::refused || (isStarted && !mShape.endsAtDeadline)) {
        noteSize(request, isStarted);
    }
    ++(second.byGateway[request.firstGateway].*outcome);
    if (!mShape.classes.empty()) {
        ++(second.byClass[request.requestClass].*outcome);
    }
    if (mShape.accounts > 0) {
        ++(second.byAccount[request.account].*outcome);
    }
}

void OverloadLab::noteSize(const Request &request, bool isServed)
{
    mSizedOutcomes.push_back({request.requestClass, request.prompt,
                              request.prompt + sOutputWorkFactor * request.answerTokens, isServed});
}

Milliseconds OverloadLab::goalOf(const Request &request) const
{
    return mShape.classes.empty() ? mShape.goal : mShape.classes[request.requestClass].goal;
}

// Draws the class, account and patience of a caller. Without classes and accounts, no random
// number is drawn.
void OverloadLab::drawOrigin(Request &request, const std::vector<double> &factors)
{
    if (!mShape.classes.empty()) {
        std::vector<double> weights;
        for (std::size_t index = 0; index < mShape.classes.size(); ++index) {
            weights.push_back(mShape.classes[index].fraction
                              * (factors.empty() ? 1.0 : factors[index]));
        }
        request.requestClass
            = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(mRandom);
    }
    request.repeatSeed = mShape.classes.empty() ? 0 : mRandom();
    if (mShape.accounts > 0) {
        std::vector<double> weights;
        double sum = 0;
        for (std::size_t index = 0; index < mShape.accounts; ++index) {
            weights.push_back(std::pow(static_cast<double>(index + 1), -mShape.accountExponent));
            sum += weights.back();
        }
        weights.front() += sum * mShape.heavyAccountFraction / (1 - mShape.heavyAccountFraction);
        request.account
            = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(mRandom);
    }
    if (mShape.repeatingFraction > 0 || mShape.repeatingAccount) {
        const bool isRepeating = mShape.repeatingAccount == request.account
            || std::bernoulli_distribution(mShape.repeatingFraction)(mRandom);
        request.repeatsLeft = isRepeating ? sImmediateRepeats : 0;
        request.isRetry = isRepeating;
    }
}

// The cutoff to compare with: a rank is refused by a level between 0 and the number of ranks,
// which rises while the most urgent rank is refused and falls while it is not.
bool OverloadLab::isCutOff(const Request &request)
{
    const std::map<RequestRank, RefusalRatio> &ranks = mCutoffs[request.gateway];
    const RequestRank rank = mShape.classes[request.requestClass].rank;
    const auto lessUrgent = static_cast<double>(
        std::ranges::count_if(ranks, [&](const auto &item) { return rank < item.first; }));
    const bool isMostUrgent = !ranks.empty() && ranks.begin()->first >= rank;
    const double refusedFraction
        = std::clamp(mCutoffLevels[request.gateway] - lessUrgent, 0.0, 1.0);
    return !isMostUrgent
        && std::uniform_real_distribution<double>(0, 1)(mRandom)
        < refusedFraction * (1 - UrgencyDemand::sExemptFraction);
}

void OverloadLab::noteCutoff(const Request &request, bool isRefused)
{
    std::map<RequestRank, RefusalRatio> &ranks = mCutoffs[request.gateway];
    ranks[mShape.classes[request.requestClass].rank].note(!isRefused, at(mNow));
    const double ratio = ranks.begin()->second.ratio(at(mNow));
    const double step = (ratio - sCutoffTargetRatio) * sCutoffGain;
    double &level = mCutoffLevels[request.gateway];
    level = std::clamp(level + step, 0.0, static_cast<double>(ranks.size()));
}

std::vector<OverloadLab::Second> OverloadLab::run(const std::vector<Phase> &phases)
{
    std::vector<double> rates;
    std::vector<const Phase *> phaseOfSecond;
    for (const Phase &phase : phases) {
        const auto seconds = static_cast<std::size_t>(phase.seconds);
        rates.insert(rates.end(), seconds, phase.callsPerSecond * classFactor(phase));
        phaseOfSecond.insert(phaseOfSecond.end(), seconds, &phase);
    }
    Second empty;
    empty.byClass.resize(mShape.classes.size());
    empty.byAccount.resize(mShape.accounts);
    empty.byGateway.resize(mGateways.size());
    mSeconds.assign(rates.size(), empty);
    mSecondsByDataCentre.assign(mShape.dataCentres, mSeconds);
    mRemoteSends.assign(mShape.dataCentres, std::vector<int>(rates.size() + sDeadlineMs / 1'000));
    double expected = 0;
    const int end = static_cast<int>(rates.size()) * 1'000;
    for (int time = 0; time < end + sDeadlineMs; ++time) {
        mNow = time;
        if (mShape.restartedGateway && time == mShape.restartAtMs) {
            restart(*mShape.restartedGateway);
        }
        if (mShape.agentsRestartAtMs > 0 && time == mShape.agentsRestartAtMs) {
            for (Engine &engine : mEngines) {
                engine.announcedSizes = AnnouncedSizes();
                engine.inTransit = InTransitCount();
            }
        }
        if (mShape.crashing > 0 && time == mShape.crashAtMs) {
            for (std::size_t index = 0; index < mShape.crashing; ++index) {
                crash(mEngines.size() - 1 - index);
            }
        }
        expected += time < end ? rates[static_cast<std::size_t>(time / 1'000)] / 1'000 : 0;
        std::poisson_distribution<int> arrivals(std::exchange(expected, 0));
        for (int count = time < end ? arrivals(mRandom) : 0; count > 0; --count) {
            auto request = std::make_shared<Request>();
            const Phase &phase = *phaseOfSecond[static_cast<std::size_t>(time / 1'000)];
            request->gateway = drawGateway(phase.shares);
            request->firstGateway = request->gateway;
            request->dataCentre = request->gateway % mShape.dataCentres;
            request->firstAttemptAt = time;
            drawOrigin(*request, phase.factors);
            drawSize(*request);
            note(*request, &Outcomes::calls);
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
        endAtDeadline(time);
        exchangeDemand(time);
        for (std::size_t engine = 0; engine < mEngines.size(); ++engine) {
            runEngine(mEngines[engine], time);
            recordHistory(engine);
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
    const Milliseconds goal = goalOf(*request);
    ReplicaQuery query;
    query.service = sService;
    const std::string dataCentre = dataCentreOf(request->gateway);
    query.dataCentre = dataCentre;
    query.engine = &mShape.figures;
    query.goal = goal;
    query.waited = Milliseconds(time - request->firstAttemptAt);
    query.promptTokens = mShape.usesOwnSize && request->isSizeNamed ? request->prompt : 0;
    query.minVersion = 1;
    const bool isDeaf = mShape.deafGateway == request->gateway;
    query.gatewayCount = isDeaf ? 1U : static_cast<std::uint32_t>(mGateways.size());
    query.random = mRandom();
    std::optional<CallOrigin> origin;
    if (mShape.usesRanks && !mShape.classes.empty()) {
        origin.emplace();
        origin->rank = mShape.classes[request->requestClass].rank;
        origin->work = request->isSizeNamed
            ? request->prompt + sOutputWorkFactor * mShape.figures.meanAnswerTokens
            : 1;
        if (mShape.accounts > 0) {
            origin->account = mAccountNames[request->account];
        }
        origin->repeatSeed = request->repeatSeed;
        query.account = origin->account;
        query.work = origin->work;
        query.repeatSeed = origin->repeatSeed;
    }
    query.standing = gateway.noteCall(sService, goal, at(time), origin);
    const bool isCutOff = mShape.usesCutoff && this->isCutOff(*request);
    query.excluded = request->refusedBy;
    query.timeLeft = Milliseconds(sDeadlineMs - (time - request->firstAttemptAt));
    const ReplicaChoice choice = isCutOff
        ? ReplicaChoice(AllBusy{RetryAdvice(query).whenBusy(1, true), 1})
        : choose(request->gateway, query, time);
    gateway.noteChoice(query, choice, at(time));
    if (mShape.usesCutoff) {
        noteCutoff(*request, !std::holds_alternative<ChosenReplica>(choice));
    }
    if (const auto *chosen = std::get_if<ChosenReplica>(&choice)) {
        request->engine = static_cast<std::size_t>(std::stoul(chosen->id.substr(1)));
        mDecisions.push_back(static_cast<std::int64_t>(request->engine));
        request->isPatient = chosen->isPatient;
        request->urgencyLevel = chosen->urgencyLevel;
        request->sentAt = time;
        gateway.began(chosen->id, chosen->isPatient, at(time),
                      isSizeKnown(*request) ? static_cast<std::uint64_t>(request->prompt) : 0);
        if (dataCentreOf(request->engine) != dataCentre) {
            ++mRemoteSends[request->gateway % mShape.dataCentres]
                          [static_cast<std::size_t>(time / 1'000)];
        }
        announce(*request, time);
        mInTransit.emplace(time + mShape.transitMs, std::move(request));
        return;
    }
    if (!request->isRetry) {
        note(*request, &Outcomes::refusedAtFirst);
    }
    const auto *busy = std::get_if<AllBusy>(&choice);
    mDecisions.push_back(busy ? -busy->retryAfter.count() : -sDeadlineMs);
    scheduleRetry(std::move(request),
                  busy ? static_cast<int>(busy->retryAfter.count()) : sDeadlineMs, time);
}

void OverloadLab::announce(const Request &request, int time)
{
    if (mShape.lostAnnouncements > 0
        && std::bernoulli_distribution(mShape.lostAnnouncements)(mRandom)) {
        return;
    }
    Engine &engine = mEngines[request.engine];
    engine.inTransit.note(at(time));
    const bool hasSize = isSizeKnown(request) && request.gateway >= mShape.earlierGateways;
    engine.announcedSizes.note(hasSize ? static_cast<std::uint64_t>(request.prompt) : 0);
}

bool OverloadLab::isSizeKnown(const Request &request) const
{
    return mShape.announcesSizes && request.isSizeNamed;
}

void OverloadLab::scheduleRetry(RequestPtr request, int wait, int time)
{
    if (request->repeatsLeft > 0) {
        --request->repeatsLeft;
        request->refusedBy.clear();
        mRetries.emplace(time + 2 * mShape.transitMs, std::move(request));
        return;
    }
    if (request->isRetry) {
        note(*request, &Outcomes::refused);
        return;
    }
    request->isRetry = true;
    request->refusedBy.clear();
    request->repeatSeed = mShape.classes.empty() ? 0 : mRandom();
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
    if (engine.hasCrashed) {
        mRefusals.emplace(time + mShape.transitMs, request);
        return;
    }
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
            note(*request, &Outcomes::refused);
            return true;
        });
    }
}

void OverloadLab::crash(std::size_t engine)
{
    Engine &crashed = mEngines[engine];
    crashed.hasCrashed = true;
    crashed.waiting.clear();
    crashed.active.clear();
    for (ReplicaSet &gateway : mGateways) {
        gateway.remove(replicaId(engine), true, Microseconds(0), at(mShape.crashAtMs));
    }
}

void OverloadLab::endAtDeadline(int time)
{
    if (!mShape.endsAtDeadline) {
        return;
    }
    for (Engine &engine : mEngines) {
        std::erase_if(engine.active, [&](const RequestPtr &request) {
            if (time - request->firstAttemptAt < sDeadlineMs) {
                return false;
            }
            ReplicaSet &gateway = mGateways[request->gateway];
            gateway.ended(replicaId(request->engine), ReplicaOutcome::Abandoned, at(time));
            noteSize(*request, false);
            return true;
        });
    }
}

double OverloadLab::paceOf(std::size_t engine) const
{
    return engine < mShape.slowEngines ? mShape.slowPace : 1;
}

// The agents' answers state what the engines reported some time ago.
void OverloadLab::recordHistory(std::size_t engine)
{
    if (mShape.reportLagMs == 0) {
        return;
    }
    std::deque<ReplicaLoad> &history = mEngines[engine].history;
    history.push_back(engineLoadReport(engine));
    if (history.size() > static_cast<std::size_t>(mShape.reportLagMs)) {
        history.pop_front();
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
            const bool isInTime = took <= goalOf(*request).count();
            note(*request, isInTime ? &Outcomes::inTime : &Outcomes::late);
            announceLeaving(*request, time);
            mGateways[request->gateway].answerStarted(replicaId(request->engine),
                                                      request->isPatient,
                                                      Milliseconds(time - request->sentAt));
        }
        --request->eventsLeft;
        if (request->eventsLeft <= 0) {
            mGateways[request->gateway].ended(replicaId(request->engine), ReplicaOutcome::Answered,
                                              at(time));
            if (mShape.endsAtDeadline) {
                noteSize(*request, true);
            }
        }
    }
    std::erase_if(engine.active,
                  [](const RequestPtr &request) { return request->eventsLeft <= 0; });
}

void OverloadLab::beginPass(Engine &engine, int time)
{
    std::ranges::stable_sort(engine.waiting, {}, [](const RequestPtr &request) {
        return request->isPatient ? UrgencyDemand::sLevelCount : request->urgencyLevel;
    });
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
    length *= paceOf(static_cast<std::size_t>(&engine - mEngines.data()));
    engine.passEndsAt = time + std::max(1, static_cast<int>(length));
}

ReplicaLoad OverloadLab::engineLoadReport(std::size_t engine) const
{
    ReplicaLoad load;
    load.weightsVersion = 1;
    load.pace = paceOf(engine);
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
    const std::deque<ReplicaLoad> &history = mEngines[engine].history;
    ReplicaLoad load = history.empty() ? engineLoadReport(engine) : history.front();
    if (mShape.includesInTransit) {
        load.includesInTransit = true;
        load.waiting += mEngines[engine].inTransit.notVisibleAt(at(time));
        load.waitingTokens = mEngines[engine].announcedSizes.waitingTokens(load.waiting);
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
