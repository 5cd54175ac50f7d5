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

/** What is left of a count after @p time, where half of it is left after @p halfMs. */
inline double keptAfter(Microseconds time, double halfMs)
{
    return std::exp2(-std::chrono::duration<double, std::milli>(time).count() / halfMs);
}

} // namespace Loom
