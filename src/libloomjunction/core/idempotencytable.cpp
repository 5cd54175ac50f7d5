/*
 * idempotencytable.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "idempotencytable.h"

#include "idempotencykey.h"

namespace Loom {

namespace {

constexpr Milliseconds sFullRetryAfter{5'000};

// A key is retained for longer than any box may consider it valid, whatever its clock skew.
constexpr Milliseconds sKeyRetention = sKeyLifetime + 2 * sMaxClockSkew;

} // namespace

KeyDecision IdempotencyTable::begin(std::string_view key, std::uint64_t homeIncarnation,
                                    WallMilliseconds expires, WallMilliseconds wallNow, Instant now)
{
    removeExpired(now);
    if (homeIncarnation != mIncarnation) {
        return KeyUnknown{UnknownReason::HomeGone};
    }
    const auto it = mKeys.find(std::string(key));
    if (it != mKeys.end()) {
        if (const auto *answer = std::get_if<StoredAnswer>(&it->second)) {
            return KeyReplay{*answer};
        }
        if (const auto *reason = std::get_if<UnknownReason>(&it->second)) {
            return KeyUnknown{*reason};
        }
        if (const auto *refusal = std::get_if<NotRun>(&it->second)) {
            return KeyRefused{*refusal};
        }
        return KeyBusy{};
    }
    // No entry issues a key that expires later than this. Such a key could still
    // be valid after its record has been removed from the table.
    if (wallNow >= expires || expires - wallNow > sKeyLifetime + sMaxClockSkew) {
        return KeyUnknown{UnknownReason::KeyExpired};
    }
    if (mKeys.size() >= sMaxKeys) {
        return KeyTableFull{sFullRetryAfter};
    }
    mKeys.emplace(std::string(key), Running{});
    mByAge.push_back({std::string(key), now + sKeyRetention});
    return KeyRun{};
}

void IdempotencyTable::finishAnswered(std::string_view key, StoredAnswer answer, Instant now)
{
    const auto it = mKeys.find(std::string(key));
    if (it == mKeys.end()) {
        return;
    }
    const std::size_t size = answer.body.size();
    if (size > sMaxBodyBytes || mStoredBytes + size > sMaxStoredBytes) {
        finishUnknown(key, UnknownReason::LinkCut, now);
        return;
    }
    mStoredBytes += size;
    it->second = std::move(answer);
}

void IdempotencyTable::finishNotRun(std::string_view key, NotRun refusal)
{
    const auto it = mKeys.find(std::string(key));
    if (it != mKeys.end()) {
        it->second = refusal;
    }
}

void IdempotencyTable::finishUnknown(std::string_view key, UnknownReason reason, Instant)
{
    const auto it = mKeys.find(std::string(key));
    if (it != mKeys.end()) {
        it->second = reason;
    }
}

void IdempotencyTable::removeExpired(Instant now)
{
    while (!mByAge.empty() && mByAge.front().expiresAt < now) {
        const auto it = mKeys.find(mByAge.front().key);
        if (it != mKeys.end()) {
            const auto *answer = std::get_if<StoredAnswer>(&it->second);
            mStoredBytes -= answer == nullptr ? 0 : answer->body.size();
            mKeys.erase(it);
        }
        mByAge.pop_front();
    }
}

} // namespace Loom
