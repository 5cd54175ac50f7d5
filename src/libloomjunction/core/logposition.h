/*
 * logposition.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <compare>
#include <cstdint>

namespace Loom {

/**
 * Position in a log of a store that may return from a copy. Offsets after the copy are then
 * given out again, and the store raises its era.
 */
struct LogPosition
{
    std::uint64_t era = 0; ///< zero if the store states none
    std::uint64_t offset = 0;

    auto operator<=>(const LogPosition &) const = default;
};

} // namespace Loom
