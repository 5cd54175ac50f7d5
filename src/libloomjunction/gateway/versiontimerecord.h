/*
 * versiontimerecord.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "weightversiontracker.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace Loom {

/** The boot from which a box's clock counts. */
struct BoxBoot
{
    std::string id; ///< empty if it is unknown
    WallMilliseconds at{0}; ///< by the wall clock, which may jump by seconds
};

/** Serializes times of this box's clock, which are valid until the box boots again. */
std::string versionTimeRecord(std::span<const SupersededVersion> versions, const BoxBoot &boot);

/**
 * Parses a record that a process of this box wrote; empty if the box has booted since, or if its
 * clock has lost time against the wall clock, as that of a virtual machine that was stopped. The
 * error states the invalid field.
 */
tl::expected<std::vector<SupersededVersion>, std::string>
readVersionTimeRecord(std::string_view value, const BoxBoot &boot, Instant now);

} // namespace Loom
