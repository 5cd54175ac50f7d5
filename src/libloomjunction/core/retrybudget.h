/*
 * retrybudget.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstdint>

namespace Loom {

/** Bounds retries to a part of the requests, so that they cannot feed a failure. */
class RetryBudget
{
public:
    explicit RetryBudget(std::uint32_t percent)
        : mPercent(percent)
    {
    }

    void setPercent(std::uint32_t percent) { mPercent = percent; }
    void noteRequest();
    /** Takes one retry; false when the budget is spent. */
    bool take();

private:
    // In hundredths of a retry, so that percents add up exactly.
    static constexpr std::uint32_t sOneRetry = 100;
    static constexpr std::uint32_t sMaxSaved = 20 * sOneRetry;

    std::uint32_t mPercent;
    std::uint32_t mSaved = sMaxSaved;
};

} // namespace Loom
