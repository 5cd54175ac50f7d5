/*
 * growingtimeout.h
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
class GrowingTimeout
{
public:
    GrowingTimeout(Milliseconds least, Milliseconds most);

    Milliseconds current() const { return mCurrent; }
    void noteTimedOut();
    void noteDone() { mCurrent = mLeast; }

private:
    Milliseconds mLeast;
    Milliseconds mMost;
    Milliseconds mCurrent;
};

} // namespace Loom
