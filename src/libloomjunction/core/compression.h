/*
 * compression.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace Loom {

/** @p text, compressed (Zstandard). */
std::string compressed(std::string_view text);

/** What was compressed; an error for other bytes, or for more than @p most bytes of text. */
tl::expected<std::string, std::string> decompressed(std::string_view bytes, std::size_t maxSize);

} // namespace Loom
