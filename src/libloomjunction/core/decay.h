/*
 * decay.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cmath>

namespace Loom {

/** Factor of exponential decay over @p elapsed, with a half-life of @p halfLifeMs. */
inline double decayFactor(Microseconds elapsed, double halfLifeMs)
{
    return std::exp2(-std::chrono::duration<double, std::milli>(elapsed).count() / halfLifeMs);
}

} // namespace Loom
