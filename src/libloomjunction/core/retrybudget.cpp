/*
 * retrybudget.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "retrybudget.h"

#include <algorithm>

namespace Loom {

void RetryBudget::noteRequest()
{
    mSaved = std::min(sMaxSaved, mSaved + mPercent);
}

bool RetryBudget::take()
{
    if (mPercent == 0 || mSaved < sOneRetry) {
        return false;
    }
    mSaved -= sOneRetry;
    return true;
}

} // namespace Loom
