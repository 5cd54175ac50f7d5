/*
 * oncetable.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "oncetable.h"

#include "oncekey.h"

namespace Loom {

namespace {

constexpr Milliseconds sFullRetryAfter{5'000};

// A key is remembered for longer than any box may still think it usable.
constexpr Milliseconds sRemembered = sKeyWindow + 2 * sClockSkew;

} // namespace

OnceDecision OnceTable::begin(std::string_view key, std::uint64_t homeIncarnation,
                              WallMilliseconds expires, WallMilliseconds wallNow, Instant now)
{
    forgetOld(now);
    if (homeIncarnation != mIncarnation) {
        return OnceUnknown{UnknownReason::HomeGone};
    }
    const auto it = mKeys.find(std::string(key));
    if (it != mKeys.end()) {
        if (const auto *answer = std::get_if<StoredAnswer>(&it->second)) {
            return OnceReplay{*answer};
        }
        if (const auto *reason = std::get_if<UnknownReason>(&it->second)) {
            return OnceUnknown{*reason};
        }
        if (const auto *refusal = std::get_if<NotRun>(&it->second)) {
            return OnceRefused{*refusal};
        }
        return OnceBusy{};
    }
    // An expiry further away than the window was made by no entry of ours; it
    // could outlive the memory of the key.
    if (wallNow >= expires || expires - wallNow > sKeyWindow + sClockSkew) {
        return OnceUnknown{UnknownReason::KeyExpired};
    }
    if (mKeys.size() >= sMost) {
        return OnceFull{sFullRetryAfter};
    }
    mKeys.emplace(std::string(key), Running{});
    mOrder.push_back({std::string(key), now + sRemembered});
    return OnceRun{};
}

void OnceTable::finishAnswered(std::string_view key, StoredAnswer answer, Instant now)
{
    const auto it = mKeys.find(std::string(key));
    if (it == mKeys.end()) {
        return;
    }
    const std::size_t size = answer.body.size();
    if (size > sMostBodyBytes || mStoredBytes + size > sMostStoredBytes) {
        finishUnknown(key, UnknownReason::LinkCut, now);
        return;
    }
    mStoredBytes += size;
    it->second = std::move(answer);
}

void OnceTable::finishNotRun(std::string_view key, NotRun refusal)
{
    const auto it = mKeys.find(std::string(key));
    if (it != mKeys.end()) {
        it->second = refusal;
    }
}

void OnceTable::finishUnknown(std::string_view key, UnknownReason reason, Instant)
{
    const auto it = mKeys.find(std::string(key));
    if (it != mKeys.end()) {
        it->second = reason;
    }
}

void OnceTable::forgetOld(Instant now)
{
    while (!mOrder.empty() && mOrder.front().until < now) {
        const auto it = mKeys.find(mOrder.front().key);
        if (it != mKeys.end()) {
            const auto *answer = std::get_if<StoredAnswer>(&it->second);
            mStoredBytes -= answer == nullptr ? 0 : answer->body.size();
            mKeys.erase(it);
        }
        mOrder.pop_front();
    }
}

} // namespace Loom
