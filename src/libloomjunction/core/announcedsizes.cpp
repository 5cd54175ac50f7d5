/*
 * announcedsizes.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "announcedsizes.h"

#include <cmath>

namespace Loom {

void AnnouncedSizes::note(std::uint64_t tokens)
{
    mTokens.push_back(tokens <= sMaxPromptTokens ? tokens : 0);
    if (mTokens.size() > sMaxCount) {
        mTokens.pop_front();
    }
}

// Engines start requests mostly in the order of their arrival, so the newest ones wait. The
// number of waiting requests comes from the engine with each call, so the error of a lost
// announcement ends when the requests before it are no longer among the newest.
std::uint64_t AnnouncedSizes::waitingTokens(std::uint32_t waiting) const
{
    std::uint64_t waitingSum = 0;
    std::uint64_t waitingKnown = 0;
    std::uint64_t sum = 0;
    std::uint64_t known = 0;
    std::uint32_t position = 0;
    for (auto it = mTokens.rbegin(); it != mTokens.rend(); ++it, ++position) {
        const std::uint64_t one = *it > 0 ? 1 : 0;
        sum += *it;
        known += one;
        if (position < waiting) {
            waitingSum += *it;
            waitingKnown += one;
        }
    }
    if (known == 0 || waiting == 0) {
        return 0;
    }
    const double mean = static_cast<double>(sum) / static_cast<double>(known);
    const auto unknown = static_cast<double>(waiting - waitingKnown);
    return waitingSum + static_cast<std::uint64_t>(std::llround(unknown * mean));
}

} // namespace Loom
