/*
 * quarantinerecord.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "quarantine.h"

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace Loom {

/** Serializes an entry for the store, where times are of the wall clock. */
std::string quarantineRecord(const QuarantineEntry &entry, Instant now, WallMilliseconds wallNow);

/** Parses the record of @p subject; the error states the invalid field. */
tl::expected<QuarantineEntry, std::string> readQuarantineRecord(std::string_view subject,
                                                                std::string_view value, Instant now,
                                                                WallMilliseconds wallNow);

} // namespace Loom
