/*
 * loopstep.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "loopstep.h"

#include "clock.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Loom {

namespace {

LoopStep *sInnermost = nullptr;
// Since the last look; as many as there are names, which are literals.
std::vector<LoopStepTime> sTimes;

void addTime(std::string_view name, Microseconds took)
{
    const auto known = std::ranges::find(sTimes, name, &LoopStepTime::name);
    if (known != sTimes.end()) {
        known->took += took;
        return;
    }
    sTimes.push_back({name, took});
}

} // namespace

LoopStep::LoopStep(std::string_view name)
    : mName(name)
    , mBegan(now())
    , mOuter(std::exchange(sInnermost, this))
{
}

LoopStep::~LoopStep()
{
    const Microseconds took = now() - mBegan;
    addTime(mName, took - mWithin);
    if (mOuter != nullptr) {
        mOuter->mWithin += took;
    }
    sInnermost = mOuter;
}

LoopStepTime LoopStep::takeLongest()
{
    LoopStepTime longest;
    for (const LoopStepTime &one : sTimes) {
        if (one.took > longest.took) {
            longest = one;
        }
    }
    sTimes.clear();
    return longest;
}

} // namespace Loom
