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

/** Returns @p text as a Zstandard frame. */
std::string compressed(std::string_view text);

/**
 * Returns the text of a frame made by compressed(), or an error if @p bytes is no such
 * frame or its text is longer than @p maxSize bytes.
 */
tl::expected<std::string, std::string> decompressed(std::string_view bytes, std::size_t maxSize);

} // namespace Loom
