/*
 * callgate.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "callgate.h"

#include "overload.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr Milliseconds sFullRetryAfter{200};
constexpr Milliseconds sElsewhereRetryAfter{100};

} // namespace

CallGate::CallGate(std::uint64_t incarnation)
    : mIncarnation(incarnation)
    , mOnce(incarnation)
{
}

GateDecision CallGate::arrive(const GateCall &call, WallMilliseconds wallNow, Instant now)
{
    if (!mLedger.start(call.attempt, now)) {
        return GateRefuse{{RefusalReason::Revoked, sElsewhereRetryAfter}};
    }
    return arriveAgain(call, wallNow, now);
}

GateDecision CallGate::arriveAgain(const GateCall &call, WallMilliseconds wallNow, Instant now)
{
    if (!call.onceKey.empty()) {
        return beginOnce(call, wallNow, now);
    }
    if (const auto refused = refusal(call)) {
        return GateRefuse{*refused};
    }
    ++mInFlight;
    return GateRun{};
}

GateDecision CallGate::beginOnce(const GateCall &call, WallMilliseconds wallNow, Instant now)
{
    // The key's own memory goes first: what ran is answered so even while leaving.
    const OnceDecision decision
        = mOnce.begin(call.onceKey, call.homeIncarnation, call.keyExpires, wallNow, now);
    return std::visit(
        Overload{
            [&](const OnceRun &) -> GateDecision {
                if (const auto refused = refusal(call)) {
                    mOnce.finishNotRun(call.onceKey, *refused);
                    return GateRefuse{*refused, true};
                }
                ++mInFlight;
                return GateRun{};
            },
            [](const OnceBusy &) -> GateDecision { return GateWait{}; },
            [](const OnceReplay &replay) -> GateDecision { return GateReplay{replay.answer}; },
            [](const OnceUnknown &unknown) -> GateDecision { return GateUnknown{unknown.reason}; },
            [](const OnceRefused &refused) -> GateDecision {
                return GateRefuse{refused.refusal, true};
            },
            [](const OnceFull &full) -> GateDecision {
                return GateRefuse{{RefusalReason::Overloaded, full.retryAfter}};
            },
        },
        decision);
}

std::optional<NotRun> CallGate::refusal(const GateCall &call) const
{
    if (mLeaving) {
        return NotRun{RefusalReason::UpstreamLeaving, sElsewhereRetryAfter};
    }
    if (call.timeLeft.count() <= 0) {
        return NotRun{RefusalReason::DeadlinePassed, Milliseconds(0)};
    }
    if (!mUpstreamAlive) {
        return NotRun{RefusalReason::UpstreamUnreachable, sFullRetryAfter};
    }
    const bool lacksVersion
        = !call.version.empty() && std::ranges::find(mVersions, call.version) == mVersions.end();
    if (lacksVersion) {
        return NotRun{RefusalReason::VersionNotLoaded, sElsewhereRetryAfter};
    }
    if (mInFlight >= mCapacity) {
        return NotRun{RefusalReason::Overloaded, sFullRetryAfter};
    }
    return std::nullopt;
}

void CallGate::ended(const GateCall &call, const Outcome &outcome, std::string_view body,
                     Instant now)
{
    mInFlight -= mInFlight > 0 ? 1 : 0;
    if (call.onceKey.empty()) {
        return;
    }
    std::visit(
        Overload{
            [&](const Answered &answered) {
                mOnce.finishAnswered(call.onceKey, {answered.status, std::string(body)}, now);
            },
            [&](const NotRun &notRun) { mOnce.finishNotRun(call.onceKey, notRun); },
            [&](const Unknown &unknown) { mOnce.finishUnknown(call.onceKey, unknown.reason, now); },
        },
        outcome);
}

RevokeResult CallGate::revoke(const AttemptKey &attempt, Instant now)
{
    return mLedger.revoke(attempt, now);
}

} // namespace Loom
