/*
 * joinedtext.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <span>
#include <string>
#include <string_view>

namespace Loom {

/** Returns all @p texts in their order, with @p separator between them. */
std::string joinedText(std::span<const std::string> texts, std::string_view separator);

} // namespace Loom
