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

/** An answer kept for repeats of its key. */
struct StoredAnswer
{
    int status = 0;
    std::string body;
};

struct KeyRun
{
}; ///< run it now; finish() must follow
struct KeyBusy
{
}; ///< it runs; wait for finish()
struct KeyReplay
{
    StoredAnswer answer;
}; ///< it ran; here is its whole answer
struct KeyUnknown
{
    UnknownReason reason;
}; ///< it may have run and must not again
struct KeyRefused
{
    NotRun refusal;
}; ///< it was refused and never runs
struct KeyTableFull
{
    Milliseconds retryAfter;
}; ///< no room to remember it: not run

using KeyDecision = std::variant<KeyRun, KeyBusy, KeyReplay, KeyUnknown, KeyRefused, KeyTableFull>;

/**
 * The memory of one agent incarnation for calls that may run at most once.
 * A key that it has begun is never begun again; a key it may have forgotten
 * is refused as unknown. Owned by the agent's call gate.
 */
class IdempotencyTable
{
public:
    explicit IdempotencyTable(std::uint64_t incarnation)
        : mIncarnation(incarnation)
    {
    }

    /** Decides on @p key, which may run in @p homeIncarnation only, until @p expires. */
    KeyDecision begin(std::string_view key, std::uint64_t homeIncarnation, WallMilliseconds expires,
                      WallMilliseconds wallNow, Instant now);

    /** The upstream's whole answer is known. */
    void finishAnswered(std::string_view key, StoredAnswer answer, Instant now);
    /**
     * It surely did not run, and from now on it never will: whoever was told
     * so may take a new key without fear of a late copy of this one.
     */
    void finishNotRun(std::string_view key, NotRun refusal);
    /** It may have run. */
    void finishUnknown(std::string_view key, UnknownReason reason, Instant now);

    std::size_t size() const { return mKeys.size(); }

    /** Keys remembered at most; beyond, calls are refused rather than forgotten. */
    static constexpr std::size_t sMaxKeys = 100'000;
    /** Larger answers are not kept: a repeat hears that it ran, as unknown. */
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
