/*
 * replicatry.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "replicatry.h"

#include "directconfig.h"
#include "jsonlog.h"
#include "metrics.h"
#include "overload.h"
#include "replicaservice.h"

#include <algorithm>

namespace Loom {

namespace {

// A request's way to a replica and its refusal's way back. With a deadline so much
// before the request is given up, a replica that holds it can say that it did not run.
constexpr Milliseconds sRefusalWay{100};
// Answers of earlier requests that may lie before ours on a kept connection.
constexpr int sMostForeignAnswers = 2;
constexpr std::size_t sMostWholeAnswer = std::size_t{16} * 1024 * 1024;

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

ReplicaOutcome outcomeOf(const TryResult &result)
{
    return std::visit(Overload{
                          [](const TryDone &) { return ReplicaOutcome::Answered; },
                          [](const TryNotRun &) { return ReplicaOutcome::Refused; },
                          [](const TryUnknown &failed) {
                              if (failed.isGivenUp) {
                                  return ReplicaOutcome::Abandoned;
                              }
                              return failed.answer ? ReplicaOutcome::Failed
                                                   : ReplicaOutcome::Broken;
                          },
                          [](const TryOver &) { return ReplicaOutcome::Abandoned; },
                      },
                      result);
}

} // namespace

ReplicaTry::ReplicaTry(CallState &call, ChosenReplica chosen)
    : mCall(call)
    , mChosen(std::move(chosen))
    , mWeightsTimer(call.exchange.executor())
    , mSentAt(now())
    , mIsAwaiting(true)
{
    if (const Replica *replica = call.parts.replicas.replicas().find(mChosen.id)) {
        mLife = {mChosen.id, replica->record.born, replica->record.address,
                 replica->record.isDraining || replica->notices.isLeaving()};
    }
    call.parts.replicas.began(mChosen.id, mChosen.isPatient);
}

ReplicaTry::~ReplicaTry() = default;

awaitable<std::optional<TryResult>> ReplicaTry::connect()
{
    const std::uint32_t cap = mCall.service == nullptr ? 0 : mCall.service->connectionCap;
    auto link = co_await mCall.parts.replicas.link(mChosen.id, mLife.address, cap);
    mWasReached = link.has_value();
    if (link) {
        mLink = std::move(*link);
    }
    // What was chosen has waited since, for a permit or a connection.
    const UnavailableReason held = mCall.parts.replicas.unavailableReason(mChosen.id);
    const Replica *still = mCall.parts.replicas.replicas().find(mChosen.id);
    const bool isUnfit
        = held != UnavailableReason::Nothing || areWeightsOver(still->weightsVersion());
    // The close may wait in the loop behind this, when the process stood still.
    mCall.isCallerGone = mCall.isCallerGone || mCall.exchange.hasCallerLeft();
    if (mCall.isCallerGone || mCall.isTimeOver) {
        co_return TryOver{"time was over before a replica was reached"};
    }
    if (mEnding != Ending::None) {
        co_return TryUnknown{"another was first", std::nullopt, true};
    }
    if (!mWasReached) {
        co_return TryNotRun{"the replica could not be reached"};
    }
    if (isUnfit) {
        co_return TryNotRun{"the replica takes nothing more"};
    }
    co_return std::nullopt;
}

void ReplicaTry::end(const TryResult &result)
{
    if (mHasEnded) {
        return;
    }
    mHasEnded = true;
    stopWatchingWeights();
    noteAnswer(false);
    ReplicaService &replicas = mCall.parts.replicas;
    // What was not sent says nothing of the replica but whether it could be reached.
    const ReplicaOutcome unsent
        = mWasReached ? ReplicaOutcome::Abandoned : ReplicaOutcome::Unreachable;
    replicas.replicas().ended(mChosen.id, mWasSent ? outcomeOf(result) : unsent, now());
    if (mLink) {
        replicas.giveBack(mChosen.id, std::move(mLink));
    }
    if (mWasSent && !std::holds_alternative<TryDone>(result)) {
        mCall.parts.metrics.count("tries_failed", mCall.serviceName);
    }
}

awaitable<tl::expected<LinkHead, TryResult>> ReplicaTry::begin()
{
    mSentAt = now();
    mWasSent = true;
    mIsUnbegun = mCall.isForEngine();
    if (mIsUnbegun) {
        watchWeights();
    }
    auto head = co_await ownHead();
    if (!head) {
        co_return tl::unexpected(afterLinkError(head.error()));
    }
    if (!mCall.route->isStream) {
        noteAnswer(true);
    }
    co_return co_await judge(std::move(*head));
}

// Reads heads until one answers this request: a surplus answer to an earlier
// one may stand before it on a kept connection.
awaitable<tl::expected<LinkHead, LinkError>> ReplicaTry::ownHead()
{
    const HttpRequest &request = mCall.exchange.request();
    const OutgoingFields fields = outgoingFields();
    const std::vector<HttpHeader> headers = mCall.parts.calls.outgoing(request, fields);
    const LinkRequest outgoing{request.method, request.target, headers, request.body};
    const auto deadline = steadyTime(mCall.deadline + sLeastTime);
    auto head = co_await mLink->exchange(outgoing, deadline);
    for (int foreign = 0; head; ++foreign) {
        const AnswerFields told = mCall.parts.calls.answerFields(*head);
        noteNotice(told);
        const std::string &id = told.requestId;
        const bool isOwn = id == mCall.caller.id || id.empty();
        if (isOwn || foreign == sMostForeignAnswers) {
            break;
        }
        mCall.parts.metrics.count("foreign_answers", mCall.serviceName);
        logLine(LogLevel::Warning, "foreign-answer",
                {{"id", mCall.caller.id}, {"replica", mChosen.id}, {"answerTo", id}});
        head = co_await mLink->nextHead(deadline);
    }
    co_return std::move(head);
}

awaitable<tl::expected<LinkHead, TryResult>> ReplicaTry::judge(LinkHead head)
{
    const AnswerFields fields = mCall.parts.calls.answerFields(head);
    if (fields.isNotRun) {
        if (!fields.replicaId.empty() && fields.replicaId != mChosen.id) {
            mCall.parts.replicas.replicas().replaced(mChosen.id, now());
        } else {
            noteRate(fields.rate, false);
        }
        co_await mLink->readWhole(sMostWholeAnswer, steadyTime(mCall.deadline));
        co_return tl::unexpected(TryNotRun{"replica refused: " + std::to_string(head.status)});
    }
    if (fields.requestId != mCall.caller.id) {
        mLink->cancel();
        co_return tl::unexpected(TryUnknown{"answer to another request", std::nullopt});
    }
    const bool isSuccess = head.status / 100 == 2;
    noteRate(fields.rate, isSuccess && fields.isSigned);
    mIsStream = isSuccess && fields.isStream;
    if (!mIsStream) {
        stopWatchingWeights();
    }
    if (isSuccess && !fields.isSigned) {
        mLink->cancel();
        co_return tl::unexpected(TryUnknown{"answer without signature", std::nullopt});
    }
    co_return std::move(head);
}

awaitable<tl::expected<std::string, TryResult>> ReplicaTry::readWhole()
{
    const auto deadline = steadyTime(mCall.deadline + sLeastTime);
    auto body = co_await mLink->readWhole(sMostWholeAnswer, deadline);
    if (!body) {
        co_return tl::unexpected(afterLinkError(body.error()));
    }
    co_return std::move(*body);
}

awaitable<tl::expected<EventBatch, TryResult>> ReplicaTry::nextEvents()
{
    if (mHeld) {
        EventBatch held = std::move(*mHeld);
        mHeld.reset();
        co_return held;
    }
    EventBatch batch;
    batch.last = mCall.lastEvent;
    while (batch.count == 0 && !batch.isEnd) {
        // Silence alone ends no try: the replica may be slow, and then nothing is gained.
        const auto piece = co_await mLink->readBody(steadyTime(mCall.deadline + sLeastTime));
        if (!piece) {
            co_return tl::unexpected(afterLinkError(piece.error()));
        }
        batch.isEnd = piece->empty();
        if (batch.isEnd && mSplitter.pending() > 0) {
            co_return tl::unexpected(
                TryUnknown{"stream ended within an event", std::nullopt, false, true});
        }
        stopWatchingWeights();
        takeEvents(*piece, batch);
    }
    if (batch.count > 0) {
        noteAnswer(true);
    }
    co_return batch;
}

// A resumed stream may begin with events that the caller has.
void ReplicaTry::takeEvents(std::string_view piece, EventBatch &batch)
{
    for (const StreamEvent &event : mSplitter.feed(piece)) {
        const bool isRepeat = event.id && batch.last && *event.id <= *batch.last;
        if (isRepeat) {
            continue;
        }
        batch.text += event.text;
        ++batch.count;
        if (event.id) {
            batch.last = event.id;
        }
    }
}

awaitable<std::optional<TryResult>> ReplicaTry::holdEvents()
{
    auto events = co_await nextEvents();
    if (!events) {
        co_return std::move(events.error());
    }
    mHeld = std::move(*events);
    co_return std::nullopt;
}

void ReplicaTry::cancel()
{
    if (mLink) {
        mLink->cancel();
    }
}

void ReplicaTry::drop()
{
    endAs(Ending::Dropped);
}

void ReplicaTry::replace()
{
    endAs(Ending::Replaced);
}

void ReplicaTry::endAs(Ending ending)
{
    if (mEnding == Ending::None) {
        mEnding = ending;
    }
    cancel();
}

TryResult ReplicaTry::afterLinkError(LinkError error) const
{
    if (mCall.isCallerGone) {
        return TryOver{"the caller left"};
    }
    // The link's own deadline may come a moment before the call's.
    if (mCall.isTimeOver || mCall.timeLeft() < sLeastTime) {
        return TryOver{"time was over"};
    }
    switch (mEnding) {
    case Ending::WeightsOver:
        return TryUnknown{"its weights were over", std::nullopt, true};
    case Ending::Dropped:
        return TryUnknown{"another was first", std::nullopt, true};
    case Ending::Replaced:
        return TryUnknown{"silent", std::nullopt};
    case Ending::None:
        break;
    }
    return TryUnknown{std::string(linkErrorName(error)), std::nullopt, false,
                      error == LinkError::Closed};
}

// Once for each try: its answer or first event came, or never will.
void ReplicaTry::noteAnswer(bool hasBegun)
{
    if (!mIsAwaiting) {
        return;
    }
    mIsAwaiting = false;
    if (hasBegun) {
        mCall.parts.replicas.answerBegan(mChosen.id, mChosen.isPatient, now() - mSentAt);
    } else {
        mCall.parts.replicas.answerMissed(mChosen.id, mChosen.isPatient);
    }
}

// A failure may come from a part of the replica that knows nothing of its need.
void ReplicaTry::noteRate(const NamedRate &rate, bool isGood)
{
    if (isGood || !std::holds_alternative<NoRate>(rate)) {
        mCall.parts.replicas.noteRate(mChosen.id, rate, mSentAt);
    }
}

// An answer to another request says as much of the replica as one to this request. Which
// replica answered, the answer knows best: addresses are given away.
void ReplicaTry::noteNotice(const AnswerFields &fields)
{
    const bool isOther = !fields.replicaId.empty() && fields.replicaId != mChosen.id;
    mLife.isLeaving = mLife.isLeaving || (!isOther && fields.notice.isLeaving);
    ReplicaLife life = mLife;
    life.id = isOther ? fields.replicaId : mChosen.id;
    life.born = isOther ? 0 : mLife.born;
    mCall.parts.replicas.noteNotice(life, fields.notice);
}

OutgoingFields ReplicaTry::outgoingFields() const
{
    OutgoingFields fields;
    fields.deadline = mCall.timeLeft();
    fields.replicaId = mChosen.id;
    fields.account = mCall.account;
    fields.lastEvent = mCall.lastEvent ? mCall.lastEvent : mCall.caller.lastEvent;
    if (!mCall.isForEngine()) {
        return fields;
    }
    fields.urgency = mCall.isHeadSent ? Urgency::Resumed
        : mChosen.isPatient           ? Urgency::Patient
                                      : Urgency::Prompt;
    const Replica *replica = mCall.parts.replicas.replicas().find(mChosen.id);
    const std::uint64_t newest = mCall.parts.config.weights().newest(mCall.caller.model);
    // An older version may change under the request, and either may run it.
    if (replica != nullptr && replica->weightsVersion() == newest) {
        fields.weightsVersion = newest;
    } else if (replica != nullptr) {
        fields.deadline = std::min(fields.deadline, timeOfWeights(replica->weightsVersion()));
    }
    return fields;
}

// A request may lie at a replica for long, as when its box stands still. The
// replica drops it at its deadline, so it cannot begin after its weights are
// over. A stream that runs then goes on at another replica.
Milliseconds ReplicaTry::timeOfWeights(std::uint64_t version) const
{
    const auto giveUp = mCall.parts.config.weights().giveUpAt(mCall.caller.model, version);
    if (!giveUp) {
        return Milliseconds::max();
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(*giveUp - now()) - sRefusalWay;
    return std::max(left, sLeastTime);
}

// What has not begun on @p version by now might begin too late.
bool ReplicaTry::areWeightsOver(std::uint64_t version) const
{
    if (!mCall.isForEngine()) {
        return false;
    }
    const auto giveUp = mCall.parts.config.weights().giveUpAt(mCall.caller.model, version);
    return giveUp && *giveUp <= now();
}

// The deadline of a request counts from its arrival. On its way, and at a replica that
// stands still, only the end of its connection keeps it from beginning too late.
void ReplicaTry::watchWeights()
{
    const Replica *replica = mCall.parts.replicas.replicas().find(mChosen.id);
    // It may have loaded newer ones since, and what waits there begins on those.
    mTriedWeights = std::max(mTriedWeights, replica == nullptr ? 0 : replica->weightsVersion());
    if (areWeightsOver(mTriedWeights)) {
        endAs(Ending::WeightsOver);
        return;
    }
    const WeightsGoal &weights = mCall.parts.config.weights();
    const auto giveUp = weights.giveUpAt(mCall.caller.model, mTriedWeights);
    mWeightsTimer.expires_at(bootTime(giveUp.value_or(weights.lookAgainAt(now()))));
    const std::weak_ptr<bool> alive = mAlive;
    mWeightsTimer.async_wait([this, alive](const boost::system::error_code &error) {
        if (!error && !alive.expired() && mIsUnbegun) {
            watchWeights();
        }
    });
}

void ReplicaTry::stopWatchingWeights()
{
    mIsUnbegun = false;
    mWeightsTimer.cancel();
}

} // namespace Loom
