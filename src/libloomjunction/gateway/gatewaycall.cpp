/*
 * gatewaycall.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "gatewaycall.h"

#include "clock.h"
#include "joinedtext.h"
#include "jsonlog.h"
#include "memberservice.h"
#include "metrics.h"
#include "operatorconfigservice.h"
#include "replicaservice.h"
#include "requestdigest.h"
#include "sizeband.h"

#include <algorithm>
#include <cmath>
#include <exception>
#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>

namespace Loom {

namespace {

// Callers are told to retry soon while no configuration is known or it may be stale.
constexpr Milliseconds sNoConfigRetryDelay{300};
constexpr Milliseconds sNoReplicaRetryDelay{400};
constexpr Milliseconds sRefusedRetryDelay{200};
// For requests without a deadline on routes without a timeout.
constexpr Milliseconds sDefaultTimeout{10'000};
// Limits failed connects, which do not count as sends but cost time.
constexpr std::uint32_t sMaxFailedConnects = 3;
// A stream counts as silent after this many times the longest pause that its route aims at, but
// not before the minimum: engine steps take longer while many prompts are processed.
constexpr int sStreamSilencePauses = 4;
constexpr Milliseconds sMinStreamSilence{1'000};
// Before its first event, a request may wait in the replica's queue, so the limit is based on the
// latency goal of the route.
constexpr int sFirstSilenceGoals = 4;
constexpr Milliseconds sMinFirstSilence{1'200};
// Callers abandon a stream without a first event after two seconds at the earliest. A caller that
// gets an error before then can retry. After a disconnect, a stalled replica may never learn that
// the request was abandoned.
constexpr Milliseconds sMinFirstEventTimeout{1'850};
// A timer that fires later than this shows that the event loop stalled: data that arrived in the
// meantime has not been read yet.
constexpr Milliseconds sMinLoopStall{50};
constexpr Milliseconds sHedgeWaitInterval{1'000};
// Limits the denied send permits for replicas with a rate limit; each one costs a network round
// trip.
constexpr std::uint32_t sMaxDeniedPermits = 6;
// Repeats within it have the same standing and exemption, so that immediate repeats gain no second
// chance. Callers that honour Retry-After under overload return in a later period.
constexpr Milliseconds sRepeatPeriod{1'000};
// Generating a token takes about as long as reading ten tokens of a prompt.
constexpr double sOutputTokenWork = 10;
constexpr int sBadRequest = 400;
constexpr int sUnauthorized = 401;
constexpr int sNotFound = 404;
constexpr int sUnavailable = 503;
// Sent to callers of a request that is quarantined because replicas crashed while executing it.
constexpr std::string_view sQuarantinedReason = "replicas ended under this request";

std::uint64_t randomNumber()
{
    static std::mt19937_64 random{std::random_device{}()};
    return random();
}

HttpResponse jsonError(int status, std::string_view reason)
{
    return HttpResponse::json(status, R"({"error":")" + std::string(reason) + R"("})");
}

bool hasFailed(const AttemptOutcome &result)
{
    return std::holds_alternative<AttemptNotExecuted>(result)
        || std::holds_alternative<AttemptUnknown>(result);
}

} // namespace

GatewayCall::GatewayCall(CallParts parts, HttpExchange &exchange)
    : mCall{.parts = parts, .exchange = exchange, .table = parts.config.table()}
    , mQuarantine(mCall)
    , mArrivedAt(now())
    , mRandom(randomNumber())
    , mDeadlineTimer(exchange.executor())
    , mSilenceTimer(exchange.executor())
    , mHedgeEnded(exchange.executor())
    , mTimes(mArrivedAt)
{
}

GatewayCall::~GatewayCall() = default;

awaitable<void> GatewayCall::run()
{
    if (auto refusal = prepare()) {
        co_await refuse(std::move(*refusal));
        co_return;
    }
    watchCallerAndDeadline();
    // A hedge uses this object until it ends, whatever ends the call.
    std::exception_ptr thrown;
    try {
        if (mCall.isCallerGone) {
            co_await failCall(502, "the caller left before its request was read");
        } else {
            co_await sendToReplicas();
        }
    } catch (...) {
        thrown = std::current_exception();
    }
    mDeadlineTimer.cancel();
    co_await finishHedge();
    if (thrown) {
        std::rethrow_exception(thrown);
    }
}

std::optional<GatewayCall::Refusal> GatewayCall::prepare()
{
    mCall.caller = mCall.parts.calls.callerFields(mCall.exchange.request());
    if (mCall.caller.hasUnreadableParts) {
        mCall.parts.metrics.count("unreadable_prompt_parts");
    }
    if (!mCall.table) {
        return Refusal{503, "no configuration is known yet", sNoConfigRetryDelay};
    }
    if (mCall.caller.host.empty()) {
        return Refusal{sBadRequest, "host: expected one, found none or several", std::nullopt};
    }
    const bool mayBeStale = mCall.parts.config.mayBeStale();
    mCall.route = mCall.table->match(mCall.caller.host, mCall.exchange.request().path());
    if (mCall.route == nullptr) {
        if (mayBeStale) {
            return Refusal{503, "no such route in a configuration that may be old",
                           sNoConfigRetryDelay};
        }
        return Refusal{sNotFound, "no such route", std::nullopt};
    }
    mStanding.rank.route = mCall.route->priority;
    if (auto refusal = authenticate()) {
        return refusal;
    }
    if (mCall.caller.id.empty()) {
        return Refusal{sBadRequest, "request id: expected one, found none or several",
                       std::nullopt};
    }
    const RouteTarget *target = pickTarget(*mCall.route, mRandom);
    if (target == nullptr) {
        return Refusal{503, "the route has no service", sNoReplicaRetryDelay};
    }
    mCall.serviceName = target->service;
    mCall.service = mCall.table->service(mCall.serviceName);
    const Milliseconds routeTime
        = mCall.route->timeout.count() > 0 ? mCall.route->timeout : sDefaultTimeout;
    if (auto refusal = quarantineRefusal()) {
        return refusal;
    }
    if (mCall.caller.deadline) {
        // How long the caller has been retrying is estimated from the time that it has left.
        mTimes.setWaitedBefore(
            mCall.parts.replicas.waitedBefore(mCall.route->name, *mCall.caller.deadline));
    }
    mCall.deadline = mArrivedAt + std::min(routeTime, mCall.caller.deadline.value_or(routeTime));
    return std::nullopt;
}

std::optional<GatewayCall::Refusal> GatewayCall::authenticate()
{
    const bool needsKey = !mCall.table->config().accounts.empty() && !mCall.route->isPublic;
    if (!needsKey) {
        return std::nullopt;
    }
    const ClientAccount *account
        = mCall.caller.key.empty() ? nullptr : mCall.table->accountForKey(mCall.caller.key);
    if (account != nullptr) {
        mCall.account = account->name;
        mStanding.rank.account = account->priority;
        return std::nullopt;
    }
    if (mCall.parts.config.mayBeStale()) {
        return Refusal{503, "no such key in a configuration that may be old", sNoConfigRetryDelay};
    }
    return Refusal{sUnauthorized, "no such key", std::nullopt};
}

void GatewayCall::watchCallerAndDeadline()
{
    // Handlers that are already queued may run after the call has been destroyed.
    const std::weak_ptr<bool> alive = mAlive;
    mCall.exchange.watchCaller([this, alive] {
        if (alive.expired()) {
            return;
        }
        mCall.isCallerGone = true;
        cancelAttempts();
    });
    mDeadlineTimer.expires_at(bootTime(mCall.deadline));
    mDeadlineTimer.async_wait([this, alive](const boost::system::error_code &error) {
        if (error || alive.expired()) {
            return;
        }
        mCall.isTimedOut = true;
        cancelAttempts();
    });
}

void GatewayCall::cancelAttempts()
{
    if (mAttempt) {
        mAttempt->cancel();
    }
    if (mHedge) {
        mHedge->cancel();
    }
}

ReplicaQuery GatewayCall::query(const AllowedRegions &regions) const
{
    ReplicaQuery query;
    query.regions = regions;
    query.service = mCall.serviceName;
    query.dataCentre = mCall.parts.settings.dataCentre;
    query.goal = mCall.route->goal;
    query.promptTokens = mCall.caller.promptTokens;
    query.gatewayCount = mCall.parts.members.gatewayCount();
    query.excluded = mExcludedReplicas;
    query.random = mRandom + mSendCount;
    query.waited
        = mTimes.waitedBefore() + std::chrono::duration_cast<Milliseconds>(now() - mArrivedAt);
    query.timeLeft = mCall.caller.deadline ? mCall.timeLeft() : Milliseconds(0);
    query.isResumed = mCall.isHeadSent;
    query.standing = mStanding;
    query.account = mCall.account;
    query.work = work();
    query.repeatSeed = mRepeatSeed;
    if (mCall.service != nullptr && mCall.service->engine) {
        query.engine = &*mCall.service->engine;
        const WeightVersionTracker &weights = mCall.parts.config.weights();
        query.minVersion = weights.oldestAllowed(mCall.caller.model, now());
        query.weights = &weights;
        query.model = mCall.caller.model;
    }
    return query;
}

double GatewayCall::work() const
{
    const double work = mCall.caller.promptTokens + sOutputTokenWork * mCall.caller.outputTokens;
    return work > 0 ? work : 1;
}

void GatewayCall::noteArrival()
{
    std::optional<CallOrigin> origin;
    if (mCall.isForEngine()) {
        const HttpRequest &request = mCall.exchange.request();
        const auto period = static_cast<std::uint64_t>(wallNow().count() / sRepeatPeriod.count());
        mRepeatSeed
            = RequestDigest::repeatSeed(mCall.account, request.target, request.body, period);
        origin = CallOrigin{mStanding.rank, mCall.account, work(), mRepeatSeed};
    }
    const RequestStanding standing
        = mCall.parts.replicas.noteRequest(mCall.serviceName, mCall.route->goal, origin);
    mStanding.isOverShare = standing.isOverShare;
}

awaitable<ReplicaChoice> GatewayCall::choose() const
{
    // Keeps the lists of regions while agents are probed.
    const RouteTablePtr current = mCall.parts.config.table();
    const ReplicaQuery asked = query(mCall.allowedRegions(*current));
    co_return co_await mCall.parts.replicas.choose(asked);
}

// A stream whose beginning the caller has is lost if it is not continued. Replicas that load newer
// weights break off all their streams within some tenths of a second, when few others can take
// them yet.
awaitable<bool> GatewayCall::waitForReplica(const ReplicaChoice &choice)
{
    const auto *none = std::get_if<NoneUsable>(&choice);
    const bool isHopeless = none != nullptr && none->known <= mExcludedReplicas.size();
    if (!mCall.isHeadSent || isHopeless) {
        co_return false;
    }
    if (mQueuedAt == Instant()) {
        mQueuedAt = now();
    }
    const Instant until
        = std::min(resumeDeadline(*mCall.route, mLastForwardedAt), mCall.deadline - sMinTimeLeft);
    co_return co_await mCall.parts.replicas.capacityQueue(mCall.serviceName)
        .waitForTurn(mQueuePlace, until, [this] { return mCall.isCallerGone || mCall.isTimedOut; });
}

void GatewayCall::leaveCapacityQueue(bool hasFound)
{
    if (mQueuedAt == Instant()) {
        return;
    }
    mQueuePlace.leave();
    mQueuedFor += std::chrono::duration_cast<Milliseconds>(now() - mQueuedAt);
    mQueuedAt = Instant();
    mCall.parts.metrics.count("resume_waits", hasFound ? "found" : "none found");
}

// A caller that retries before any replica accepts requests again would only be refused again.
Milliseconds GatewayCall::retryDelayAfterRefusal() const
{
    const RouteTablePtr current = mCall.parts.config.table();
    return mCall.parts.replicas.replicas()
        .retryDelayIfPaused(query(mCall.allowedRegions(*current)), now())
        .value_or(sRefusedRetryDelay);
}

GatewayCall::Refusal GatewayCall::refusalWithoutRegion(const NoneUsable &none) const
{
    const RouteTablePtr current = mCall.parts.config.table();
    const bool isContradictory = mCall.allowedRegions(*current).isContradictory();
    mCall.parts.metrics.count("region_refusals", mCall.serviceName);
    return {sUnavailable,
            isContradictory ? "no region may serve the request"
                            : "no replica in an allowed region can take it",
            none.retryAfter};
}

awaitable<void> GatewayCall::sendToReplicas()
{
    noteArrival();
    Refusal last{503, "no replica can take it", sNoReplicaRetryDelay};
    std::optional<AttemptUnknown> unknown;
    while (true) {
        const ReplicaChoice choice = co_await choose();
        if (mCall.isCallerGone || mCall.isTimedOut) {
            co_await failCall(mSendCount == 0 ? 503 : 504,
                              "time was over before a replica was chosen");
            co_return;
        }
        const auto *chosen = std::get_if<ChosenReplica>(&choice);
        if (chosen == nullptr && co_await waitForReplica(choice)) {
            continue;
        }
        leaveCapacityQueue(chosen != nullptr);
        if (mCall.isCallerGone || mCall.isTimedOut) {
            co_await failCall(504, "time was over before a replica was chosen");
            co_return;
        }
        if (chosen == nullptr) {
            mStopReason = std::holds_alternative<AllBusy>(choice) ? "all busy" : "no replica";
            const auto *busy = std::get_if<AllBusy>(&choice);
            mReserved = busy != nullptr ? busy->reserved : 0;
            mIsHeldBack = busy != nullptr && busy->isHeldBack;
            mIsRefusedForSize = busy != nullptr && busy->isForSize;
            if (busy != nullptr && (mExcludedReplicas.empty() || busy->areAllPaused)) {
                last = {503, "all replicas are busy", busy->retryAfter};
            }
            if (const auto *none = std::get_if<NoneUsable>(&choice);
                none && mExcludedReplicas.empty()) {
                last.retryAfter = none->retryAfter;
            }
            if (const auto *none = std::get_if<NoneUsable>(&choice); none && none->isRegionBound) {
                mStopReason = "no region";
                last = refusalWithoutRegion(*none);
            } else if (none != nullptr && none->areWeightsExpired) {
                mStopReason = "weights over";
                mCall.parts.metrics.count("weights_refusals", mCall.caller.model);
            }
            break;
        }
        // Other gateways may have reported the request since it arrived or since the last attempt.
        if (auto refusal = quarantineRefusal()) {
            last = std::move(*refusal);
            mStopReason = "held back";
            break;
        }
        // Every send needs a permit, whether first send, retry or resumed stream: a replica's rate
        // limit applies to all gateways together, and no gateway can enforce it alone.
        if (!co_await mCall.parts.replicas.takePermit(chosen->id)) {
            if (++mDeniedPermitCount == sMaxDeniedPermits) {
                mStopReason = "no permit";
                break;
            }
            continue;
        }
        AttemptOutcome result = co_await runAttemptWithHedge(*chosen);
        if (const auto *completed = std::get_if<AttemptCompleted>(&result)) {
            if (completed->isSuccess) {
                mQuarantine.noteSuccess();
            }
            co_return;
        }
        co_await noteFailedAttempt(*mAttempt, result);
        if (auto *over = std::get_if<AttemptAborted>(&result)) {
            co_await failCall(mSendCount == 0 ? 503 : 504, over->reason);
            co_return;
        }
        if (auto *failed = std::get_if<AttemptUnknown>(&result)) {
            const bool mayRepeatAgain = mayRepeat();
            unknown = std::move(*failed);
            if (!mayRepeatAgain) {
                mStopReason = "may not be repeated";
                break;
            }
        }
        if (auto *notRun = std::get_if<AttemptNotExecuted>(&result)) {
            last = {503, notRun->reason, retryDelayAfterRefusal()};
        }
        const bool wasSent = mSendCount > 0;
        mStopReason = stopReason();
        if (mStopReason.empty() && wasSent && !mCall.parts.replicas.takeRetry(mCall.serviceName)) {
            mStopReason = "no repeat left";
        }
        if (!mStopReason.empty()) {
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
        logOutcome(status, "answered", unknown->reason);
        co_return;
    }
    co_await failCall(502, unknown->reason);
}

std::string_view GatewayCall::stopReason() const
{
    if (mSendCount >= std::max<std::uint32_t>(mCall.route->attempts, 1)) {
        return "no attempt left";
    }
    if (mFailedConnectCount >= sMaxFailedConnects) {
        return "no replica was reached";
    }
    return mCall.timeLeft() > sMinTimeLeft ? "" : "no time left";
}

std::optional<GatewayCall::Refusal> GatewayCall::quarantineRefusal()
{
    const auto refusal = mQuarantine.refusal();
    if (!refusal) {
        return std::nullopt;
    }
    return Refusal{sUnavailable, std::string(sQuarantinedReason), refusal->timeLeft};
}

void GatewayCall::noteSent()
{
    ++mSendCount;
    mQuarantine.noteSent();
}

awaitable<void> GatewayCall::noteFailedAttempt(const ReplicaAttempt &attempt,
                                               const AttemptOutcome &result)
{
    mExcludedReplicas.push_back(attempt.chosen().id);
    const auto *failed = std::get_if<AttemptUnknown>(&result);
    if (failed != nullptr && failed->isClosedByReplica) {
        co_await mQuarantine.noteConnectionLost(attempt);
    }
}

bool GatewayCall::mayRepeat()
{
    if (!mCall.route->mayRepeat() || mCall.isCallerGone || mCall.isTimedOut) {
        return false;
    }
    if (mQuarantine.isRetryForbidden()) {
        return false;
    }
    // Once the caller has received events, only a resumed stream can continue the response.
    return !mCall.isHeadSent || (mCall.route->isResumable && mCall.route->isStream);
}

void GatewayCall::setAttempt(std::unique_ptr<ReplicaAttempt> attempt)
{
    mAttempt = std::move(attempt);
    mLastChosen = mAttempt->chosen();
    mReserved = mLastChosen.reserved;
    mWasPatient = mWasPatient || mLastChosen.isPatient;
}

awaitable<AttemptOutcome> GatewayCall::runAttemptWithHedge(ChosenReplica chosen)
{
    setAttempt(std::make_unique<ReplicaAttempt>(mCall, std::move(chosen)));
    AttemptOutcome result = co_await runAttempt();
    while (true) {
        stopSilenceTimer();
        mAttempt->end(result);
        if (!hasFailed(result)) {
            co_return result;
        }
        const bool hasHedge = co_await waitForHedge();
        if (!hasHedge) {
            co_return result;
        }
        co_await noteFailedAttempt(*mAttempt, result);
        setAttempt(std::move(mHedge));
        mHasHedgeTakenOver = false;
        LinkHead head = std::move(mHedgeHead);
        result = co_await forwardStream(std::move(head));
    }
}

awaitable<AttemptOutcome> GatewayCall::runAttempt()
{
    auto failed = co_await mAttempt->connect();
    if (failed) {
        mFailedConnectCount += mAttempt->wasConnected() ? 0 : 1;
        co_return std::move(*failed);
    }
    if (auto held = outcomeIfQuarantined()) {
        co_return std::move(*held);
    }
    noteSent();
    if (mCall.route->isStream) {
        const auto firstSilence
            = std::max(sMinFirstSilence, mCall.route->goal * sFirstSilenceGoals);
        mFirstEventDueAt = now() + std::max(firstSilence, sMinFirstEventTimeout);
        startSilenceTimer(firstSilence);
    }
    auto head = co_await mAttempt->sendRequest();
    if (!head) {
        co_return std::move(head.error());
    }
    if (mAttempt->isStream()) {
        co_return co_await forwardStream(std::move(*head));
    }
    co_return co_await forwardResponse(std::move(*head));
}

// Other gateways may have reported crashes while the attempt waited for its connection.
std::optional<AttemptOutcome> GatewayCall::outcomeIfQuarantined()
{
    if (!quarantineRefusal()) {
        return std::nullopt;
    }
    return AttemptNotExecuted{std::string(sQuarantinedReason)};
}

awaitable<AttemptOutcome> GatewayCall::forwardResponse(LinkHead head)
{
    auto body = co_await mAttempt->readWhole();
    if (!body) {
        co_return std::move(body.error());
    }
    if (mCall.isHeadSent) {
        // The replica answered a request to resume a stream with an error, which cannot be
        // forwarded because the caller already has the response head.
        co_return AttemptUnknown{"failure " + std::to_string(head.status) + " on resuming",
                                 std::nullopt};
    }
    HttpResponse response{head.status, mCall.parts.calls.responseHeaders(head), std::move(*body)};
    if (head.status == sUnavailable) {
        response.headers.push_back(mCall.parts.calls.retryAfter(retryDelayAfterRefusal()));
    }
    if (head.status >= 500) {
        co_return AttemptUnknown{"failure of the replica's own", std::move(response)};
    }
    noteResponseStarted();
    const bool sent = co_await mCall.exchange.respond(std::move(response));
    logOutcome(head.status, sent ? "answered" : "caller left", "");
    co_return AttemptCompleted{head.status / 100 == 2};
}

awaitable<AttemptOutcome> GatewayCall::forwardStream(LinkHead head)
{
    while (true) {
        auto events = co_await mAttempt->nextEvents();
        if (!events) {
            co_return std::move(events.error());
        }
        // The hedge continues after the last event that the caller had received when it started.
        if (mHasHedgeTakenOver) {
            co_return AttemptUnknown{"silent", std::nullopt};
        }
        // Cancels the hedge before writing: it could take over while the write is pending.
        stopSilenceTimer();
        cancelHedge();
        if (!mCall.isHeadSent) {
            co_await beginStream(head);
        }
        if (events->isEndOfStream) {
            co_await mCall.exchange.write(events->text); // comments behind the last event
            break;
        }
        if (!co_await forwardEvents(*events)) {
            mCall.isCallerGone = true;
            mAttempt->cancel();
            co_return AttemptAborted{"the caller left"};
        }
    }
    const bool sent = co_await mCall.exchange.endStream();
    logOutcome(head.status, sent ? "answered" : "caller left", "");
    co_return AttemptCompleted{true};
}

awaitable<void> GatewayCall::beginStream(const LinkHead &head)
{
    noteResponseStarted();
    mCall.isHeadSent = true;
    HttpResponse begin{head.status, mCall.parts.calls.responseHeaders(head), {}};
    co_await mCall.exchange.beginStream(std::move(begin));
}

// Returns false if the caller has disconnected.
awaitable<bool> GatewayCall::forwardEvents(const EventBatch &events)
{
    mTimes.noteEvents(now());
    mCall.lastEvent = events.last;
    mForwardedEventCount += events.count;
    mLastForwardedAt = now();
    mQuarantine.noteWriting(*mAttempt);
    const bool sent = co_await mCall.exchange.write(events.text);
    startSilenceTimer(std::max(sMinStreamSilence, mCall.route->pauseGoal * sStreamSilencePauses));
    co_return sent;
}

void GatewayCall::startSilenceTimer(Milliseconds silence)
{
    mSilenceTimeout = silence;
    mIsSilenceTimerRunning = true;
    mSilenceTimer.expires_at(bootTime(now() + silence));
    const std::weak_ptr<bool> alive = mAlive;
    mSilenceTimer.async_wait([this, alive](const boost::system::error_code &error) {
        if (!error && !alive.expired()) {
            onSilenceTimeout();
        }
    });
}

void GatewayCall::stopSilenceTimer()
{
    mIsSilenceTimerRunning = false;
    mSilenceTimer.cancel();
}

void GatewayCall::onSilenceTimeout()
{
    const auto late = BootClock::now() - mSilenceTimer.expiry();
    if (!mIsSilenceTimerRunning || late < late.zero()) {
        return; // queued before the replica sent data
    }
    if (late > sMinLoopStall) {
        startSilenceTimer(mSilenceTimeout);
        return;
    }
    mIsSilenceTimerRunning = false;
    if (isOverdue()) {
        mAttempt->cancelSilent();
        return;
    }
    if (mIsHedgeRunning || !mayRepeat() || !stopReason().empty()) {
        restartSilenceTimer();
        return;
    }
    mIsHedgeRunning = true;
    mIsHedgeCancelled = false;
    // run() waits for the hedge to end, so `this` stays valid.
    asio::co_spawn(mCall.exchange.executor(), tryHedge(), [this](const std::exception_ptr &) {
        mIsHedgeRunning = false;
        mHedgeEnded.notify();
    });
}

bool GatewayCall::isOverdue() const
{
    return !mCall.isHeadSent && now() >= mFirstEventDueAt;
}

// Continues the attempt without a hedge.
void GatewayCall::restartSilenceTimer()
{
    const auto left = std::chrono::duration_cast<Milliseconds>(mFirstEventDueAt - now());
    startSilenceTimer(mCall.isHeadSent ? mSilenceTimeout : std::max(left, Milliseconds(1)));
}

bool GatewayCall::isHedgeNeeded() const
{
    return !mIsHedgeCancelled && !mCall.isCallerGone && !mCall.isTimedOut;
}

// A silent replica may only be slow. If its attempt were abandoned before another replica has
// taken over, the response would be cut off where no other replica can.
awaitable<void> GatewayCall::tryHedge()
{
    auto chosen = co_await chooseHedgeReplica();
    std::string_view hedgeOutcome = "none found";
    if (chosen) {
        hedgeOutcome = co_await runHedge(std::move(*chosen));
    }
    mCall.parts.metrics.count("standby_tries", hedgeOutcome);
    const bool isAttemptRunning = !mAttempt->isFinished() && !mHasHedgeTakenOver && isHedgeNeeded();
    if (isAttemptRunning) {
        restartSilenceTimer();
    }
}

awaitable<std::optional<ChosenReplica>> GatewayCall::chooseHedgeReplica()
{
    mExcludedReplicas.push_back(mAttempt->chosen().id);
    const ReplicaChoice choice = co_await choose();
    const auto *chosen = std::get_if<ChosenReplica>(&choice);
    if (chosen == nullptr || !isHedgeNeeded() || quarantineRefusal()) {
        co_return std::nullopt;
    }
    if (!co_await mCall.parts.replicas.takePermit(chosen->id)) {
        co_return std::nullopt;
    }
    if (!isHedgeNeeded() || !mCall.parts.replicas.takeRetry(mCall.serviceName)) {
        co_return std::nullopt;
    }
    co_return *chosen;
}

// Returns what became of the hedge, as a label of the metric "standby_tries".
awaitable<std::string_view> GatewayCall::runHedge(ChosenReplica chosen)
{
    mHedge = std::make_unique<ReplicaAttempt>(mCall, std::move(chosen));
    std::optional<AttemptOutcome> failed = co_await prefetchHedge();
    if (!failed && isHedgeNeeded()) {
        mHasHedgeTakenOver = true;
        mAttempt->cancelSilent();
        co_return "took over";
    }
    const AttemptOutcome result = failed ? std::move(*failed) : AttemptAborted{};
    mHedge->end(result);
    co_await noteFailedAttempt(*mHedge, result);
    mHedge.reset();
    co_return mIsHedgeCancelled ? "not needed" : "failed";
}

awaitable<std::optional<AttemptOutcome>> GatewayCall::prefetchHedge()
{
    auto failed = co_await mHedge->connect();
    if (!failed) {
        failed = outcomeIfQuarantined();
    }
    if (failed) {
        co_return std::move(failed);
    }
    noteSent();
    auto head = co_await mHedge->sendRequest();
    if (!head) {
        co_return std::move(head.error());
    }
    if (!mHedge->isStream()) {
        co_return AttemptUnknown{"failure " + std::to_string(head->status), std::nullopt};
    }
    mHedgeHead = std::move(*head);
    co_return co_await mHedge->prefetchEvents();
}

// Waits for a running hedge to end. Returns whether it has taken over.
awaitable<bool> GatewayCall::waitForHedge()
{
    while (mIsHedgeRunning) {
        co_await mHedgeEnded.waitFor(sHedgeWaitInterval);
    }
    co_return mHasHedgeTakenOver;
}

void GatewayCall::cancelHedge()
{
    mIsHedgeCancelled = true;
    if (mHedge) {
        mHedge->cancelUnneeded();
    }
}

awaitable<void> GatewayCall::finishHedge()
{
    stopSilenceTimer();
    cancelHedge();
    const bool hasBegun = co_await waitForHedge();
    if (hasBegun) {
        mHedge->end(AttemptAborted{});
    }
}

void GatewayCall::noteResponseStarted()
{
    if (mTimes.noteStart(now())) {
        mCall.parts.metrics.observe("first_answer_ms", mCall.serviceName,
                                    static_cast<double>(mTimes.first()->count()));
    }
}

awaitable<void> GatewayCall::refuse(Refusal refusal)
{
    if (mCall.isHeadSent || mCall.isCallerGone) {
        co_await failCall(502, refusal.reason);
        co_return;
    }
    HttpResponse response = jsonError(refusal.status, refusal.reason);
    if (refusal.retryAfter) {
        response.headers.push_back(mCall.parts.calls.retryAfter(*refusal.retryAfter));
    }
    co_await mCall.exchange.respond(std::move(response));
    if (refusal.status == sUnauthorized || refusal.status == sNotFound) {
        mCall.parts.config.logEvidence(mCall.caller.id, refusal.status);
    }
    if (mCall.route != nullptr) {
        const std::string_view reason
            = mIsHeldBack ? std::string_view("capacity is reserved") : refusal.reason;
        mCall.parts.metrics.count("refused", mStanding.rank.text() + ", " + std::string(reason));
    }
    logOutcome(refusal.status, "refused", refusal.reason);
}

awaitable<void> GatewayCall::failCall(int status, std::string reason)
{
    if (mCall.isHeadSent || mCall.isCallerGone) {
        mCall.exchange.abort(); // a cut answer must not look whole
        if (!mCall.isCallerGone) {
            mCall.parts.metrics.count("cut_answers", reason);
        }
        logOutcome(0, mCall.isCallerGone ? "caller left" : "cut", reason);
        co_return;
    }
    HttpResponse response = jsonError(status, reason);
    co_await mCall.exchange.respond(std::move(response));
    logOutcome(status, "unknown", reason);
}

std::string GatewayCall::pausedByNotices() const
{
    return mCall.parts.replicas.replicas().pausedByNotices(mCall.serviceName, now());
}

void GatewayCall::logOutcome(int status, std::string_view outcome, std::string_view reason)
{
    const auto duration = std::chrono::duration_cast<Milliseconds>(now() - mArrivedAt);
    const bool isJudged = outcome == "answered" && mCall.route != nullptr;
    const std::string_view late = isJudged ? mTimes.latenessCause(*mCall.route, mSendCount) : "";
    mCall.parts.metrics.count("calls", outcome);
    if (mCall.route != nullptr && mCall.isForEngine()) {
        const SizeBand band
            = sizeBand(mCall.caller.promptTokens, mCall.service->engine->meanPromptTokens);
        mCall.parts.metrics.count("calls_by_size",
                                  mCall.route->name + ", " + std::string(sizeBandName(band)) + ", "
                                      + std::string(outcome));
    }
    mCall.parts.replicas.noteRequestEnd(status == 503);
    if (!late.empty()) {
        mCall.parts.metrics.count("late", late);
    }
    logLine(LogLevel::Info, "call",
            {{"id", mCall.caller.id},
             {"route",
              mCall.route == nullptr ? std::string_view() : std::string_view(mCall.route->name)},
             {"service", mCall.serviceName},
             {"account", mCall.account},
             {"rank", mCall.route == nullptr ? std::string() : mStanding.rank.text()},
             {"overShare", mStanding.isOverShare},
             {"reserved", mReserved},
             {"config", mCall.table ? mCall.table->version() : 0},
             {"status", status},
             {"outcome", outcome},
             {"reason", reason},
             {"sends", mSendCount},
             {"denied", mDeniedPermitCount},
             {"noMore", mStopReason},
             {"held", outcome == "refused" ? pausedByNotices() : std::string()},
             {"events", mForwardedEventCount},
             {"queuedMs", mQueuedFor.count()},
             {"replica", mLastChosen.id},
             {"model", mCall.caller.model},
             {"weightsRan", mAttempt ? mAttempt->weightsRan() : 0},
             {"request", mQuarantine.requestText()},
             {"quarantinedFor", mQuarantine.refusedSubjectText()},
             {"promptParts", joinedText(mCall.caller.sharedParts, " ")},
             {"unframed", mAttempt && mAttempt->isUnframed()},
             {"promptTokens", mCall.caller.promptTokens},
             {"outputTokens", mCall.caller.outputTokens},
             {"lateForSize", mLastChosen.isLateForSize},
             {"forSize", mIsRefusedForSize && outcome == "refused"},
             {"waitingTokens", mLastChosen.waitingTokens},
             {"load", mLastChosen.load},
             {"loadAgeMs", mLastChosen.loadAge.count()},
             {"predictedMs", std::lround(mLastChosen.answerMs)},
             {"patient", mWasPatient},
             {"waitedBeforeMs", mTimes.waitedBefore().count()},
             {"deadlineMs", mCall.caller.deadline ? mCall.caller.deadline->count() : -1},
             {"late", late},
             {"pauseMs", mTimes.longestPause().count()},
             {"firstMs", mTimes.first().value_or(Milliseconds(-1)).count()},
             {"tookMs", duration.count()}});
}

} // namespace Loom
