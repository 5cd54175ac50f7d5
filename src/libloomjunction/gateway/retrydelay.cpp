/*
 * retrydelay.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "retrydelay.h"

#include <random>

namespace Loom {

Milliseconds retryDelay()
{
    static std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<std::int64_t> spread(sMinRetryDelay.count(),
                                                       sMaxRetryDelay.count());
    return Milliseconds(spread(random));
}

} // namespace Loom
