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
 * Of the calls that could have been answered within their goals, the share that found
 * no room of late. It tells whether a place that turns free is wanted by somebody.
 */
class RefusalRatio
{
public:
    /** A call came that could still be in time; @p hasRoom: it was given a place. */
    void note(bool hasRoom, Instant now);
    /** From 0 to 1. */
    double ratio(Instant now) const;

private:
    double mCalls = 0;
    double mRefused = 0;
    Instant mAt; ///< of the last call
};

} // namespace Loom
