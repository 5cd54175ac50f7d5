/*
 * callgate.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "attemptledger.h"
#include "idempotencytable.h"
#include "instant.h"
#include "outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Loom {

/** A call as it arrives at an agent. */
struct GateCall
{
    AttemptKey attempt;
    std::string version; ///< empty for plain services
    std::string idempotencyKey; ///< empty for calls that may be repeated
    std::uint64_t homeIncarnation = 0; ///< the only incarnation that may run idempotencyKey
    WallMilliseconds keyExpires{0};
    Milliseconds timeLeft{0};
};

struct GateRun
{
}; ///< hand it to the upstream; ended() must follow
struct GateWait
{
}; ///< its key runs just now; ask again when that ended
struct GateReplay
{
    StoredAnswer answer;
}; ///< its key ran before
struct GateRefuse
{
    NotRun refusal;
    bool isKeySpent = false; ///< the call's key never runs; every repeat hears the same
};
struct GateUnknown
{
    UnknownReason reason;
};

using GateDecision = std::variant<GateRun, GateWait, GateReplay, GateRefuse, GateUnknown>;

/**
 * Decides at one agent whether a call may be handed to the upstream. Every
 * refusal here is exact: what it refuses is never run later. Owned by the
 * agent's call service.
 */
class CallGate
{
public:
    explicit CallGate(std::uint64_t incarnation);

    void setCapacity(std::uint32_t capacity) { mCapacity = capacity; }
    /** Final: this incarnation takes no more work. */
    void setLeaving() { mLeaving = true; }
    void setUpstreamAlive(bool alive) { mUpstreamAlive = alive; }
    /** Versions that the engine reports loaded whole. */
    void setVersions(std::vector<std::string> versions) { mVersions = std::move(versions); }

    GateDecision admit(const GateCall &call, WallMilliseconds wallNow, Instant now);
    /** As arrive(), for a call that got GateWait before. */
    GateDecision admitAfterWait(const GateCall &call, WallMilliseconds wallNow, Instant now);
    /** A call that got GateRun ended so; @p body is kept for repeats of its key. */
    void complete(const GateCall &call, const Outcome &outcome, std::string_view body, Instant now);
    RevokeResult revoke(const AttemptKey &attempt, Instant now);

    std::uint64_t incarnation() const { return mIncarnation; }
    std::uint32_t inFlight() const { return mInFlight; }
    std::uint32_t capacity() const { return mCapacity; }
    bool isLeaving() const { return mLeaving; }
    bool isUpstreamAlive() const { return mUpstreamAlive; }
    const std::vector<std::string> &versions() const { return mVersions; }

private:
    std::optional<NotRun> refusal(const GateCall &call) const;
    GateDecision beginKeyed(const GateCall &call, WallMilliseconds wallNow, Instant now);

    std::uint64_t mIncarnation;
    std::uint32_t mCapacity = 1;
    std::uint32_t mInFlight = 0;
    bool mLeaving = false;
    bool mUpstreamAlive = false;
    std::vector<std::string> mVersions;
    AttemptLedger mLedger;
    IdempotencyTable mKeyTable;
};

} // namespace Loom
