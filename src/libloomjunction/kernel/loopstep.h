/*
 * loopstep.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <string_view>

namespace Loom {

/** A named step and the time it took. */
struct LoopStepTime
{
    std::string_view name; ///< empty: no step
    Microseconds took{0};
};

/**
 * Names what the event loop does as long as it lives. For steps that may take
 * long; costs two reads of the clock. On the loop's thread only, and never
 * across a suspension.
 */
class LoopStep
{
public:
    /** @p name: a literal. */
    explicit LoopStep(std::string_view name);
    ~LoopStep();
    LoopStep(const LoopStep &) = delete;
    LoopStep &operator=(const LoopStep &) = delete;

    /** The name that took most time since the last call, steps within it left out. */
    static LoopStepTime takeLongest();

private:
    std::string_view mName;
    Instant mBegan;
    LoopStep *mOuter; ///< the step in which this one runs
    Microseconds mWithin{0}; ///< taken by steps within this one
};

} // namespace Loom
