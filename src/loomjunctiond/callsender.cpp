/*
 * callsender.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "callsender.h"

#include "clock.h"
#include "linkservice.h"
#include "platformservice.h"

#include <algorithm>

namespace Loom {

namespace {

// How often an attempt under way looks whether its agent still speaks.
constexpr std::chrono::milliseconds sLookEvery{500};
// The caller waits while an attempt is revoked, so this is short.
constexpr std::chrono::milliseconds sRevokeTimeout{80};
constexpr Milliseconds sRevokedRetryAfter{100};
constexpr Milliseconds sAvoidAfterCut{1'000};

} // namespace

CallSender::CallSender(PlatformService &platform, LinkService &links)
    : mPlatform(platform)
    , mLinks(links)
    , mEntryName(platform.box() + "#" + std::to_string(platform.incarnation()))
{
}

awaitable<AttemptResult> CallSender::send(std::string box, wire::CallStart start, Instant deadline,
                                          PieceHandler onPiece)
{
    const Milliseconds left = std::chrono::duration_cast<Milliseconds>(deadline - now());
    if (left.count() <= 0) {
        co_return AttemptResult{NotRun{RefusalReason::DeadlinePassed, {}}, {}, false};
    }
    start.mutable_attempt()->set_entry(mEntryName);
    start.mutable_attempt()->set_sequence(++mLastSequence);
    start.set_deadline_ms(static_cast<std::uint32_t>(left.count()));

    const PeerConnectionPtr connection = mLinks.connection(box);
    const PeerStreamPtr stream = connection ? connection->open("/call") : nullptr;
    if (!stream) {
        co_return AttemptResult{
            NotRun{RefusalReason::UpstreamUnreachable, sRevokedRetryAfter}, {}, false};
    }
    mLinks.upstreams().callStarted(box);
    stream->send(start);
    stream->finish();
    AttemptResult result = co_await exchange(box, stream, start, deadline, onPiece);
    mLinks.upstreams().callEnded(box);
    co_return result;
}

awaitable<AttemptResult> CallSender::exchange(const std::string &box, const PeerStreamPtr &stream,
                                              const wire::CallStart &start, Instant deadline,
                                              const PieceHandler &onPiece)
{
    AttemptResult result;
    std::uint64_t bytes = 0;
    while (true) {
        const Instant look = std::min(deadline, now() + sLookEvery);
        const auto event = co_await stream->receiveMessage<wire::CallEvent>(steadyTime(look));
        if (!event) {
            const bool step = event.error() == PeerError::TimedOut;
            if (step && now() >= deadline) {
                co_return co_await giveUp(box, stream, start, UnknownReason::DeadlinePassed,
                                          std::move(result));
            }
            if (step && !isSilent(box)) {
                continue;
            }
            co_return co_await giveUp(box, stream, start, UnknownReason::LinkCut,
                                      std::move(result));
        }
        if (!*event) {
            // The stream ended cleanly without saying how the call did.
            co_return co_await giveUp(box, stream, start, UnknownReason::LinkCut,
                                      std::move(result));
        }
        const wire::CallEvent &said = **event;
        bytes += said.data().size();
        if (said.kind() == wire::CallEvent::DATA) {
            result.streamed = true;
            if (!onPiece || !co_await onPiece(said)) {
                stream->reset(); // the caller is gone; the agent cancels the engine
                result.outcome = Unknown{UnknownReason::LinkCut};
                co_return result;
            }
            continue;
        }
        result.outcome = outcomeOf(said);
        result.body = said.data();
        result.isKeySpent = said.key_spent();
        const bool whole = said.total_bytes() == bytes;
        if (said.kind() == wire::CallEvent::ANSWERED && !whole) {
            result.outcome = Unknown{UnknownReason::UpstreamCut};
        }
        co_return result;
    }
}

Outcome CallSender::outcomeOf(const wire::CallEvent &event)
{
    switch (event.kind()) {
    case wire::CallEvent::ANSWERED:
        return Answered{static_cast<int>(event.status())};
    case wire::CallEvent::NOT_RUN:
        return NotRun{refusalReason(event.reason()), Milliseconds(event.retry_after_ms())};
    default:
        return Unknown{unknownReason(event.reason())};
    }
}

awaitable<AttemptResult> CallSender::giveUp(const std::string &box, const PeerStreamPtr &stream,
                                            const wire::CallStart &start, UnknownReason reason,
                                            AttemptResult soFar)
{
    stream->reset();
    mLinks.upstreams().avoid(box, now() + sAvoidAfterCut);
    soFar.outcome = Unknown{reason};
    if (soFar.streamed) {
        co_return soFar;
    }
    if (co_await revoke(box, start.attempt())) {
        mPlatform.metrics().count("attempts_revoked");
        // The agent answers, yet what went over the link never reached it.
        mLinks.doubt(box);
        const bool late = reason == UnknownReason::DeadlinePassed;
        soFar.outcome = NotRun{late ? RefusalReason::DeadlinePassed : RefusalReason::Revoked,
                               sRevokedRetryAfter};
    }
    co_return soFar;
}

awaitable<bool> CallSender::revoke(std::string box, wire::AttemptId attempt)
{
    const PeerConnectionPtr connection
        = co_await mLinks.freshConnection(std::move(box), sRevokeTimeout);
    const PeerStreamPtr stream = connection ? connection->open("/revoke") : nullptr;
    if (!stream) {
        co_return false;
    }
    wire::RevokeCall call;
    *call.mutable_attempt() = attempt;
    stream->send(call);
    stream->finish();
    const auto deadline = std::chrono::steady_clock::now() + sRevokeTimeout;
    const auto answer = co_await stream->receiveMessage<wire::RevokeAnswer>(deadline);
    connection->close();
    co_return answer &&*answer && (*answer)->revoked();
}

bool CallSender::isSilent(const std::string &box) const
{
    const Upstream *upstream = mLinks.upstreams().find(box);
    return upstream == nullptr || now() - upstream->lastReportAt > UpstreamTable::sReportTimeout;
}

} // namespace Loom
