/*
 * joinedtext.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "joinedtext.h"

namespace Loom {

std::string joinedText(std::span<const std::string> texts, std::string_view separator)
{
    std::string joined;
    for (std::size_t index = 0; index < texts.size(); ++index) {
        joined += index == 0 ? std::string_view() : separator;
        joined += texts[index];
    }
    return joined;
}

} // namespace Loom
