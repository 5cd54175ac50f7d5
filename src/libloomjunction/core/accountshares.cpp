/*
 * accountshares.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "accountshares.h"

#include "choicerandom.h"
#include "decay.h"

#include <algorithm>
#include <vector>

namespace Loom {

namespace {

// One gateway of dozens gets a few calls a second of each account, so shares need a longer
// memory than rates of all calls.
constexpr double sHalfLifeMs = 4'000;
// Counts are decayed and the level is computed at this interval, not for every call.
constexpr Milliseconds sUpdateInterval{100};
// With fewer calls, as after a start, the shares are not known.
constexpr double sMinCalls = 16;
// Accounts with less of the work than this fraction of a mean call are discarded.
constexpr double sMinCallFraction = 0.05;
// Change of the fraction of an account's calls that are over its share for each deviation of its
// admitted work from the share.
constexpr double sDeviationFactor = 3;
// Separates the random number of the share from those of the choice; any value works.
constexpr std::uint64_t sShareSeedMask = 0xbb67ae8584caa73bULL;

} // namespace

void AccountShares::decay(Instant now)
{
    if (now - mAt < sUpdateInterval) {
        return;
    }
    const double factor = decayFactor(now - mAt, sHalfLifeMs);
    mAt = now;
    mCalls *= factor;
    double asked = 0;
    for (auto &[account, work] : mWork) {
        work.asked *= factor;
        work.admitted *= factor;
        asked += work.asked;
    }
    const double minimum = mCalls > 0 ? asked / mCalls * sMinCallFraction : 0;
    std::erase_if(mWork, [&](const auto &item) { return item.second.asked <= minimum; });
    mLevel = maxMinLevel();
}

// Level at which the accounts, each limited to it, ask for the admitted work in total.
double AccountShares::maxMinLevel() const
{
    std::vector<double> asked;
    asked.reserve(mWork.size());
    double remaining = 0;
    for (const auto &[account, work] : mWork) {
        asked.push_back(work.asked);
        remaining += work.admitted;
    }
    std::ranges::sort(asked);
    for (std::size_t index = 0; index < asked.size(); ++index) {
        const double equalShare = remaining / static_cast<double>(asked.size() - index);
        if (asked[index] >= equalShare) {
            return equalShare;
        }
        remaining -= asked[index];
    }
    return asked.empty() ? 0 : asked.back();
}

void AccountShares::noteAsked(std::string_view account, double work, Instant now)
{
    decay(now);
    auto it = mWork.find(account);
    if (it == mWork.end()) {
        it = mWork.emplace(std::string(account), Work()).first;
    }
    it->second.asked += work;
    mCalls += 1;
}

void AccountShares::noteAdmitted(std::string_view account, double work, Instant now)
{
    decay(now);
    const auto it = mWork.find(account);
    if (it != mWork.end()) {
        it->second.admitted += work;
    }
}

// The admitted work is compared with the share, not the work that was asked for: repeats of
// refused calls raise the latter and would otherwise have their own part of the share.
double AccountShares::overShareFraction(std::string_view account) const
{
    const auto it = mWork.find(account);
    if (mWork.size() < 2 || mCalls < sMinCalls || it == mWork.end()) {
        return 0;
    }
    const auto &[asked, admitted] = it->second;
    if (asked <= mLevel || mLevel <= 0) {
        return 0;
    }
    const double deviation = admitted / mLevel - 1;
    return std::clamp(1 - mLevel / asked + deviation * sDeviationFactor, 0.0, 1.0);
}

bool AccountShares::isOverShare(std::string_view account, std::uint64_t random) const
{
    return ChoiceRandom(random ^ sShareSeedMask).nextFraction() < overShareFraction(account);
}

} // namespace Loom
