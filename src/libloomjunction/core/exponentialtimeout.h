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
 * How long the next try of a call may take: twice as long after each one that ran
 * out of time, as before after one that succeeded.
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
