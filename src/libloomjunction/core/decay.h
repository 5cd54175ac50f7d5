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

/** What is left of a count after @p time, where half of it is left after @p halfLifeMs. */
inline double decayFactor(Microseconds elapsed, double halfLifeMs)
{
    return std::exp2(-std::chrono::duration<double, std::milli>(elapsed).count() / halfLifeMs);
}

} // namespace Loom
