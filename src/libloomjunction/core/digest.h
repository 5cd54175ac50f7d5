/*
 * digest.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace Loom {

/** Returns the SHA-256 digest of @p data in lower-case hexadecimal. */
std::string sha256Hex(std::span<const std::byte> data);
std::string sha256Hex(std::string_view data);

} // namespace Loom
