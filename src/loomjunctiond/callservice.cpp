/*
 * callservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "callservice.h"

#include "clock.h"
#include "idempotencykey.h"
#include "jsonlog.h"
#include "overload.h"
#include "platformservice.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr std::chrono::milliseconds sStartTimeout{10'000};
constexpr std::size_t sMostCollectedBytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds sKeyWaitStep{250};
// Entries hear of a leaving agent at once; the pause lets calls under way be
// refused here instead of meeting a closed port.
constexpr std::chrono::milliseconds sLeaveGrace{1'500};

GateCall toGateCall(const wire::CallStart &start, Instant received)
{
    GateCall call;
    call.attempt = {start.attempt().entry(), start.attempt().sequence()};
    call.version = start.version();
    call.idempotencyKey = start.once_key();
    call.homeIncarnation = start.home_incarnation();
    call.timeLeft = Milliseconds(start.deadline_ms())
        - std::chrono::duration_cast<Milliseconds>(now() - received);
    const auto key = parseIdempotencyKey(start.once_key());
    if (key) {
        call.keyExpires
            = std::visit(Overload{
                             [](const IssuedKey &issued) { return issued.expires; },
                             [](const CallerKey &own) { return own.createdAt + sKeyLifetime; },
                         },
                         *key);
    }
    return call;
}

} // namespace

CallService::CallService(const asio::any_io_executor &executor)
    : mEnded(executor)
{
}

tl::expected<void, std::string> CallService::start(Kernel &kernel)
{
    mPlatform = &kernel.find<PlatformService>(PlatformService::sName);
    mUpstream = &kernel.find<UpstreamService>(UpstreamService::sName);
    mConfig = &kernel.find<ConfigService>(ConfigService::sName);
    return {};
}

awaitable<void> CallService::drain()
{
    mUpstream->gate().setLeaving();
    mUpstream->noteChange();
    logLine(LogLevel::Info, "agent-leaving", {{"inFlight", mUpstream->gate().inFlight()}});
    co_await sleepFor(sLeaveGrace);
    while (mUpstream->gate().inFlight() > 0) {
        co_await mEnded.waitFor(std::chrono::seconds(1));
    }
}

awaitable<void> CallService::serveRevoke(PeerStreamPtr stream)
{
    const auto deadline = std::chrono::steady_clock::now() + sStartTimeout;
    const auto revoke = co_await stream->receiveMessage<wire::RevokeCall>(deadline);
    if (!revoke || !*revoke) {
        stream->reset();
        co_return;
    }
    const wire::AttemptId &attempt = (*revoke)->attempt();
    const RevokeResult result
        = mUpstream->gate().revoke({attempt.entry(), attempt.sequence()}, now());
    wire::RevokeAnswer answer;
    answer.set_revoked(result == RevokeResult::Revoked);
    stream->send(answer);
    stream->finish();
}

awaitable<void> CallService::serveCall(PeerStreamPtr stream)
{
    const auto deadline = std::chrono::steady_clock::now() + sStartTimeout;
    const auto start = co_await stream->receiveMessage<wire::CallStart>(deadline);
    if (!start || !*start) {
        stream->reset();
        co_return;
    }
    co_await serve(stream, **start);
}

awaitable<void> CallService::serve(PeerStreamPtr stream, const wire::CallStart &start)
{
    CallGate &gate = mUpstream->gate();
    const Instant received = now();
    GateCall call = toGateCall(start, received);
    GateDecision decision = gate.admit(call, wallNow(), received);
    while (std::holds_alternative<GateWait>(decision)) {
        call = toGateCall(start, received);
        if (call.timeLeft.count() <= 0 || !stream->isOpen()) {
            decision = GateUnknown{UnknownReason::StillRunning};
            break;
        }
        co_await mEnded.waitFor(std::min<std::chrono::milliseconds>(sKeyWaitStep, call.timeLeft));
        decision = gate.admitAfterWait(call, wallNow(), now());
    }
    Upstreamed result;
    const bool runs = std::holds_alternative<GateRun>(decision);
    if (runs) {
        result = co_await runUpstream(stream, start);
        gate.complete(call, result.outcome, result.body, now());
        result.isKeySpent
            = !call.idempotencyKey.empty() && std::holds_alternative<NotRun>(result.outcome);
        mEnded.notify();
    } else {
        std::visit(
            Overload{
                [](const GateRun &) {},
                [](const GateWait &) {},
                [&](const GateReplay &replay) {
                    result.outcome = Answered{replay.answer.status};
                    result.body = replay.answer.body;
                    result.bytes = result.body.size();
                },
                [&](const GateRefuse &refuse) {
                    result.outcome = refuse.refusal;
                    result.isKeySpent = refuse.isKeySpent;
                },
                [&](const GateUnknown &unknown) { result.outcome = Unknown{unknown.reason}; },
            },
            decision);
    }
    mPlatform->metrics().count("agent_calls", outcomeName(result.outcome));
    logLine(LogLevel::Debug, "agent-call",
            {{"request", start.request_id()}, {"outcome", outcomeName(result.outcome)}});
    answer(*stream, start, result);
}

HttpCall CallService::upstreamCall(const wire::CallStart &start) const
{
    HttpCall call;
    call.endpoint = mUpstream->settings().upstream;
    call.method = "POST";
    call.target = mUpstream->settings().isEngine ? "/v1/generate" : start.target();
    call.headers = {{"Loom-Request-Id", start.request_id()},
                    {"Loom-Account", start.account()},
                    {"Content-Type", "application/json"}};
    if (mUpstream->settings().isEngine) {
        call.headers.push_back({"Engine-Version", start.version()});
        call.headers.push_back({"Engine-Priority", std::to_string(start.priority())});
    }
    call.body = start.body();
    call.timeout = std::chrono::milliseconds(start.deadline_ms());
    return call;
}

awaitable<CallService::Upstreamed> CallService::runUpstream(PeerStreamPtr stream,
                                                            const wire::CallStart &start)
{
    Upstreamed result;
    const Instant begun = now();
    const auto onData = [&](const HttpResponse &head, std::string_view data) {
        return forward(stream, start, head, data, result);
    };
    const auto response = co_await mPlatform->http().stream(upstreamCall(start), onData);
    result.outcome = outcomeOf(start, response, result.abortedBecause);
    const bool answered = std::holds_alternative<Answered>(result.outcome);
    if (answered && mOnFirstByte && result.firstByte > begun) {
        mOnFirstByte(result.firstByte - begun);
    }
    co_return result;
}

awaitable<bool> CallService::forward(PeerStreamPtr stream, const wire::CallStart &start,
                                     const HttpResponse &head, std::string_view data,
                                     Upstreamed &result)
{
    if (!isRightVersion(start, head)) {
        result.abortedBecause = UnknownReason::VersionMismatch;
        co_return false;
    }
    // A call that may run once goes on to its end, so that its answer can be kept.
    const bool mayAbort = start.once_key().empty();
    if (!stream->isOpen() && mayAbort) {
        co_return false;
    }
    if (result.bytes == 0) {
        result.firstByte = now();
    }
    result.bytes += data.size();
    const bool pass = start.stream() && head.status == 200 && start.once_key().empty();
    if (!pass) {
        result.body += data;
        co_return result.body.size() <= sMostCollectedBytes;
    }
    wire::CallEvent event;
    event.set_kind(wire::CallEvent::DATA);
    event.set_status(static_cast<std::uint32_t>(head.status));
    event.set_version(start.version());
    event.set_data(data.data(), data.size());
    stream->send(event);
    co_return co_await stream->drained();
}

bool CallService::isRightVersion(const wire::CallStart &start, const HttpResponse &head) const
{
    if (!mUpstream->settings().isEngine || head.status != 200) {
        return true;
    }
    const wire::VersionEntry *wanted = mConfig->state().version(start.service(), start.version());
    return wanted != nullptr && head.header("Engine-Version") == start.version()
        && head.header("Engine-Manifest") == wanted->version().manifest_digest();
}

Outcome CallService::outcomeOf(const wire::CallStart &start,
                               const tl::expected<HttpResponse, HttpError> &response,
                               UnknownReason abortedBecause) const
{
    if (response) {
        const bool refused = !response->header("Engine-Refused").empty();
        if (refused && mUpstream->settings().isEngine) {
            const bool lacksVersion = response->status == 409;
            return NotRun{lacksVersion ? RefusalReason::VersionNotLoaded
                                       : RefusalReason::Overloaded,
                          Milliseconds(100)};
        }
        if (!isRightVersion(start, *response)) {
            return Unknown{UnknownReason::VersionMismatch};
        }
        return Answered{response->status};
    }
    switch (response.error().failure) {
    case HttpFailure::NotConnected:
        return NotRun{RefusalReason::UpstreamUnreachable, Milliseconds(200)};
    case HttpFailure::TimedOut:
        return Unknown{UnknownReason::DeadlinePassed};
    case HttpFailure::Aborted:
        return Unknown{abortedBecause};
    case HttpFailure::Cut:
    case HttpFailure::TooLarge:
    case HttpFailure::Malformed:
        return Unknown{UnknownReason::UpstreamCut};
    }
    return Unknown{UnknownReason::UpstreamCut};
}

void CallService::answer(PeerStream &stream, const wire::CallStart &start, const Upstreamed &result)
{
    wire::CallEvent event;
    event.set_in_flight(mUpstream->gate().inFlight());
    event.set_version(start.version());
    std::visit(Overload{
                   [&](const Answered &answered) {
                       event.set_kind(wire::CallEvent::ANSWERED);
                       event.set_status(static_cast<std::uint32_t>(answered.status));
                       event.set_total_bytes(result.bytes);
                       event.set_data(result.body);
                   },
                   [&](const NotRun &notRun) {
                       event.set_kind(wire::CallEvent::NOT_RUN);
                       event.set_key_spent(result.isKeySpent);
                       event.set_reason(std::string(reasonName(notRun.reason)));
                       event.set_retry_after_ms(
                           static_cast<std::uint32_t>(notRun.retryAfter.count()));
                   },
                   [&](const Unknown &unknown) {
                       event.set_kind(wire::CallEvent::UNKNOWN);
                       event.set_reason(std::string(reasonName(unknown.reason)));
                   },
               },
               result.outcome);
    stream.send(event);
    stream.finish();
}

} // namespace Loom
