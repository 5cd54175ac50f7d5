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

/** Limits retries to a percentage of the requests, so that they cannot amplify a failure. */
class RetryBudget
{
public:
    explicit RetryBudget(std::uint32_t percent)
        : mPercent(percent)
    {
    }

    void setPercent(std::uint32_t percent) { mPercent = percent; }
    void noteRequest();
    /** Consumes one retry; returns false if the budget is exhausted. */
    bool take();

private:
    // The balance is kept in hundredths of a retry, so that percentages add up exactly.
    static constexpr std::uint32_t sOneRetry = 100;
    static constexpr std::uint32_t sMaxSaved = 20 * sOneRetry;

    std::uint32_t mPercent;
    std::uint32_t mSaved = sMaxSaved;
};

} // namespace Loom
