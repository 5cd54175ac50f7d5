/*
 * idempotencytable.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "outcome.h"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace Loom {

/** An answer stored for repeats of its key. */
struct StoredAnswer
{
    int status = 0;
    std::string body;
};

struct KeyRun
{
}; ///< run the call, then report the result with one of the finish functions
struct KeyBusy
{
}; ///< the call is running; wait for its result
struct KeyReplay
{
    StoredAnswer answer;
}; ///< the call has run; this is its complete answer
struct KeyUnknown
{
    UnknownReason reason;
}; ///< the call may have run and must not run again
struct KeyRefused
{
    NotRun refusal;
}; ///< the call was refused and never runs
struct KeyTableFull
{
    Milliseconds retryAfter;
}; ///< the table is full, so the call is not run

using KeyDecision = std::variant<KeyRun, KeyBusy, KeyReplay, KeyUnknown, KeyRefused, KeyTableFull>;

/**
 * Records the idempotency keys of calls that one agent incarnation may run at
 * most once. A key never starts twice; a key whose entry may have expired is
 * answered as unknown. Owned by the agent's call gate.
 */
class IdempotencyTable
{
public:
    explicit IdempotencyTable(std::uint64_t incarnation)
        : mIncarnation(incarnation)
    {
    }

    /** Decides whether @p key may run; it is valid in @p homeIncarnation only, until @p expires. */
    KeyDecision begin(std::string_view key, std::uint64_t homeIncarnation, WallMilliseconds expires,
                      WallMilliseconds wallNow, Instant now);

    /** Stores the complete answer of the upstream. */
    void finishAnswered(std::string_view key, StoredAnswer answer, Instant now);
    /**
     * Records that the call has not run. The key never runs from now on, so
     * the caller can use a new key without the risk that a delayed duplicate
     * of this one runs as well.
     */
    void finishNotRun(std::string_view key, NotRun refusal);
    /** Records that the call may have run. */
    void finishUnknown(std::string_view key, UnknownReason reason, Instant now);

    std::size_t size() const { return mKeys.size(); }

    /** Limit of recorded keys; further calls are refused instead of evicting a key. */
    static constexpr std::size_t sMaxKeys = 100'000;
    /** Larger answers are not stored; a repeat then gets an unknown outcome. */
    static constexpr std::size_t sMaxBodyBytes = std::size_t{64} * 1024;
    static constexpr std::size_t sMaxStoredBytes = std::size_t{32} * 1024 * 1024;

private:
    struct Running
    {
    };
    using State = std::variant<Running, StoredAnswer, UnknownReason, NotRun>;

    struct KeyExpiry
    {
        std::string key;
        Instant expiresAt;
    };

    void removeExpired(Instant now);

    std::uint64_t mIncarnation;
    std::unordered_map<std::string, State> mKeys;
    std::deque<KeyExpiry> mByAge;
    std::size_t mStoredBytes = 0;
};

} // namespace Loom
