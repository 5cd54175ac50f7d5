/*
 * exponentialtimeout.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

namespace Loom {

/**
 * Timeout of the next try of a call. It doubles after each try that timed out, up to a
 * maximum, and returns to the minimum after a success.
 */
class ExponentialTimeout
{
public:
    ExponentialTimeout(Milliseconds minimum, Milliseconds maximum);

    Milliseconds current() const { return mCurrent; }
    void noteTimeout();
    void noteSuccess() { mCurrent = mMinimum; }

private:
    Milliseconds mMinimum;
    Milliseconds mMaximum;
    Milliseconds mCurrent;
};

} // namespace Loom
