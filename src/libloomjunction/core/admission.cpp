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

// From this part of the limit on, accounts over their share are refused, so
// that there is always room for those under theirs.
constexpr double sContendedFrom = 0.8;
constexpr double sDecrease = 0.9;
constexpr Milliseconds sDecreaseEvery{100};
constexpr Milliseconds sDrainWindow{250};
// An account counts as active for this long after it last asked.
constexpr Milliseconds sActiveFor{2'000};
constexpr Milliseconds sLeastRetryAfter{50};
constexpr Milliseconds sMostRetryAfter{10'000};
constexpr std::size_t sMostShares = 4096;

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
    // A raised ceiling frees the limit at once; the upstreams' refusals bring it down again.
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
        if (mShares.size() >= sMostShares) {
            std::erase_if(mShares, [&](const auto &pair) {
                return pair.second.inFlight == 0 && now - pair.second.lastAsked > sActiveFor;
            });
        }
        it = mShares.emplace(std::string(account), Share{}).first;
    }
    Share &share = it->second;
    share.weight = std::max<std::uint32_t>(weight, 1);
    share.lastAsked = now;

    const bool full = mInFlight >= std::max(1.0, std::floor(mLimit));
    const bool contended = mInFlight >= mLimit * sContendedFrom;
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
        const bool active = other.inFlight > 0 || now - other.lastAsked <= sActiveFor;
        weights += active ? other.weight : 0;
    }
    const double fair = mLimit * share.weight / std::max(weights, 1.0);
    // Even a lone account leaves the reserve, or the next one would find no room.
    return std::max(1.0, std::min(fair, mLimit * sContendedFrom));
}

void Admission::release(std::string_view account, bool upstreamRefused, Instant now)
{
    const auto it = mShares.find(account);
    if (it != mShares.end() && it->second.inFlight > 0) {
        --it->second.inFlight;
        --mInFlight;
    }
    noteDrain(now);
    if (!upstreamRefused) {
        mLimit = std::min<double>(mCeiling, mLimit + 1.0 / std::max(mLimit, 1.0));
        return;
    }
    if (now - mLastDecrease >= sDecreaseEvery) {
        // Never under what is in flight by a wide margin: one decrease speaks of now.
        mLimit = std::max(1.0, std::min<double>(mLimit, mInFlight + 1) * sDecrease);
        mLastDecrease = now;
    }
}

void Admission::noteDrain(Instant now)
{
    ++mWindowDrained;
    const auto elapsed = now - mWindowStart;
    if (elapsed < sDrainWindow) {
        return;
    }
    const double seconds = std::chrono::duration<double>(elapsed).count();
    mDrainPerSecond = mWindowDrained / seconds;
    mWindowDrained = 0;
    mWindowStart = now;
}

Milliseconds Admission::retryAfter(Instant now) const
{
    const bool stale = now - mWindowStart > sMostRetryAfter;
    if (mDrainPerSecond <= 0 || stale) {
        return Milliseconds(1'000);
    }
    // Time until the room that accounts under their share do not need is free again.
    const double excess = std::max(1.0, mInFlight - mLimit * sContendedFrom + 1);
    const auto wait = Milliseconds(static_cast<std::int64_t>(1000.0 * excess / mDrainPerSecond));
    return std::clamp(wait, sLeastRetryAfter, sMostRetryAfter);
}

} // namespace Loom
