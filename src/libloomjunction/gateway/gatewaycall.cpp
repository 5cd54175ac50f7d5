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
#include "jsonlog.h"
#include "memberservice.h"
#include "metrics.h"
#include "replicaservice.h"

#include <algorithm>
#include <cmath>
#include <exception>
#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>

namespace Loom {

namespace {

// Before the first configuration, and while none may be fresh, callers come back soon.
constexpr Milliseconds sNoConfigComeBack{300};
constexpr Milliseconds sNoReplicaComeBack{400};
constexpr Milliseconds sRefusedComeBack{200};
// A request without a time of its own, on a route without one.
constexpr Milliseconds sStandardTime{10'000};
// Connections that could not be made; nothing was sent, but time passes.
constexpr std::uint32_t sMostFailedConnects = 3;
// After this many times its longest good pause a stream is taken for silent, but
// not before this time: passes grow long when many prompts are read.
constexpr int sSilentPauses = 4;
constexpr Milliseconds sLeastStreamSilence{1'000};
// Before its first event a stream may wait in the replica's queue.
constexpr int sSilentGoals = 4;
constexpr Milliseconds sLeastFirstSilence{1'200};
// Callers leave a stream that has not begun after two seconds at the earliest. One that
// is answered before may try again; of one that left, a replica may not hear.
constexpr Milliseconds sLeastOverdue{1'850};
// A timer that is later than this shows that the loop stood still: what came
// meanwhile has not been read yet.
constexpr Milliseconds sLoopStall{50};
constexpr Milliseconds sStandbyStep{1'000};
// Permits of replicas that named a limit; each one denied costs a way there and back.
constexpr std::uint32_t sMostDenied = 6;
constexpr int sBadRequest = 400;
constexpr int sUnavailable = 503;
constexpr std::string_view sQuarantined = "replicas ended under this request";

std::uint64_t randomNumber()
{
    static std::mt19937_64 random{std::random_device{}()};
    return random();
}

HttpResponse jsonError(int status, std::string_view reason)
{
    return HttpResponse::json(status, R"({"error":")" + std::string(reason) + R"("})");
}

bool hasFailed(const TryResult &result)
{
    return std::holds_alternative<TryNotRun>(result) || std::holds_alternative<TryUnknown>(result);
}

} // namespace

GatewayCall::GatewayCall(CallParts parts, HttpExchange &exchange)
    : mCall{.parts = parts, .exchange = exchange, .table = parts.config.table()}
    , mArrived(now())
    , mRandom(randomNumber())
    , mDeadlineTimer(exchange.executor())
    , mSilenceTimer(exchange.executor())
    , mStandbyDone(exchange.executor())
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
    if (mCall.isCallerGone) {
        co_await giveUp(502, "the caller left before its request was read");
    } else {
        co_await tryReplicas();
    }
    mDeadlineTimer.cancel();
    co_await endStandby();
}

std::optional<GatewayCall::Refusal> GatewayCall::prepare()
{
    mCall.caller = mCall.parts.calls.callerFields(mCall.exchange.request());
    if (!mCall.table) {
        return Refusal{503, "no configuration is known yet", sNoConfigComeBack};
    }
    if (mCall.caller.host.empty()) {
        return Refusal{sBadRequest, "host: expected one, found none or several", std::nullopt};
    }
    const bool mayBeStale = mCall.parts.config.mayBeStale();
    mCall.route = mCall.table->match(mCall.caller.host, mCall.exchange.request().path());
    if (mCall.route == nullptr) {
        if (mayBeStale) {
            return Refusal{503, "no such route in a configuration that may be old",
                           sNoConfigComeBack};
        }
        return Refusal{404, "no such route", std::nullopt};
    }
    if (auto refusal = findAccount()) {
        return refusal;
    }
    if (mCall.caller.id.empty()) {
        return Refusal{sBadRequest, "request id: expected one, found none or several",
                       std::nullopt};
    }
    const RouteTarget *target = pickTarget(*mCall.route, mRandom);
    if (target == nullptr) {
        return Refusal{503, "the route has no service", sNoReplicaComeBack};
    }
    mCall.serviceName = target->service;
    mCall.service = mCall.table->service(mCall.serviceName);
    const Milliseconds routeTime
        = mCall.route->timeout.count() > 0 ? mCall.route->timeout : sStandardTime;
    if (const auto left = quarantinedFor()) {
        return Refusal{503, std::string(sQuarantined), left};
    }
    if (mCall.caller.deadline) {
        // By the time it has left.
        mTimes.setWaitedBefore(
            mCall.parts.replicas.waitedBefore(mCall.route->name, *mCall.caller.deadline));
    }
    mCall.deadline = mArrived + std::min(routeTime, mCall.caller.deadline.value_or(routeTime));
    return std::nullopt;
}

std::optional<GatewayCall::Refusal> GatewayCall::findAccount()
{
    const bool needsKey = !mCall.table->config().accounts.empty() && !mCall.route->isOpen;
    if (!needsKey) {
        return std::nullopt;
    }
    const ClientAccount *account
        = mCall.caller.key.empty() ? nullptr : mCall.table->accountOf(mCall.caller.key);
    if (account != nullptr) {
        mCall.account = account->name;
        return std::nullopt;
    }
    if (!mCall.caller.key.empty() && mCall.parts.config.mayBeStale()) {
        return Refusal{503, "no such key in a configuration that may be old", sNoConfigComeBack};
    }
    return Refusal{401, "no such key", std::nullopt};
}

void GatewayCall::startWatching()
{
    // Handlers that are queued already may run after the call has ended.
    const std::weak_ptr<bool> alive = mAlive;
    mCall.exchange.watchCaller([this, alive] {
        if (alive.expired()) {
            return;
        }
        mCall.isCallerGone = true;
        cancelTries();
    });
    mDeadlineTimer.expires_at(bootTime(mCall.deadline));
    mDeadlineTimer.async_wait([this, alive](const boost::system::error_code &error) {
        if (error || alive.expired()) {
            return;
        }
        mCall.isTimeOver = true;
        cancelTries();
    });
}

void GatewayCall::cancelTries()
{
    if (mTry) {
        mTry->cancel();
    }
    if (mStandby) {
        mStandby->cancel();
    }
}

ReplicaQuery GatewayCall::query() const
{
    ReplicaQuery query;
    query.service = mCall.serviceName;
    query.dataCentre = mCall.parts.settings.dataCentre;
    query.goal = mCall.route->goal;
    query.promptTokens = mCall.caller.promptTokens;
    query.gatewayCount = mCall.parts.members.gatewayCount();
    query.excluded = mExcluded;
    query.random = mRandom + mSends;
    query.waited
        = mTimes.waitedBefore() + std::chrono::duration_cast<Milliseconds>(now() - mArrived);
    query.timeLeft = mCall.caller.deadline ? mCall.timeLeft() : Milliseconds(0);
    query.isResumed = mCall.isHeadSent;
    if (mCall.service != nullptr && mCall.service->engine) {
        query.engine = &*mCall.service->engine;
        const WeightsGoal &weights = mCall.parts.config.weights();
        query.minVersion = weights.oldestAllowed(mCall.caller.model, now());
        query.weights = &weights;
        query.model = mCall.caller.model;
    }
    return query;
}

awaitable<ReplicaChoice> GatewayCall::choose() const
{
    const ReplicaQuery asked = query();
    co_return co_await mCall.parts.replicas.choose(asked);
}

// A caller that came back before a replica takes requests again would be refused again.
Milliseconds GatewayCall::comeBackAfterRefusal() const
{
    return mCall.parts.replicas.replicas()
        .retryDelayIfPaused(query(), now())
        .value_or(sRefusedComeBack);
}

awaitable<void> GatewayCall::tryReplicas()
{
    mCall.parts.replicas.noteRequest(mCall.serviceName, mCall.route->goal);
    Refusal last{503, "no replica can take it", sNoReplicaComeBack};
    std::optional<TryUnknown> unknown;
    while (true) {
        const ReplicaChoice choice = co_await choose();
        if (mCall.isCallerGone || mCall.isTimeOver) {
            co_await giveUp(mSends == 0 ? 503 : 504, "time was over before a replica was chosen");
            co_return;
        }
        const auto *chosen = std::get_if<ChosenReplica>(&choice);
        if (chosen == nullptr) {
            mNoMore = std::holds_alternative<AllBusy>(choice) ? "all busy" : "no replica";
            const auto *busy = std::get_if<AllBusy>(&choice);
            if (busy != nullptr && (mExcluded.empty() || busy->areAllPaused)) {
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
        // Every send passes a permit, first ones, repeats and resumed streams: a limit that a
        // replica named holds for all gateways together, which no gateway can count alone.
        if (!co_await mCall.parts.replicas.takePermit(chosen->id)) {
            if (++mDenied == sMostDenied) {
                mNoMore = "no permit";
                break;
            }
            continue;
        }
        TryResult result = co_await tryOnce(*chosen);
        if (std::holds_alternative<TryDone>(result)) {
            noteGoodEnd();
            co_return;
        }
        co_await noteFailed(*mTry, result);
        if (auto *over = std::get_if<TryOver>(&result)) {
            co_await giveUp(mSends == 0 ? 503 : 504, over->reason);
            co_return;
        }
        if (auto *failed = std::get_if<TryUnknown>(&result)) {
            const bool again = mayRepeat();
            unknown = std::move(*failed);
            if (!again) {
                mNoMore = "may not be repeated";
                break;
            }
        }
        if (auto *notRun = std::get_if<TryNotRun>(&result)) {
            last = {503, notRun->reason, comeBackAfterRefusal()};
        }
        const bool wasSent = mSends > 0;
        mNoMore = noFurtherTry();
        if (mNoMore.empty() && wasSent && !mCall.parts.replicas.takeRepeat(mCall.serviceName)) {
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
    if (unknown->answer && !mCall.isHeadSent) {
        const int status = unknown->answer->status;
        co_await mCall.exchange.respond(std::move(*unknown->answer));
        logEnd(status, "answered", unknown->reason);
        co_return;
    }
    co_await giveUp(502, unknown->reason);
}

std::string_view GatewayCall::noFurtherTry() const
{
    if (mSends >= std::max<std::uint32_t>(mCall.route->attempts, 1)) {
        return "no attempt left";
    }
    if (mFailedConnects >= sMostFailedConnects) {
        return "no replica was reached";
    }
    return mCall.timeLeft() > sLeastTime ? "" : "no time left";
}

const RequestDigest &GatewayCall::digest()
{
    if (mDigest.isEmpty()) {
        const HttpRequest &request = mCall.exchange.request();
        mDigest = RequestDigest::of(mCall.account, request.target, request.body);
    }
    return mDigest;
}

std::optional<Milliseconds> GatewayCall::quarantinedFor()
{
    if (mCall.parts.quarantine.isEmpty()) {
        return std::nullopt;
    }
    return mCall.parts.quarantine.refusedFor(digest());
}

void GatewayCall::noteSent()
{
    ++mSends;
    if (!mCall.parts.quarantine.isEmpty()) {
        mCall.parts.quarantine.noteSent(digest());
    }
}

awaitable<void> GatewayCall::noteFailed(const ReplicaTry &attempt, const TryResult &result)
{
    mExcluded.push_back(attempt.chosen().id);
    const auto *failed = std::get_if<TryUnknown>(&result);
    if (failed != nullptr && failed->isCut) {
        const RequestDigest own = digest();
        co_await mCall.parts.quarantine.noteCut(own, mCall.account, attempt.life());
    }
}

void GatewayCall::noteGoodEnd()
{
    if (!mCall.parts.quarantine.isEmpty()) {
        mCall.parts.quarantine.noteGoodEnd(digest());
    }
}

bool GatewayCall::mayRepeat() const
{
    if (!mCall.route->mayRepeat() || mCall.isCallerGone || mCall.isTimeOver) {
        return false;
    }
    // Two replicas ended under it: a third within the same call would be the next, and
    // all that runs there with it.
    if (!mDigest.isEmpty() && mCall.parts.quarantine.isHeldBack(mDigest)) {
        return false;
    }
    // Behind events that the caller has, only a resumed stream can follow.
    return !mCall.isHeadSent || (mCall.route->isResumable && mCall.route->isStream);
}

void GatewayCall::adopt(std::unique_ptr<ReplicaTry> attempt)
{
    mTry = std::move(attempt);
    mTried = mTry->chosen();
    mWasPatient = mWasPatient || mTried.isPatient;
}

awaitable<TryResult> GatewayCall::tryOnce(ChosenReplica chosen)
{
    adopt(std::make_unique<ReplicaTry>(mCall, std::move(chosen)));
    TryResult result = co_await runTry();
    while (true) {
        stopAwaitingSilence();
        mTry->end(result);
        if (!hasFailed(result)) {
            co_return result;
        }
        const bool isFollowed = co_await standbyFollows();
        if (!isFollowed) {
            co_return result;
        }
        co_await noteFailed(*mTry, result);
        adopt(std::move(mStandby));
        mHasStandbyBegun = false;
        LinkHead head = std::move(mStandbyHead);
        result = co_await passStream(std::move(head));
    }
}

awaitable<TryResult> GatewayCall::runTry()
{
    auto failed = co_await mTry->connect();
    if (failed) {
        mFailedConnects += mTry->wasReached() ? 0 : 1;
        co_return std::move(*failed);
    }
    noteSent();
    if (mCall.route->isStream) {
        const auto first = std::max(sLeastFirstSilence, mCall.route->goal * sSilentGoals);
        mOverdueAt = now() + std::max(first, sLeastOverdue);
        awaitSilence(first);
    }
    auto head = co_await mTry->begin();
    if (!head) {
        co_return std::move(head.error());
    }
    if (mTry->isStream()) {
        co_return co_await passStream(std::move(*head));
    }
    co_return co_await passWhole(std::move(*head));
}

awaitable<TryResult> GatewayCall::passWhole(LinkHead head)
{
    auto body = co_await mTry->readWhole();
    if (!body) {
        co_return std::move(body.error());
    }
    if (mCall.isHeadSent) {
        // A resumed stream was refused with a failure; the caller has its head already.
        co_return TryUnknown{"failure " + std::to_string(head.status) + " on resuming",
                             std::nullopt};
    }
    HttpResponse response{head.status, mCall.parts.calls.answerHeaders(head), std::move(*body)};
    if (head.status == sUnavailable) {
        response.headers.push_back(mCall.parts.calls.comeBack(comeBackAfterRefusal()));
    }
    if (head.status >= 500) {
        co_return TryUnknown{"failure of the replica's own", std::move(response)};
    }
    noteAnswerBegun();
    const bool sent = co_await mCall.exchange.respond(std::move(response));
    logEnd(head.status, sent ? "answered" : "caller left", "");
    co_return TryDone{};
}

awaitable<TryResult> GatewayCall::passStream(LinkHead head)
{
    while (true) {
        auto events = co_await mTry->nextEvents();
        if (!events) {
            co_return std::move(events.error());
        }
        // The standby goes on from the last event that the caller got before it began.
        if (mHasStandbyBegun) {
            co_return TryUnknown{"silent", std::nullopt};
        }
        // At once: the standby could begin while this part of the answer is on its way.
        stopAwaitingSilence();
        dropStandby();
        if (!mCall.isHeadSent) {
            co_await beginStream(head);
        }
        if (events->isEnd) {
            break;
        }
        if (!co_await passEvents(*events)) {
            mCall.isCallerGone = true;
            mTry->cancel();
            co_return TryOver{"the caller left"};
        }
    }
    const bool sent = co_await mCall.exchange.endStream();
    logEnd(head.status, sent ? "answered" : "caller left", "");
    co_return TryDone{};
}

awaitable<void> GatewayCall::beginStream(const LinkHead &head)
{
    noteAnswerBegun();
    mCall.isHeadSent = true;
    HttpResponse begin{head.status, mCall.parts.calls.answerHeaders(head), {}};
    co_await mCall.exchange.beginStream(std::move(begin));
}

// False: the caller left.
awaitable<bool> GatewayCall::passEvents(const EventBatch &events)
{
    mTimes.noteEvents(now());
    mCall.lastEvent = events.last;
    mEvents += events.count;
    const bool sent = co_await mCall.exchange.write(events.text);
    awaitSilence(std::max(sLeastStreamSilence, mCall.route->pauseGoal * sSilentPauses));
    co_return sent;
}

void GatewayCall::awaitSilence(Milliseconds silence)
{
    mSilence = silence;
    mIsAwaitingSilence = true;
    mSilenceTimer.expires_at(bootTime(now() + silence));
    const std::weak_ptr<bool> alive = mAlive;
    mSilenceTimer.async_wait([this, alive](const boost::system::error_code &error) {
        if (!error && !alive.expired()) {
            onSilence();
        }
    });
}

void GatewayCall::stopAwaitingSilence()
{
    mIsAwaitingSilence = false;
    mSilenceTimer.cancel();
}

void GatewayCall::onSilence()
{
    const auto late = BootClock::now() - mSilenceTimer.expiry();
    if (!mIsAwaitingSilence || late < late.zero()) {
        return; // queued before the replica spoke
    }
    if (late > sLoopStall) {
        awaitSilence(mSilence);
        return;
    }
    mIsAwaitingSilence = false;
    if (isOverdue()) {
        mTry->replace();
        return;
    }
    if (mIsStandbyRunning || !mayRepeat() || !noFurtherTry().empty()) {
        awaitMore();
        return;
    }
    mIsStandbyRunning = true;
    mIsStandbyDropped = false;
    // run() waits until it has ended.
    asio::co_spawn(mCall.exchange.executor(), findStandby(), [this](const std::exception_ptr &) {
        mIsStandbyRunning = false;
        mStandbyDone.notify();
    });
}

bool GatewayCall::isOverdue() const
{
    return !mCall.isHeadSent && now() >= mOverdueAt;
}

// The try goes on without a standby.
void GatewayCall::awaitMore()
{
    const auto left = std::chrono::duration_cast<Milliseconds>(mOverdueAt - now());
    awaitSilence(mCall.isHeadSent ? mSilence : std::max(left, Milliseconds(1)));
}

bool GatewayCall::isStandbyWanted() const
{
    return !mIsStandbyDropped && !mCall.isCallerGone && !mCall.isTimeOver;
}

// A silent replica may only be slow. Given up before another one has taken the request
// over, its caller would be cut where none does.
awaitable<void> GatewayCall::findStandby()
{
    auto chosen = co_await chooseStandby();
    std::string_view how = "none found";
    if (chosen) {
        how = co_await runStandby(std::move(*chosen));
    }
    mCall.parts.metrics.count("standby_tries", how);
    const bool isTryUnderWay = !mTry->hasEnded() && !mHasStandbyBegun && isStandbyWanted();
    if (isTryUnderWay) {
        awaitMore();
    }
}

awaitable<std::optional<ChosenReplica>> GatewayCall::chooseStandby()
{
    mExcluded.push_back(mTry->chosen().id);
    const ReplicaChoice choice = co_await choose();
    const auto *chosen = std::get_if<ChosenReplica>(&choice);
    if (chosen == nullptr || !isStandbyWanted() || quarantinedFor()) {
        co_return std::nullopt;
    }
    if (!co_await mCall.parts.replicas.takePermit(chosen->id)) {
        co_return std::nullopt;
    }
    if (!isStandbyWanted() || !mCall.parts.replicas.takeRepeat(mCall.serviceName)) {
        co_return std::nullopt;
    }
    co_return *chosen;
}

// What became of it.
awaitable<std::string_view> GatewayCall::runStandby(ChosenReplica chosen)
{
    mStandby = std::make_unique<ReplicaTry>(mCall, std::move(chosen));
    std::optional<TryResult> failed = co_await beginStandby();
    if (!failed && isStandbyWanted()) {
        mHasStandbyBegun = true;
        mTry->replace();
        co_return "took over";
    }
    const TryResult result = failed ? std::move(*failed) : TryOver{};
    mStandby->end(result);
    co_await noteFailed(*mStandby, result);
    mStandby.reset();
    co_return mIsStandbyDropped ? "not needed" : "failed";
}

awaitable<std::optional<TryResult>> GatewayCall::beginStandby()
{
    auto failed = co_await mStandby->connect();
    if (failed) {
        co_return std::move(failed);
    }
    noteSent();
    auto head = co_await mStandby->begin();
    if (!head) {
        co_return std::move(head.error());
    }
    if (!mStandby->isStream()) {
        co_return TryUnknown{"failure " + std::to_string(head->status), std::nullopt};
    }
    mStandbyHead = std::move(*head);
    co_return co_await mStandby->holdEvents();
}

// Waits for a standby that is on its way; false: there is none that has begun.
awaitable<bool> GatewayCall::standbyFollows()
{
    while (mIsStandbyRunning) {
        co_await mStandbyDone.waitFor(sStandbyStep);
    }
    co_return mHasStandbyBegun;
}

void GatewayCall::dropStandby()
{
    mIsStandbyDropped = true;
    if (mStandby) {
        mStandby->drop();
    }
}

awaitable<void> GatewayCall::endStandby()
{
    stopAwaitingSilence();
    dropStandby();
    const bool hasBegun = co_await standbyFollows();
    if (hasBegun) {
        mStandby->end(TryOver{});
    }
}

void GatewayCall::noteAnswerBegun()
{
    if (mTimes.noteStart(now())) {
        mCall.parts.metrics.observe("first_answer_ms", mCall.serviceName,
                                    static_cast<double>(mTimes.first()->count()));
    }
}

awaitable<void> GatewayCall::refuse(Refusal refusal)
{
    if (mCall.isHeadSent || mCall.isCallerGone) {
        co_await giveUp(502, refusal.reason);
        co_return;
    }
    HttpResponse response = jsonError(refusal.status, refusal.reason);
    if (refusal.comeBack) {
        response.headers.push_back(mCall.parts.calls.comeBack(*refusal.comeBack));
    }
    co_await mCall.exchange.respond(std::move(response));
    logEnd(refusal.status, "refused", refusal.reason);
}

awaitable<void> GatewayCall::giveUp(int status, std::string reason)
{
    if (mCall.isHeadSent || mCall.isCallerGone) {
        mCall.exchange.abort(); // a cut answer must not look whole
        if (!mCall.isCallerGone) {
            mCall.parts.metrics.count("cut_answers", reason);
        }
        logEnd(0, mCall.isCallerGone ? "caller left" : "cut", reason);
        co_return;
    }
    HttpResponse response = jsonError(status, reason);
    co_await mCall.exchange.respond(std::move(response));
    logEnd(status, "unknown", reason);
}

std::string GatewayCall::pausedByNotices() const
{
    return mCall.parts.replicas.replicas().pausedByNotices(mCall.serviceName, now());
}

void GatewayCall::logEnd(int status, std::string_view outcome, std::string_view reason)
{
    const auto took = std::chrono::duration_cast<Milliseconds>(now() - mArrived);
    const bool isJudged = outcome == "answered" && mCall.route != nullptr;
    const std::string_view late = isJudged ? mTimes.latenessCause(*mCall.route, mSends) : "";
    mCall.parts.metrics.count("calls", outcome);
    mCall.parts.replicas.noteEnd(status == 503);
    if (!late.empty()) {
        mCall.parts.metrics.count("late", late);
    }
    logLine(LogLevel::Info, "call",
            {{"id", mCall.caller.id},
             {"route",
              mCall.route == nullptr ? std::string_view() : std::string_view(mCall.route->name)},
             {"service", mCall.serviceName},
             {"account", mCall.account},
             {"config", mCall.table ? mCall.table->version() : 0},
             {"status", status},
             {"outcome", outcome},
             {"reason", reason},
             {"sends", mSends},
             {"denied", mDenied},
             {"noMore", mNoMore},
             {"held", outcome == "refused" ? pausedByNotices() : std::string()},
             {"events", mEvents},
             {"replica", mTried.id},
             {"request", mDigest.text()},
             {"load", mTried.load},
             {"loadAgeMs", mTried.loadAge.count()},
             {"predictedMs", std::lround(mTried.answerMs)},
             {"patient", mWasPatient},
             {"waitedBeforeMs", mTimes.waitedBefore().count()},
             {"deadlineMs", mCall.caller.deadline ? mCall.caller.deadline->count() : -1},
             {"late", late},
             {"pauseMs", mTimes.longestPause().count()},
             {"firstMs", mTimes.first().value_or(Milliseconds(-1)).count()},
             {"tookMs", took.count()}});
}

} // namespace Loom
