/*
 * gatewaycall.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "gatewaycall.h"

#include "clock.h"
#include "directconfig.h"
#include "eventsplitter.h"
#include "jsonlog.h"
#include "memberservice.h"
#include "metrics.h"
#include "overload.h"
#include "replicaservice.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Loom {

namespace {

// Before the first configuration, and while none may be fresh, callers come back soon.
constexpr Milliseconds sNoConfigComeBack{300};
constexpr Milliseconds sNoReplicaComeBack{400};
constexpr Milliseconds sRefusedComeBack{200};
// A request without a time of its own, on a route without one.
constexpr Milliseconds sStandardTime{10'000};
// With less than this left, an answer would come too late to be sent for.
constexpr Milliseconds sLeastTime{20};
// Connections that could not be made; nothing was sent, but time passes.
constexpr std::uint32_t sMostFailedConnects = 3;
// A request's way to a replica and its refusal's way back. With a deadline so much
// before the request is given up, a replica that holds it can say that it did not run.
constexpr Milliseconds sRefusalWay{100};
// Answers of earlier requests that may lie before ours on a kept connection.
constexpr int sMostForeignAnswers = 2;
constexpr std::size_t sMostWholeAnswer = std::size_t{16} * 1024 * 1024;
// A stream that is silent this many times its longest good pause is broken, but
// not before this time: passes grow long when many prompts are read.
constexpr int sSilentPauses = 4;
constexpr Milliseconds sLeastStreamSilence{1'000};
// Before its first event a stream may wait in the replica's queue.
constexpr int sSilentGoals = 4;
constexpr Milliseconds sLeastFirstSilence{1'200};
// Permits of replicas that named a limit; each one denied costs a way there and back.
constexpr std::uint32_t sMostDenied = 6;
constexpr int sBadRequest = 400;
constexpr std::string_view sQuarantined = "replicas ended under this request";

std::uint64_t randomNumber()
{
    static std::mt19937_64 random{std::random_device{}()};
    return random();
}

std::string_view linkErrorName(LinkError error)
{
    switch (error) {
    case LinkError::NotConnected:
        return "not connected";
    case LinkError::Closed:
        return "connection closed";
    case LinkError::Malformed:
        return "no proper answer";
    case LinkError::TimedOut:
        return "silent";
    case LinkError::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

HttpResponse jsonError(int status, std::string_view reason)
{
    return HttpResponse::json(status, R"({"error":")" + std::string(reason) + R"("})");
}

} // namespace

GatewayCall::GatewayCall(CallParts parts, HttpExchange &exchange)
    : mParts(parts)
    , mExchange(exchange)
    , mArrived(now())
    , mTable(parts.config.table())
    , mRandom(randomNumber())
    , mDeadlineTimer(exchange.executor())
    , mWeightsTimer(exchange.executor())
    , mTimes(mArrived)
{
}

GatewayCall::~GatewayCall() = default;

awaitable<void> GatewayCall::run()
{
    if (auto refusal = prepare()) {
        co_await refuse(std::move(*refusal));
        co_return;
    }
    startWatching();
    if (mIsCallerGone) {
        co_await giveUp(502, "the caller left before its request was read");
    } else {
        co_await tryReplicas();
    }
    mDeadlineTimer.cancel();
}

std::optional<GatewayCall::Refusal> GatewayCall::prepare()
{
    mCaller = mParts.calls.callerFields(mExchange.request());
    if (!mTable) {
        return Refusal{503, "no configuration is known yet", sNoConfigComeBack};
    }
    if (mCaller.host.empty()) {
        return Refusal{sBadRequest, "host: expected one, found none or several", std::nullopt};
    }
    const bool mayBeStale = mParts.config.mayBeStale();
    mRoute = mTable->match(mCaller.host, mExchange.request().path());
    if (mRoute == nullptr) {
        if (mayBeStale) {
            return Refusal{503, "no such route in a configuration that may be old",
                           sNoConfigComeBack};
        }
        return Refusal{404, "no such route", std::nullopt};
    }
    if (auto refusal = findAccount()) {
        return refusal;
    }
    if (mCaller.id.empty()) {
        return Refusal{sBadRequest, "request id: expected one, found none or several",
                       std::nullopt};
    }
    const RouteTarget *target = pickTarget(*mRoute, mRandom);
    if (target == nullptr) {
        return Refusal{503, "the route has no service", sNoReplicaComeBack};
    }
    mServiceName = target->service;
    mService = mTable->service(mServiceName);
    const Milliseconds routeTime = mRoute->timeout.count() > 0 ? mRoute->timeout : sStandardTime;
    if (const auto left = quarantinedFor()) {
        return Refusal{503, std::string(sQuarantined), left};
    }
    if (mCaller.deadline) {
        // By the time it has left.
        mTimes.setWaitedBefore(mParts.replicas.waitedBefore(mRoute->name, *mCaller.deadline));
    }
    mDeadline = mArrived + std::min(routeTime, mCaller.deadline.value_or(routeTime));
    return std::nullopt;
}

std::optional<GatewayCall::Refusal> GatewayCall::findAccount()
{
    const bool needsKey = !mTable->config().accounts.empty() && !mRoute->isOpen;
    if (!needsKey) {
        return std::nullopt;
    }
    const ClientAccount *account = mCaller.key.empty() ? nullptr : mTable->accountOf(mCaller.key);
    if (account != nullptr) {
        mAccount = account->name;
        return std::nullopt;
    }
    if (!mCaller.key.empty() && mParts.config.mayBeStale()) {
        return Refusal{503, "no such key in a configuration that may be old", sNoConfigComeBack};
    }
    return Refusal{401, "no such key", std::nullopt};
}

void GatewayCall::startWatching()
{
    // Handlers that are queued already may run after the call has ended.
    const std::weak_ptr<bool> alive = mAlive;
    mExchange.watchCaller([this, alive] {
        if (alive.expired()) {
            return;
        }
        mIsCallerGone = true;
        if (mLink) {
            mLink->cancel();
        }
    });
    mDeadlineTimer.expires_at(bootTime(mDeadline));
    mDeadlineTimer.async_wait([this, alive](const boost::system::error_code &error) {
        if (error || alive.expired()) {
            return;
        }
        mIsTimeOver = true;
        if (mLink) {
            mLink->cancel();
        }
    });
}

Milliseconds GatewayCall::timeLeft() const
{
    return std::chrono::duration_cast<Milliseconds>(mDeadline - now());
}

awaitable<ReplicaChoice> GatewayCall::choose() const
{
    ReplicaQuery query;
    query.service = mServiceName;
    query.dataCentre = mParts.settings.dataCentre;
    query.goal = mRoute->goal;
    query.promptTokens = mCaller.promptTokens;
    query.entries = mParts.members.gatewayCount();
    query.excluded = mExcluded;
    query.random = mRandom + mSends;
    query.waited
        = mTimes.waitedBefore() + std::chrono::duration_cast<Milliseconds>(now() - mArrived);
    query.timeLeft = mCaller.deadline ? timeLeft() : Milliseconds(0);
    query.isResumed = mIsHeadSent;
    if (mService != nullptr && mService->engine) {
        query.engine = &*mService->engine;
        const WeightsGoal &weights = mParts.config.weights();
        query.leastVersion = weights.oldestAllowed(mCaller.model, now());
        query.weights = &weights;
        query.model = mCaller.model;
    }
    co_return co_await mParts.replicas.choose(query);
}

awaitable<void> GatewayCall::tryReplicas()
{
    mParts.replicas.noteRequest(mServiceName, mRoute->goal);
    Refusal last{503, "no replica can take it", sNoReplicaComeBack};
    std::optional<TryUnknown> unknown;
    while (true) {
        const ReplicaChoice choice = co_await choose();
        if (mIsCallerGone || mIsTimeOver) {
            co_await giveUp(mSends == 0 ? 503 : 504, "time was over before a replica was chosen");
            co_return;
        }
        const auto *chosen = std::get_if<ChosenReplica>(&choice);
        if (chosen == nullptr) {
            mNoMore = std::holds_alternative<AllBusy>(choice) ? "all busy" : "no replica";
            if (const auto *busy = std::get_if<AllBusy>(&choice); busy && mExcluded.empty()) {
                last = {503, "all replicas are busy", busy->comeBack};
            }
            if (const auto *none = std::get_if<NoneUsable>(&choice); none && mExcluded.empty()) {
                last.comeBack = none->comeBack;
            }
            break;
        }
        // Others may have told of it since it came, or since the last try.
        if (const auto left = quarantinedFor()) {
            last = {503, std::string(sQuarantined), left};
            mNoMore = "held back";
            break;
        }
        const ChosenReplica replica = *chosen;
        // Every send passes here, first ones, repeats and resumed streams: a limit that a
        // replica named holds for all gateways together, which no gateway can count alone.
        if (!co_await mParts.replicas.takePermit(replica.id)) {
            if (++mDenied == sMostDenied) {
                mNoMore = "no permit";
                break;
            }
            continue;
        }
        if (!mParts.quarantine.isEmpty()) {
            mParts.quarantine.noteSent(digest());
        }
        TryResult result = co_await tryOnce(replica);
        if (std::holds_alternative<TryDone>(result)) {
            noteGoodEnd();
            co_return;
        }
        mExcluded.push_back(replica.id);
        if (auto *over = std::get_if<TryOver>(&result)) {
            co_await giveUp(mSends == 0 ? 503 : 504, over->reason);
            co_return;
        }
        if (auto *failed = std::get_if<TryUnknown>(&result)) {
            if (failed->isCut) {
                co_await noteCut();
            }
            const bool again = mayRepeat();
            unknown = std::move(*failed);
            if (!again) {
                mNoMore = "may not be repeated";
                break;
            }
        }
        if (auto *notRun = std::get_if<TryNotRun>(&result)) {
            last = {503, notRun->reason, sRefusedComeBack};
        }
        const bool wasSent = mSends > 0;
        mNoMore = noFurtherTry();
        if (mNoMore.empty() && wasSent && !mParts.replicas.takeRepeat(mServiceName)) {
            mNoMore = "no repeat left";
        }
        if (!mNoMore.empty()) {
            break;
        }
    }
    if (!unknown) {
        co_await refuse(std::move(last));
        co_return;
    }
    if (unknown->answer && !mIsHeadSent) {
        const int status = unknown->answer->status;
        co_await mExchange.respond(std::move(*unknown->answer));
        logEnd(status, "answered", unknown->reason);
        co_return;
    }
    co_await giveUp(502, unknown->reason);
}

std::string_view GatewayCall::noFurtherTry() const
{
    if (mSends >= std::max<std::uint32_t>(mRoute->attempts, 1)) {
        return "no attempt left";
    }
    if (mFailedConnects >= sMostFailedConnects) {
        return "no replica was reached";
    }
    return timeLeft() > sLeastTime ? "" : "no time left";
}

const RequestDigest &GatewayCall::digest()
{
    if (mDigest.isEmpty()) {
        const HttpRequest &request = mExchange.request();
        mDigest = RequestDigest::of(mAccount, request.target, request.body);
    }
    return mDigest;
}

std::optional<Milliseconds> GatewayCall::quarantinedFor()
{
    if (mParts.quarantine.isEmpty()) {
        return std::nullopt;
    }
    return mParts.quarantine.refusedFor(digest());
}

awaitable<void> GatewayCall::noteCut()
{
    const RequestDigest own = digest();
    co_await mParts.quarantine.noteCut(own, mAccount, mTriedLife);
}

void GatewayCall::noteGoodEnd()
{
    if (!mParts.quarantine.isEmpty()) {
        mParts.quarantine.noteGoodEnd(digest());
    }
}

bool GatewayCall::mayRepeat() const
{
    if (!mRoute->mayRepeat() || mIsCallerGone || mIsTimeOver) {
        return false;
    }
    // Two replicas ended under it: a third within the same call would be the next, and
    // all that runs there with it.
    if (!mDigest.isEmpty() && mParts.quarantine.isHeldBack(mDigest)) {
        return false;
    }
    // Behind events that the caller has, only a resumed stream can follow.
    return !mIsHeadSent || (mRoute->isResumable && mRoute->isStream);
}

awaitable<TryResult> GatewayCall::tryOnce(ChosenReplica chosen)
{
    const Replica *replica = mParts.replicas.replicas().find(chosen.id);
    mTriedReplica = chosen.id;
    mTriedLoad = chosen.load;
    mPredictedMs = chosen.answerMs;
    mTriedLoadAge = chosen.loadAge;
    const std::string address = replica->record.address;
    mTriedLife = {chosen.id, replica->record.born, address, replica->record.isDraining};
    const std::uint32_t cap = mService == nullptr ? 0 : mService->connectionCap;
    mIsPatient = chosen.isPatient;
    mWasPatient = mWasPatient || chosen.isPatient;
    mIsAwaiting = true;
    mSentAt = now();
    mParts.replicas.began(chosen.id, chosen.isPatient);
    auto link = co_await mParts.replicas.link(chosen.id, address, cap);
    const Replica *still = mParts.replicas.replicas().find(chosen.id);
    const bool isUnfit
        = still == nullptr || still->record.isDraining || areWeightsOver(still->weightsVersion());
    // The close may wait in the loop behind this, when the process stood still.
    mIsCallerGone = mIsCallerGone || mExchange.hasCallerLeft();
    if (!link || mIsCallerGone || mIsTimeOver || isUnfit) {
        ReplicaOutcome outcome = ReplicaOutcome::Abandoned;
        if (link) {
            mParts.replicas.giveBack(chosen.id, std::move(*link));
        } else {
            ++mFailedConnects;
            outcome = ReplicaOutcome::Unreachable;
        }
        noteAnswer(false);
        mParts.replicas.replicas().ended(chosen.id, outcome, now());
        if (mIsCallerGone || mIsTimeOver) {
            co_return TryOver{"time was over before a replica was reached"};
        }
        co_return TryNotRun{"the replica could not be reached"};
    }
    mLink = std::move(*link);
    TryResult result = co_await exchangeWith(chosen.id);
    stopWatchingWeights();
    const ReplicaOutcome outcome
        = std::visit(Overload{
                         [](const TryDone &) { return ReplicaOutcome::Answered; },
                         [](const TryNotRun &) { return ReplicaOutcome::Refused; },
                         [](const TryUnknown &failed) {
                             if (failed.isGivenUp) {
                                 return ReplicaOutcome::Abandoned;
                             }
                             return failed.answer ? ReplicaOutcome::Failed : ReplicaOutcome::Broken;
                         },
                         [](const TryOver &) { return ReplicaOutcome::Abandoned; },
                     },
                     result);
    noteAnswer(false);
    mParts.replicas.replicas().ended(chosen.id, outcome, now());
    mParts.replicas.giveBack(chosen.id, std::move(mLink));
    if (!std::holds_alternative<TryDone>(result)) {
        mParts.metrics.count("tries_failed", mServiceName);
    }
    co_return result;
}

// Once for each try: its answer or first event came, or never will.
void GatewayCall::noteAnswer(bool hasBegun)
{
    if (!mIsAwaiting) {
        return;
    }
    mIsAwaiting = false;
    if (hasBegun) {
        mParts.replicas.answerBegan(mTriedReplica, mIsPatient, now() - mSentAt);
    } else {
        mParts.replicas.answerMissed(mTriedReplica, mIsPatient);
    }
}

OutgoingFields GatewayCall::outgoingFields(std::string_view replicaId) const
{
    OutgoingFields fields;
    fields.deadline = timeLeft();
    fields.replicaId = replicaId;
    fields.account = mAccount;
    fields.lastEvent = mLastEvent ? mLastEvent : mCaller.lastEvent;
    if (mService != nullptr && mService->engine) {
        fields.urgency = mIsHeadSent ? Urgency::Resumed
            : mIsPatient             ? Urgency::Patient
                                     : Urgency::Prompt;
        const Replica *replica = mParts.replicas.replicas().find(replicaId);
        const std::uint64_t newest = mParts.config.weights().newest(mCaller.model);
        // An older version may change under the request, and either may run it.
        if (replica != nullptr && replica->weightsVersion() == newest) {
            fields.weightsVersion = newest;
        } else if (replica != nullptr) {
            fields.deadline = std::min(fields.deadline, timeOfWeights(replica->weightsVersion()));
        }
    }
    return fields;
}

// A request may lie at a replica for long, as when its box stands still. The
// replica drops it at its deadline, so it cannot begin after its weights are
// over. A stream that runs then goes on at another replica.
Milliseconds GatewayCall::timeOfWeights(std::uint64_t version) const
{
    const auto giveUp = mParts.config.weights().giveUpAt(mCaller.model, version);
    if (!giveUp) {
        return Milliseconds::max();
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(*giveUp - now()) - sRefusalWay;
    return std::max(left, sLeastTime);
}

// What has not begun on @p version by now might begin too late.
bool GatewayCall::areWeightsOver(std::uint64_t version) const
{
    if (mService == nullptr || !mService->engine) {
        return false;
    }
    const auto giveUp = mParts.config.weights().giveUpAt(mCaller.model, version);
    return giveUp && *giveUp <= now();
}

// The deadline of a request counts from its arrival. On its way, and at a replica that
// stands still, only the end of its connection keeps it from beginning too late.
void GatewayCall::watchWeights()
{
    const Replica *replica = mParts.replicas.replicas().find(mTriedReplica);
    // It may have loaded newer ones since, and what waits there begins on those.
    mTriedWeights = std::max(mTriedWeights, replica == nullptr ? 0 : replica->weightsVersion());
    if (areWeightsOver(mTriedWeights)) {
        mAreWeightsOver = true;
        mLink->cancel();
        return;
    }
    const WeightsGoal &weights = mParts.config.weights();
    const auto giveUp = weights.giveUpAt(mCaller.model, mTriedWeights);
    mWeightsTimer.expires_at(bootTime(giveUp.value_or(weights.lookAgainAt(now()))));
    const std::weak_ptr<bool> alive = mAlive;
    const std::uint32_t send = mSends;
    mWeightsTimer.async_wait([this, alive, send](const boost::system::error_code &error) {
        const bool isOther = error || alive.expired() || send != mSends;
        if (!isOther && mIsUnbegun) {
            watchWeights();
        }
    });
}

void GatewayCall::stopWatchingWeights()
{
    mIsUnbegun = false;
    mWeightsTimer.cancel();
}

awaitable<TryResult> GatewayCall::exchangeWith(std::string replicaId)
{
    const HttpRequest &request = mExchange.request();
    const OutgoingFields fields = outgoingFields(replicaId);
    const std::vector<HttpHeader> headers = mParts.calls.outgoing(request, fields);
    const LinkRequest outgoing{request.method, request.target, headers, request.body};
    ++mSends;
    mSentAt = now();
    mAreWeightsOver = false;
    mTriedWeights = 0;
    mIsUnbegun = mService != nullptr && mService->engine;
    if (mIsUnbegun) {
        watchWeights();
    }
    auto head = co_await ownHead(outgoing);
    if (!head) {
        co_return afterLinkError(head.error());
    }
    if (!mRoute->isStream) {
        noteAnswer(true);
    }
    co_return co_await takeAnswer(std::move(*head));
}

// Reads heads until one answers this request: a surplus answer to an earlier
// one may stand before it on a kept connection.
awaitable<tl::expected<LinkHead, LinkError>> GatewayCall::ownHead(LinkRequest request)
{
    const Milliseconds silence = mRoute->isStream
        ? std::max(sLeastFirstSilence, mRoute->goal * sSilentGoals)
        : std::max<Milliseconds>(timeLeft(), sLeastTime);
    const auto deadline = steadyTime(std::min(mDeadline + sLeastTime, now() + silence));
    auto head = co_await mLink->exchange(request, deadline);
    for (int foreign = 0; head && foreign < sMostForeignAnswers; ++foreign) {
        const std::string id = mParts.calls.answerFields(*head).requestId;
        if (id == mCaller.id || id.empty()) {
            break;
        }
        mParts.metrics.count("foreign_answers", mServiceName);
        logLine(LogLevel::Warning, "foreign-answer",
                {{"id", mCaller.id}, {"replica", mTriedReplica}, {"answerTo", id}});
        head = co_await mLink->nextHead(deadline);
    }
    co_return std::move(head);
}

TryResult GatewayCall::afterLinkError(LinkError error)
{
    if (mIsCallerGone) {
        return TryOver{"the caller left"};
    }
    // The link's own deadline may come a moment before the call's.
    if (mIsTimeOver || timeLeft() < sLeastTime) {
        return TryOver{"time was over"};
    }
    if (mAreWeightsOver) {
        return TryUnknown{"its weights were over", std::nullopt, true};
    }
    return TryUnknown{std::string(linkErrorName(error)), std::nullopt, false,
                      error == LinkError::Closed};
}

awaitable<TryResult> GatewayCall::takeAnswer(LinkHead head)
{
    const AnswerFields fields = mParts.calls.answerFields(head);
    if (fields.isNotRun) {
        if (!fields.replicaId.empty() && fields.replicaId != mTriedReplica) {
            mParts.replicas.replicas().replaced(mTriedReplica, now());
        } else {
            noteRate(fields.rate, false);
        }
        const auto deadline = steadyTime(mDeadline);
        co_await mLink->readWhole(sMostWholeAnswer, deadline);
        co_return TryNotRun{"replica refused: " + std::to_string(head.status)};
    }
    if (fields.requestId != mCaller.id) {
        mLink->cancel();
        co_return TryUnknown{"answer to another request", std::nullopt};
    }
    const bool isSuccess = head.status / 100 == 2;
    noteRate(fields.rate, isSuccess && fields.isSigned);
    if (!isSuccess || !fields.isStream) {
        stopWatchingWeights();
    }
    if (isSuccess && !fields.isSigned) {
        mLink->cancel();
        co_return TryUnknown{"answer without signature", std::nullopt};
    }
    if (isSuccess && fields.isStream) {
        co_return co_await passStream(std::move(head));
    }
    co_return co_await passWhole(std::move(head));
}

// A failure may come from a part of the replica that knows nothing of its need.
void GatewayCall::noteRate(const NamedRate &rate, bool isGood)
{
    if (isGood || !std::holds_alternative<NoRate>(rate)) {
        mParts.replicas.noteRate(mTriedReplica, rate, mSentAt);
    }
}

awaitable<TryResult> GatewayCall::passWhole(LinkHead head)
{
    const auto deadline = steadyTime(mDeadline + sLeastTime);
    auto body = co_await mLink->readWhole(sMostWholeAnswer, deadline);
    if (!body) {
        co_return afterLinkError(body.error());
    }
    if (mIsHeadSent) {
        // A resumed stream was refused with a failure; the caller has its head already.
        co_return TryUnknown{"failure " + std::to_string(head.status) + " on resuming",
                             std::nullopt};
    }
    HttpResponse response{head.status, mParts.calls.answerHeaders(head), std::move(*body)};
    if (head.status >= 500) {
        co_return TryUnknown{"failure of the replica's own", std::move(response)};
    }
    noteAnswerBegun();
    const bool sent = co_await mExchange.respond(std::move(response));
    logEnd(head.status, sent ? "answered" : "caller left", "");
    co_return TryDone{};
}

awaitable<TryResult> GatewayCall::passStream(LinkHead head)
{
    EventSplitter splitter;
    const Milliseconds pause = std::max(sLeastStreamSilence, mRoute->pauseGoal * sSilentPauses);
    Milliseconds silence = std::max(sLeastFirstSilence, mRoute->goal * sSilentGoals);
    while (true) {
        const auto deadline = steadyTime(std::min(mDeadline + sLeastTime, now() + silence));
        const auto piece = co_await mLink->readBody(deadline);
        if (!piece) {
            co_return afterLinkError(piece.error());
        }
        if (piece->empty()) {
            break;
        }
        stopWatchingWeights();
        std::string passed;
        for (const StreamEvent &event : splitter.feed(*piece)) {
            const bool isRepeat = event.id && mLastEvent && *event.id <= *mLastEvent;
            if (isRepeat) {
                continue;
            }
            passed += event.text;
            ++mEvents;
            if (event.id) {
                mLastEvent = event.id;
            }
        }
        if (passed.empty()) {
            continue;
        }
        silence = pause;
        noteAnswer(true);
        if (!mIsHeadSent) {
            noteAnswerBegun();
            mIsHeadSent = true;
            HttpResponse begin{head.status, mParts.calls.answerHeaders(head), {}};
            co_await mExchange.beginStream(std::move(begin));
        }
        mTimes.noteEvents(now());
        if (!co_await mExchange.write(passed)) {
            mIsCallerGone = true;
            mLink->cancel();
            co_return TryOver{"the caller left"};
        }
    }
    if (splitter.pending() > 0) {
        co_return TryUnknown{"stream ended within an event", std::nullopt, false, true};
    }
    if (!mIsHeadSent) {
        noteAnswerBegun();
        mIsHeadSent = true;
        HttpResponse begin{head.status, mParts.calls.answerHeaders(head), {}};
        co_await mExchange.beginStream(std::move(begin));
    }
    const bool sent = co_await mExchange.endStream();
    logEnd(head.status, sent ? "answered" : "caller left", "");
    co_return TryDone{};
}

void GatewayCall::noteAnswerBegun()
{
    if (mTimes.noteBegun(now())) {
        mParts.metrics.observe("first_answer_ms", mServiceName,
                               static_cast<double>(mTimes.first()->count()));
    }
}

awaitable<void> GatewayCall::refuse(Refusal refusal)
{
    if (mIsHeadSent || mIsCallerGone) {
        co_await giveUp(502, refusal.reason);
        co_return;
    }
    HttpResponse response = jsonError(refusal.status, refusal.reason);
    if (refusal.comeBack) {
        response.headers.push_back(mParts.calls.comeBack(*refusal.comeBack));
    }
    co_await mExchange.respond(std::move(response));
    logEnd(refusal.status, "refused", refusal.reason);
}

awaitable<void> GatewayCall::giveUp(int status, std::string reason)
{
    if (mIsHeadSent || mIsCallerGone) {
        mExchange.abort(); // a cut answer must not look whole
        if (!mIsCallerGone) {
            mParts.metrics.count("cut_answers", reason);
        }
        logEnd(0, mIsCallerGone ? "caller left" : "cut", reason);
        co_return;
    }
    HttpResponse response = jsonError(status, reason);
    co_await mExchange.respond(std::move(response));
    logEnd(status, "unknown", reason);
}

void GatewayCall::logEnd(int status, std::string_view outcome, std::string_view reason)
{
    const auto took = std::chrono::duration_cast<Milliseconds>(now() - mArrived);
    const bool isJudged = outcome == "answered" && mRoute != nullptr;
    const std::string_view late = isJudged ? mTimes.latenessCause(*mRoute, mSends) : "";
    mParts.metrics.count("calls", outcome);
    mParts.replicas.noteEnd(status == 503);
    if (!late.empty()) {
        mParts.metrics.count("late", late);
    }
    logLine(LogLevel::Info, "call",
            {{"id", mCaller.id},
             {"route", mRoute == nullptr ? std::string_view() : std::string_view(mRoute->name)},
             {"service", mServiceName},
             {"account", mAccount},
             {"config", mTable ? mTable->version() : 0},
             {"status", status},
             {"outcome", outcome},
             {"reason", reason},
             {"sends", mSends},
             {"denied", mDenied},
             {"noMore", mNoMore},
             {"events", mEvents},
             {"replica", mTriedReplica},
             {"request", mDigest.text()},
             {"load", mTriedLoad},
             {"loadAgeMs", mTriedLoadAge.count()},
             {"predictedMs", std::lround(mPredictedMs)},
             {"patient", mWasPatient},
             {"waitedBeforeMs", mTimes.waitedBefore().count()},
             {"deadlineMs", mCaller.deadline ? mCaller.deadline->count() : -1},
             {"late", late},
             {"pauseMs", mTimes.longestPause().count()},
             {"firstMs", mTimes.first().value_or(Milliseconds(-1)).count()},
             {"tookMs", took.count()}});
}

} // namespace Loom
