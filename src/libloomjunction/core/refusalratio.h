/*
 * refusalratio.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

namespace Loom {

/**
 * Recent ratio of refused calls among those that could have met their goals. It tells
 * whether waiting callers would use a slot that becomes free.
 */
class RefusalRatio
{
public:
    /** Counts a call that could meet its goal; @p hasRoom: a replica was found for it. */
    void note(bool hasRoom, Instant now);
    /** The ratio at @p now, from 0 to 1. */
    double ratio(Instant now) const;

private:
    double mCalls = 0; ///< decayed count
    double mRefused = 0; ///< decayed count
    Instant mAt; ///< time of the last call
};

} // namespace Loom
