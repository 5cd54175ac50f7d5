/*
 * admission.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "admission.h"

#include <algorithm>
#include <cmath>

namespace Loom {

namespace {

// Above this fraction of the limit, accounts over their share are refused, so that there
// is always room for accounts under theirs.
constexpr double sContentionThreshold = 0.8;
constexpr double sDecreaseFactor = 0.9;
constexpr Milliseconds sMinDecreaseInterval{100};
constexpr Milliseconds sCompletionWindow{250};
// An account counts as active for this long after its last request.
constexpr Milliseconds sActivePeriod{2'000};
constexpr Milliseconds sMinRetryAfter{50};
constexpr Milliseconds sMaxRetryAfter{10'000};
constexpr std::size_t sMaxShares = 4096;

} // namespace

Admission::Admission(std::uint32_t ceiling)
    : mLimit(ceiling)
    , mCeiling(ceiling)
{
}

void Admission::setCeiling(std::uint32_t ceiling)
{
    if (ceiling == mCeiling) {
        return;
    }
    // A raised ceiling applies immediately; refusals of the upstreams lower the limit again.
    mLimit = ceiling > mCeiling ? ceiling : std::min<double>(mLimit, ceiling);
    mCeiling = ceiling;
}

std::uint32_t Admission::inFlightOf(std::string_view account) const
{
    const auto it = mShares.find(account);
    return it == mShares.end() ? 0 : it->second.inFlight;
}

std::optional<NotRun> Admission::admit(std::string_view account, std::uint32_t weight, Instant now)
{
    auto it = mShares.find(account);
    if (it == mShares.end()) {
        if (mShares.size() >= sMaxShares) {
            std::erase_if(mShares, [&](const auto &pair) {
                return pair.second.inFlight == 0 && now - pair.second.lastRequestAt > sActivePeriod;
            });
        }
        it = mShares.emplace(std::string(account), Share{}).first;
    }
    Share &share = it->second;
    share.weight = std::max<std::uint32_t>(weight, 1);
    share.lastRequestAt = now;

    const bool full = mInFlight >= std::max(1.0, std::floor(mLimit));
    const bool contended = mInFlight >= mLimit * sContentionThreshold;
    const bool overShare = share.inFlight >= fairShare(share, now);
    if (full) {
        return NotRun{RefusalReason::Overloaded, retryAfter(now)};
    }
    if (contended && overShare) {
        return NotRun{RefusalReason::AccountOverLimit, retryAfter(now)};
    }
    ++share.inFlight;
    ++mInFlight;
    return std::nullopt;
}

double Admission::fairShare(const Share &share, Instant now) const
{
    double weights = 0;
    for (const auto &[account, other] : mShares) {
        const bool active = other.inFlight > 0 || now - other.lastRequestAt <= sActivePeriod;
        weights += active ? other.weight : 0;
    }
    const double fair = mLimit * share.weight / std::max(weights, 1.0);
    // A single active account leaves the reserve free too, so that the next one finds room.
    return std::max(1.0, std::min(fair, mLimit * sContentionThreshold));
}

void Admission::release(std::string_view account, bool upstreamRefused, Instant now)
{
    const auto it = mShares.find(account);
    if (it != mShares.end() && it->second.inFlight > 0) {
        --it->second.inFlight;
        --mInFlight;
    }
    noteCompletion(now);
    if (!upstreamRefused) {
        mLimit = std::min<double>(mCeiling, mLimit + 1.0 / std::max(mLimit, 1.0));
        return;
    }
    if (now - mLastDecrease >= sMinDecreaseInterval) {
        // A limit above the requests in flight is first lowered to them, because the refusal
        // tells about the current load only. One decrease thus ends close to that load.
        mLimit = std::max(1.0, std::min<double>(mLimit, mInFlight + 1) * sDecreaseFactor);
        mLastDecrease = now;
    }
}

void Admission::noteCompletion(Instant now)
{
    ++mWindowCompletions;
    const auto elapsed = now - mWindowStart;
    if (elapsed < sCompletionWindow) {
        return;
    }
    const double seconds = std::chrono::duration<double>(elapsed).count();
    mCompletionsPerSecond = mWindowCompletions / seconds;
    mWindowCompletions = 0;
    mWindowStart = now;
}

Milliseconds Admission::retryAfter(Instant now) const
{
    const bool stale = now - mWindowStart > sMaxRetryAfter;
    if (mCompletionsPerSecond <= 0 || stale) {
        return Milliseconds(1'000);
    }
    // Time until the load has fallen below the contention threshold.
    const double excess = std::max(1.0, mInFlight - mLimit * sContentionThreshold + 1);
    const auto wait
        = Milliseconds(static_cast<std::int64_t>(1000.0 * excess / mCompletionsPerSecond));
    return std::clamp(wait, sMinRetryAfter, sMaxRetryAfter);
}

} // namespace Loom
