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

/** A call received by an agent. */
struct GateCall
{
    AttemptKey attempt;
    std::string version; ///< empty for services without model versions
    std::string idempotencyKey; ///< empty for calls that may run more than once
    std::uint64_t homeIncarnation = 0; ///< the only incarnation that may run the key
    WallMilliseconds keyExpires{0};
    Milliseconds timeLeft{0};
};

struct GateRun
{
}; ///< pass the call to the upstream, then call complete()
struct GateWait
{
}; ///< the key is running; use admitAfterWait() once it has finished
struct GateReplay
{
    StoredAnswer answer;
}; ///< the key has already run; this is its answer
struct GateRefuse
{
    NotRun refusal;
    bool isKeySpent = false; ///< the key never runs; every repeat is refused as well
};
struct GateUnknown
{
    UnknownReason reason;
};

using GateDecision = std::variant<GateRun, GateWait, GateReplay, GateRefuse, GateUnknown>;

/**
 * Decides on an agent whether a call may be passed to the upstream. A refused
 * attempt is guaranteed not to run later. Owned by the agent's call service.
 */
class CallGate
{
public:
    explicit CallGate(std::uint64_t incarnation);

    void setCapacity(std::uint32_t capacity) { mCapacity = capacity; }
    /** Irreversible: this incarnation accepts no more calls. */
    void setLeaving() { mLeaving = true; }
    void setUpstreamAlive(bool alive) { mUpstreamAlive = alive; }
    /** Sets the versions that the engine reports as completely loaded. */
    void setVersions(std::vector<std::string> versions) { mVersions = std::move(versions); }

    GateDecision admit(const GateCall &call, WallMilliseconds wallNow, Instant now);
    /** Like admit(), for a call that received GateWait before. */
    GateDecision admitAfterWait(const GateCall &call, WallMilliseconds wallNow, Instant now);
    /** Records the result of a call after GateRun; @p body is stored for repeats of its key. */
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
