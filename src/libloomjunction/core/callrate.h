/*
 * callrate.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <map>

namespace Loom {

/** What this process was asked for one service of late, halved with each second. */
class CallRate
{
public:
    void note(Milliseconds goal, Instant now);
    /** Calls a millisecond. */
    double perMs(Instant now) const;
    /** The shortest goal that a fair part of the calls has; the greatest time where none was. */
    Milliseconds shortestGoal() const;

private:
    double mCount = 0;
    std::map<Milliseconds, double> mCountByGoal;
    Instant mAt; ///< of the last call
};

} // namespace Loom
