/*
 * retrydelay.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

namespace Loom {

inline constexpr Milliseconds sMinRetryDelay{100};
inline constexpr Milliseconds sMaxRetryDelay{400};

/** A random delay before a source of records is tried again. */
Milliseconds retryDelay();

} // namespace Loom
