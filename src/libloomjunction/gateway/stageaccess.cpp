/*
 * stageaccess.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "stageaccess.h"

#include "instant.h"

namespace Loom {

namespace {

constexpr Milliseconds sWritePollInterval{5};

} // namespace

// Each write ends within the time limit of its request.
awaitable<StageAccess::Use> StageAccess::acquire()
{
    Use use = mUse;
    while (mIsWriteOpen && !mStopped) {
        co_await sleepFor(sWritePollInterval);
    }
    co_return use;
}

} // namespace Loom
