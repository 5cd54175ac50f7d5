/*
 * sizeband.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "sizeband.h"

namespace Loom {

SizeBand sizeBand(double promptTokens, double meanPromptTokens)
{
    if (promptTokens <= 0 || meanPromptTokens <= 0) {
        return SizeBand::Unknown;
    }
    const double means = promptTokens / meanPromptTokens;
    if (means <= 1) {
        return SizeBand::UpToMean;
    }
    if (means <= 1.5) {
        return SizeBand::UpToOneAndAHalf;
    }
    if (means <= 2) {
        return SizeBand::UpToTwo;
    }
    return means <= 3 ? SizeBand::UpToThree : SizeBand::Larger;
}

std::string_view sizeBandName(SizeBand band)
{
    switch (band) {
    case SizeBand::Unknown:
        return "unknown";
    case SizeBand::UpToMean:
        return "up to 1";
    case SizeBand::UpToOneAndAHalf:
        return "up to 1.5";
    case SizeBand::UpToTwo:
        return "up to 2";
    case SizeBand::UpToThree:
        return "up to 3";
    case SizeBand::Larger:
        return "over 3";
    }
    return "unknown";
}

} // namespace Loom
