/*
 * replicaattempt.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "replicaattempt.h"

#include "enginemodel.h"
#include "jsonlog.h"
#include "metrics.h"
#include "operatorconfigservice.h"
#include "overload.h"
#include "replicaservice.h"

#include <algorithm>

namespace Loom {

namespace {

// Time for a request to reach a replica and for its refusal to come back. The deadline sent
// with a request is this much earlier than the time at which the gateway abandons it, so that
// a replica which still has it queued can report that it was not executed.
constexpr Milliseconds sRefusalRoundTrip{100};
// Responses to other requests that are skipped even if the connection has carried fewer requests.
constexpr std::size_t sMinForeignResponses = 2;
// A replica that sends more of them is not waited for, however many requests it has received.
constexpr std::size_t sMaxForeignResponses = 64;
// A prompt that crashes replicas does so when they begin to write the answer to it.
constexpr Milliseconds sMaxTimeToCrash{500};
// The body of a refusal follows its head at once.
constexpr Milliseconds sRefusalBodyTimeout{100};

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
    case LinkError::Endless:
        return "bytes without end";
    }
    return "unknown";
}

ReplicaOutcome outcomeOf(const AttemptOutcome &result)
{
    return std::visit(
        Overload{
            [](const AttemptCompleted &) { return ReplicaOutcome::Answered; },
            [](const AttemptNotExecuted &refused) {
                return refused.isBroken ? ReplicaOutcome::Broken : ReplicaOutcome::Refused;
            },
            [](const AttemptUnknown &failed) {
                if (failed.isAbandonedByGateway) {
                    return ReplicaOutcome::Abandoned;
                }
                return failed.answer ? ReplicaOutcome::Failed : ReplicaOutcome::Broken;
            },
            [](const AttemptAborted &) { return ReplicaOutcome::Abandoned; },
        },
        result);
}

} // namespace

ReplicaAttempt::ReplicaAttempt(CallState &call, ChosenReplica chosen)
    : mCall(call)
    , mChosen(std::move(chosen))
    , mWeightsTimer(call.exchange.executor())
    , mSentAt(now())
    , mIsAwaitingFirstResponse(true)
{
    if (const Replica *replica = call.parts.replicas.replicas().find(mChosen.id)) {
        mIncarnation = {mChosen.id, replica->record.born, replica->record.address,
                        replica->record.isDraining || replica->notices.isLeaving()};
    }
    const bool hasEngine = call.service != nullptr && call.service->engine;
    const std::uint64_t promptTokens = hasEngine
        ? EngineModel(*call.service->engine).knownTokens(call.caller.promptTokens, 1)
        : 0;
    call.parts.replicas.began(mChosen.id, mChosen.isPatient, promptTokens);
}

ReplicaAttempt::~ReplicaAttempt() = default;

awaitable<std::optional<AttemptOutcome>> ReplicaAttempt::connect()
{
    const std::uint32_t maxConnections
        = mCall.service == nullptr ? 0 : mCall.service->maxConnections;
    auto link
        = co_await mCall.parts.replicas.link(mChosen.id, mIncarnation.address, maxConnections);
    mWasConnected = link.has_value();
    if (link) {
        mLink = std::move(*link);
    }
    // The attempt has waited for a permit or a connection since the replica was chosen, so the
    // state of the replica may have changed.
    const UnavailableReason held = mCall.parts.replicas.unavailableReason(mChosen.id);
    const Replica *still = mCall.parts.replicas.replicas().find(mChosen.id);
    const bool cannotServe = held != UnavailableReason::Nothing
        || areWeightsExpired(still->weightsVersion()) || !isInAllowedRegion(*still);
    // After a stall of the process, the event of a caller disconnect may still be queued in the
    // event loop.
    mCall.isCallerGone = mCall.isCallerGone || mCall.exchange.hasCallerLeft();
    if (mCall.isCallerGone || mCall.isTimedOut) {
        co_return AttemptAborted{"time was over before a replica was reached"};
    }
    if (mCancelReason != CancelReason::None) {
        co_return AttemptUnknown{"another was first", std::nullopt, true};
    }
    if (!mWasConnected) {
        co_return AttemptNotExecuted{"the replica could not be reached"};
    }
    if (cannotServe) {
        co_return AttemptNotExecuted{"the replica takes nothing more"};
    }
    co_return std::nullopt;
}

// The configuration may have changed as well since the replica was chosen.
bool ReplicaAttempt::isInAllowedRegion(const Replica &replica) const
{
    const RouteTablePtr current = mCall.parts.config.table();
    const bool isAllowed = mCall.allowedRegions(*current).allows(replica.region);
    if (!isAllowed) {
        mCall.parts.metrics.count("sends_held_back", "region");
    }
    return isAllowed;
}

void ReplicaAttempt::end(const AttemptOutcome &result)
{
    if (mIsFinished) {
        return;
    }
    mIsFinished = true;
    stopWatchingWeightsExpiry();
    noteFirstResponse(false);
    ReplicaService &replicas = mCall.parts.replicas;
    // An attempt that sent nothing only shows whether the replica could be reached.
    const ReplicaOutcome unsent
        = mWasConnected ? ReplicaOutcome::Abandoned : ReplicaOutcome::Unreachable;
    replicas.replicas().ended(mChosen.id, mWasRequestSent ? outcomeOf(result) : unsent, now());
    if (mLink) {
        replicas.releaseLink(mChosen.id, std::move(mLink));
    }
    if (mWasRequestSent && !std::holds_alternative<AttemptCompleted>(result)) {
        mCall.parts.metrics.count("tries_failed", mCall.serviceName);
    }
}

awaitable<tl::expected<LinkHead, AttemptOutcome>> ReplicaAttempt::sendRequest()
{
    mSentAt = now();
    mWasRequestSent = true;
    mIsWaitingToRun = mCall.isForEngine();
    if (mIsWaitingToRun) {
        watchWeightsExpiry();
        mWeightsAtSend = mNewestWeightsSeen;
    }
    auto head = co_await exchangeHead();
    if (!head) {
        co_return tl::unexpected(outcomeOfLinkError(head.error()));
    }
    if (!mCall.route->isStream) {
        noteFirstResponse(true);
    }
    co_return co_await classifyResponse(std::move(*head));
}

// Sends the request and reads response heads until one belongs to it. On a reused connection, a
// second response to each earlier request may come first. The returned head may belong to another
// request if there are too many of these.
awaitable<tl::expected<LinkHead, LinkError>> ReplicaAttempt::exchangeHead()
{
    const HttpRequest &request = mCall.exchange.request();
    const OutgoingFields fields = outgoingFields();
    mIsVersionRequired = fields.weightsVersion.has_value();
    const std::vector<HttpHeader> headers = mCall.parts.calls.outgoing(request, fields);
    const LinkRequest outgoing{request.method, request.target, headers, request.body,
                               mCall.exchange.sharedRequest()};
    const auto deadline = steadyTime(mCall.deadline + sMinTimeLeft);
    auto head = co_await mLink->exchange(outgoing, deadline);
    for (std::size_t foreignCount = 0; head; ++foreignCount) {
        const ResponseFields told = mCall.parts.calls.responseFields(*head);
        noteNotice(told);
        const bool isOwn = told.requestId == mCall.caller.id;
        if (isOwn || foreignCount == maxForeignResponses()) {
            break;
        }
        mCall.parts.metrics.count("foreign_answers", mCall.serviceName);
        logLine(LogLevel::Warning, "foreign-answer",
                {{"id", mCall.caller.id}, {"replica", mChosen.id}, {"answerTo", told.requestId}});
        head = co_await mLink->nextHead(deadline);
    }
    co_return std::move(head);
}

std::size_t ReplicaAttempt::maxForeignResponses() const
{
    return std::clamp(mLink->earlierRequestCount(), sMinForeignResponses, sMaxForeignResponses);
}

// A response that does not name this request says nothing about it, also if it is a refusal.
awaitable<tl::expected<LinkHead, AttemptOutcome>> ReplicaAttempt::classifyResponse(LinkHead head)
{
    const ResponseFields fields = mCall.parts.calls.responseFields(head);
    if (fields.requestId != mCall.caller.id) {
        mLink->cancel();
        co_return tl::unexpected(AttemptUnknown{"answer to another request", std::nullopt});
    }
    if (fields.isNotRun) {
        if (!fields.replicaId.empty() && fields.replicaId != mChosen.id) {
            mCall.parts.replicas.replicas().replaced(mChosen.id, fields.replicaId, now());
        } else {
            noteRate(fields.rate, false);
        }
        co_return tl::unexpected(co_await refusalOutcome(head.status));
    }
    const bool isSuccess = head.status / 100 == 2;
    mIsUnframed = !mLink->isFramed();
    noteRate(fields.rate, isSuccess && fields.isSigned);
    mIsStream = isSuccess && fields.isStream;
    mWeightsRan = fields.weightsVersion.value_or(0);
    if (!mIsStream) {
        noteWeightsRan();
        stopWatchingWeightsExpiry();
    }
    if (isSuccess && !fields.isSigned) {
        mLink->cancel();
        co_return tl::unexpected(AttemptUnknown{"answer without signature", std::nullopt});
    }
    co_return std::move(head);
}

// The head says all that matters. The body is only read so that the connection can be used again;
// another replica need not wait for it.
awaitable<AttemptNotExecuted> ReplicaAttempt::refusalOutcome(int status)
{
    const auto deadline = std::chrono::steady_clock::now() + sRefusalBodyTimeout;
    const auto skipped = co_await mLink->skipBody(limits().refusalBytes, deadline);
    const std::string reason = "replica refused: " + std::to_string(status);
    if (skipped) {
        co_return AttemptNotExecuted{reason};
    }
    const LinkError error = skipped.error();
    // A replica that was suspended within its refusal has sent nothing of the body.
    const bool isTrickle = error == LinkError::TimedOut && mLink->bodyBytesRead() > 0;
    if (isTrickle || error == LinkError::Endless) {
        noteEndless(isTrickle ? EndlessPart::RefusalBody : mLink->endlessPart());
    }
    mLink->cancel();
    const bool isBroken = isTrickle || error == LinkError::Endless || error == LinkError::Malformed;
    co_return AttemptNotExecuted{reason, isBroken};
}

const AnswerLimits &ReplicaAttempt::limits() const
{
    return mCall.parts.replicas.answerLimits();
}

awaitable<tl::expected<std::string, AttemptOutcome>> ReplicaAttempt::readWhole()
{
    const auto deadline = steadyTime(mCall.deadline + sMinTimeLeft);
    const bool hasLength = mLink->bodyLength().has_value();
    mMemory = std::make_unique<AnswerMemory::Share>(mCall.parts.replicas.answerMemory(), hasLength,
                                                    [this] { cancel(); });
    auto body = co_await mLink->readWhole(
        limits().bodyBytes, deadline, [this](std::size_t bytes) { return mMemory->resize(bytes); });
    if (!body && mMemory->isGivenUp() && !mCall.isCallerGone && !mCall.isTimedOut) {
        co_return tl::unexpected(endlessOutcome(EndlessPart::Body));
    }
    if (!body) {
        co_return tl::unexpected(outcomeOfLinkError(body.error()));
    }
    mMemory->settle();
    if (!co_await isWhole()) {
        co_return tl::unexpected(
            AttemptUnknown{"replica ended within an answer", std::nullopt, false, true});
    }
    co_return std::move(*body);
}

// The connection of a replica that crashes is closed like one that ends an unframed response, so
// that the response is complete only if the replica is still there.
awaitable<bool> ReplicaAttempt::isWhole() const
{
    if (!mIsUnframed) {
        co_return true;
    }
    co_return co_await mCall.parts.quarantine.isRunning(mIncarnation);
}

awaitable<tl::expected<EventBatch, AttemptOutcome>> ReplicaAttempt::nextEvents()
{
    if (mPrefetched) {
        EventBatch held = std::move(*mPrefetched);
        mPrefetched.reset();
        co_return held;
    }
    EventBatch batch;
    batch.last = mCall.lastEvent;
    while (batch.count == 0 && !batch.isEndOfStream) {
        // Silence alone does not end the attempt: the replica may only be slow, and ending it
        // would gain nothing.
        const auto piece = co_await mLink->readBody(steadyTime(mCall.deadline + sMinTimeLeft));
        if (!piece) {
            co_return tl::unexpected(outcomeOfLinkError(piece.error()));
        }
        batch.isEndOfStream = piece->empty();
        if (batch.isEndOfStream && mSplitter.pending() > 0) {
            co_return tl::unexpected(
                AttemptUnknown{"stream ended within an event", std::nullopt, false, true});
        }
        if (batch.isEndOfStream && !co_await isWhole()) {
            co_return tl::unexpected(
                AttemptUnknown{"replica ended within a stream", std::nullopt, false, true});
        }
        noteWeightsRan();
        stopWatchingWeightsExpiry();
        const std::uint32_t countBefore = batch.count;
        appendEvents(*piece, batch);
        if (isEventEndless(piece->size(), batch.count > countBefore)) {
            co_return tl::unexpected(endlessOutcome(EndlessPart::Event));
        }
    }
    if (batch.count > 0) {
        noteFirstResponse(true);
        mFirstEventAt = mFirstEventAt.value_or(now());
    }
    co_return batch;
}

// Skips the events at the start of a resumed stream that the caller already has.
void ReplicaAttempt::appendEvents(std::string_view piece, EventBatch &batch)
{
    for (const StreamEvent &event : mSplitter.feed(piece)) {
        const bool isRepeat = event.id && batch.last && *event.id <= *batch.last;
        if (isRepeat) {
            continue;
        }
        batch.text += event.text;
        if (!event.id && !event.hasData) {
            continue; // a comment, which is sent on with the next event
        }
        ++batch.count;
        if (event.id) {
            batch.last = event.id;
        }
    }
}

// An event has to be complete soon after its first byte. The time is only looked at when bytes
// arrive: a replica may fall silent within an event.
bool ReplicaAttempt::isEventEndless(std::size_t size, bool hasNewEvent)
{
    const bool wasUnfinished = mUnfinishedSince.has_value();
    mBytesSinceEvent = hasNewEvent ? mSplitter.pending() : mBytesSinceEvent + size;
    if (mSplitter.pending() == 0) {
        mUnfinishedSince.reset();
    } else if (hasNewEvent || !wasUnfinished) {
        mUnfinishedSince = now();
    }
    const bool isTooLate = mUnfinishedSince && now() - *mUnfinishedSince > limits().unfinished;
    return isTooLate || mBytesSinceEvent > limits().eventBytes;
}

AttemptOutcome ReplicaAttempt::endlessOutcome(EndlessPart part) const
{
    noteEndless(part);
    mLink->cancel();
    return AttemptUnknown{std::string(linkErrorName(LinkError::Endless)), std::nullopt};
}

void ReplicaAttempt::noteEndless(EndlessPart part) const
{
    mCall.parts.metrics.count("endless_answers", endlessPartName(part));
    logLine(LogLevel::Warning, "endless-answer",
            {{"id", mCall.caller.id},
             {"replica", mChosen.id},
             {"service", mCall.serviceName},
             {"part", endlessPartName(part)}});
}

awaitable<std::optional<AttemptOutcome>> ReplicaAttempt::prefetchEvents()
{
    auto events = co_await nextEvents();
    if (!events) {
        co_return std::move(events.error());
    }
    mPrefetched = std::move(*events);
    co_return std::nullopt;
}

bool ReplicaAttempt::hasRunForLong() const
{
    return mFirstEventAt && now() - *mFirstEventAt > sMaxTimeToCrash;
}

void ReplicaAttempt::cancel()
{
    if (mLink) {
        mLink->cancel();
    }
}

void ReplicaAttempt::cancelUnneeded()
{
    cancelFor(CancelReason::Unneeded);
}

void ReplicaAttempt::cancelSilent()
{
    cancelFor(CancelReason::Silent);
}

void ReplicaAttempt::cancelFor(CancelReason ending)
{
    if (mCancelReason == CancelReason::None) {
        mCancelReason = ending;
    }
    cancel();
}

AttemptOutcome ReplicaAttempt::outcomeOfLinkError(LinkError error) const
{
    if (mCall.isCallerGone) {
        return AttemptAborted{"the caller left"};
    }
    // The deadline of the link may expire slightly before the one of the call.
    if (mCall.isTimedOut || mCall.timeLeft() < sMinTimeLeft) {
        return AttemptAborted{"time was over"};
    }
    switch (mCancelReason) {
    case CancelReason::WeightsExpired:
        return AttemptUnknown{"its weights were over", std::nullopt, true};
    case CancelReason::Unneeded:
        return AttemptUnknown{"another was first", std::nullopt, true};
    case CancelReason::Silent:
        return AttemptUnknown{"silent", std::nullopt};
    case CancelReason::None:
        break;
    }
    if (error == LinkError::Endless) {
        return endlessOutcome(mLink->endlessPart());
    }
    return AttemptUnknown{std::string(linkErrorName(error)), std::nullopt, false,
                          error == LinkError::Closed};
}

// Reports once for each attempt, at its end at the latest, whether its response or first event
// has arrived.
void ReplicaAttempt::noteFirstResponse(bool hasBegun)
{
    if (!mIsAwaitingFirstResponse) {
        return;
    }
    mIsAwaitingFirstResponse = false;
    if (hasBegun) {
        mCall.parts.replicas.answerStarted(mChosen.id, mChosen.isPatient, now() - mSentAt);
    } else {
        mCall.parts.replicas.answerMissed(mChosen.id, mChosen.isPatient);
    }
}

// The absence of a rate limit counts only in good responses: an error may come from a component
// of the replica that does not know about the limit.
void ReplicaAttempt::noteRate(const AdvertisedRate &rate, bool isGood)
{
    if (isGood || !std::holds_alternative<NoRate>(rate)) {
        mCall.parts.replicas.noteRate(mChosen.id, rate, mSentAt);
    }
}

// A notice in a response to another request says as much about the replica as one in the
// response to this request. The replica id in the response takes precedence over the chosen one,
// because an address may have been reassigned to another replica.
void ReplicaAttempt::noteNotice(const ResponseFields &fields)
{
    const bool isOther = !fields.replicaId.empty() && fields.replicaId != mChosen.id;
    mIncarnation.isLeaving = mIncarnation.isLeaving || (!isOther && fields.notice.isLeaving);
    ReplicaIncarnation life = mIncarnation;
    life.id = isOther ? fields.replicaId : mChosen.id;
    life.born = isOther ? 0 : mIncarnation.born;
    mCall.parts.replicas.noteNotice(life, fields.notice);
    if (fields.coldLeft) {
        mCall.parts.replicas.noteCold(life, *fields.coldLeft);
    }
}

// Called when the first part of a response shows that the request has started.
void ReplicaAttempt::noteWeightsRan()
{
    if (!mIsWaitingToRun || mWeightsRan == 0) {
        return;
    }
    const auto cutoff = mCall.parts.config.weights().cutoffAt(mCall.caller.model, mWeightsRan);
    const bool isExpired = cutoff && now() > *cutoff;
    mCall.parts.metrics.count("engine_starts",
                              isExpired    ? "expired weights"
                                  : cutoff ? "older weights"
                                           : "newest weights");
    if (isExpired) {
        logExpiredStart(*cutoff);
    }
}

void ReplicaAttempt::logExpiredStart(Instant cutoff) const
{
    const auto inMs = [](Microseconds duration) {
        return std::chrono::duration_cast<Milliseconds>(duration).count();
    };
    const WeightVersionTracker &weights = mCall.parts.config.weights();
    logLine(LogLevel::Warning, "expired-weights-ran",
            {{"id", mCall.caller.id},
             {"replica", mChosen.id},
             {"model", mCall.caller.model},
             {"ran", mWeightsRan},
             {"atSend", mWeightsAtSend},
             {"wasRequired", mIsVersionRequired},
             {"newest", weights.newest(mCall.caller.model)},
             {"leftAtSendMs", inMs(cutoff - mSentAt)},
             {"lateMs", inMs(now() - cutoff)}});
}

OutgoingFields ReplicaAttempt::outgoingFields() const
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
    fields.urgencyLevel = mChosen.urgencyLevel;
    const Replica *replica = mCall.parts.replicas.replicas().find(mChosen.id);
    const std::uint64_t newest = mCall.parts.config.weights().newest(mCall.caller.model);
    // A replica with an older version may switch versions during the request, and either version
    // may execute it; so no version is required of it.
    if (replica != nullptr && replica->weightsVersion() == newest) {
        fields.weightsVersion = newest;
    } else if (replica != nullptr) {
        fields.deadline
            = std::min(fields.deadline, timeUntilWeightsExpire(replica->weightsVersion()));
    }
    return fields;
}

// A request may stay queued at a replica for long, for example while its box is suspended. The
// replica drops it at its deadline, so it cannot start after its weights have expired. A stream
// that is running at that time is resumed at another replica.
Milliseconds ReplicaAttempt::timeUntilWeightsExpire(std::uint64_t version) const
{
    const auto giveUp = mCall.parts.config.weights().startDeadline(mCall.caller.model, version);
    if (!giveUp) {
        return Milliseconds::max();
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(*giveUp - now()) - sRefusalRoundTrip;
    return std::max(left, sMinTimeLeft);
}

// Whether a request that has not started on @p version by now might start after it expires.
bool ReplicaAttempt::areWeightsExpired(std::uint64_t version) const
{
    if (!mCall.isForEngine()) {
        return false;
    }
    const auto giveUp = mCall.parts.config.weights().startDeadline(mCall.caller.model, version);
    return giveUp && *giveUp <= now();
}

// The replica counts the deadline of a request from its arrival. While the request is in transit
// or the replica is stalled, only closing the connection keeps it from starting too late.
void ReplicaAttempt::watchWeightsExpiry()
{
    const Replica *replica = mCall.parts.replicas.replicas().find(mChosen.id);
    // The replica may have loaded a newer version since, on which queued requests start.
    mNewestWeightsSeen
        = std::max(mNewestWeightsSeen, replica == nullptr ? 0 : replica->weightsVersion());
    if (areWeightsExpired(mNewestWeightsSeen)) {
        cancelFor(CancelReason::WeightsExpired);
        return;
    }
    const WeightVersionTracker &weights = mCall.parts.config.weights();
    const auto giveUp = weights.startDeadline(mCall.caller.model, mNewestWeightsSeen);
    mWeightsTimer.expires_at(bootTime(giveUp.value_or(weights.nextCheckAt(now()))));
    const std::weak_ptr<bool> alive = mAlive;
    mWeightsTimer.async_wait([this, alive](const boost::system::error_code &error) {
        if (!error && !alive.expired() && mIsWaitingToRun) {
            watchWeightsExpiry();
        }
    });
}

void ReplicaAttempt::stopWatchingWeightsExpiry()
{
    mIsWaitingToRun = false;
    mWeightsTimer.cancel();
}

} // namespace Loom
