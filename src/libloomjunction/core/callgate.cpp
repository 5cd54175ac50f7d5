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
constexpr Milliseconds sOtherUpstreamRetryAfter{100};

} // namespace

CallGate::CallGate(std::uint64_t incarnation)
    : mIncarnation(incarnation)
    , mKeyTable(incarnation)
{
}

GateDecision CallGate::admit(const GateCall &call, WallMilliseconds wallNow, Instant now)
{
    if (!mLedger.tryStart(call.attempt, now)) {
        return GateRefuse{{RefusalReason::Revoked, sOtherUpstreamRetryAfter}};
    }
    return admitAfterWait(call, wallNow, now);
}

GateDecision CallGate::admitAfterWait(const GateCall &call, WallMilliseconds wallNow, Instant now)
{
    if (!call.idempotencyKey.empty()) {
        return beginKeyed(call, wallNow, now);
    }
    if (const auto refused = refusal(call)) {
        return GateRefuse{*refused};
    }
    ++mInFlight;
    return GateRun{};
}

GateDecision CallGate::beginKeyed(const GateCall &call, WallMilliseconds wallNow, Instant now)
{
    // Recorded keys are checked first: the result of a call that has run is
    // returned even while this agent is leaving.
    const KeyDecision decision
        = mKeyTable.begin(call.idempotencyKey, call.homeIncarnation, call.keyExpires, wallNow, now);
    return std::visit(
        Overload{
            [&](const KeyRun &) -> GateDecision {
                if (const auto refused = refusal(call)) {
                    mKeyTable.finishNotRun(call.idempotencyKey, *refused);
                    return GateRefuse{*refused, true};
                }
                ++mInFlight;
                return GateRun{};
            },
            [](const KeyBusy &) -> GateDecision { return GateWait{}; },
            [](const KeyReplay &replay) -> GateDecision { return GateReplay{replay.answer}; },
            [](const KeyUnknown &unknown) -> GateDecision { return GateUnknown{unknown.reason}; },
            [](const KeyRefused &refused) -> GateDecision {
                return GateRefuse{refused.refusal, true};
            },
            [](const KeyTableFull &full) -> GateDecision {
                return GateRefuse{{RefusalReason::Overloaded, full.retryAfter}};
            },
        },
        decision);
}

std::optional<NotRun> CallGate::refusal(const GateCall &call) const
{
    if (mLeaving) {
        return NotRun{RefusalReason::UpstreamLeaving, sOtherUpstreamRetryAfter};
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
        return NotRun{RefusalReason::VersionNotLoaded, sOtherUpstreamRetryAfter};
    }
    if (mInFlight >= mCapacity) {
        return NotRun{RefusalReason::Overloaded, sFullRetryAfter};
    }
    return std::nullopt;
}

void CallGate::complete(const GateCall &call, const Outcome &outcome, std::string_view body,
                        Instant now)
{
    mInFlight -= mInFlight > 0 ? 1 : 0;
    if (call.idempotencyKey.empty()) {
        return;
    }
    std::visit(
        Overload{
            [&](const Answered &answered) {
                mKeyTable.finishAnswered(call.idempotencyKey, {answered.status, std::string(body)},
                                         now);
            },
            [&](const NotRun &notRun) { mKeyTable.finishNotRun(call.idempotencyKey, notRun); },
            [&](const Unknown &unknown) {
                mKeyTable.finishUnknown(call.idempotencyKey, unknown.reason, now);
            },
        },
        outcome);
}

RevokeResult CallGate::revoke(const AttemptKey &attempt, Instant now)
{
    return mLedger.revoke(attempt, now);
}

} // namespace Loom
