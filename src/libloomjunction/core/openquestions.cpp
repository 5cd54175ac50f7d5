/*
 * openquestions.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "openquestions.h"

namespace Loom {

std::optional<Instant> OpenQuestions::answered()
{
    if (mOpen.empty()) {
        return std::nullopt;
    }
    mHeard = mOpen.front();
    mOpen.pop_front();
    return mHeard;
}

} // namespace Loom
