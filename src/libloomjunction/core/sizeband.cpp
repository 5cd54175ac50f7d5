/*
 * sizeband.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "sizeband.h"

#include <algorithm>
#include <array>

namespace Loom {

namespace {

struct UpperEdge
{
    double means = 0;
    SizeBand band = SizeBand::Unknown;
    std::string_view name;
};

constexpr std::array sUpperEdges{
    UpperEdge{1, SizeBand::UpToMean, "up to 1"},
    UpperEdge{1.5, SizeBand::UpToOneAndAHalf, "up to 1.5"},
    UpperEdge{2, SizeBand::UpToTwo, "up to 2"},
    UpperEdge{3, SizeBand::UpToThree, "up to 3"},
    UpperEdge{4, SizeBand::UpToFour, "up to 4"},
    UpperEdge{6, SizeBand::UpToSix, "up to 6"},
};

} // namespace

SizeBand sizeBand(double promptTokens, double meanPromptTokens)
{
    if (promptTokens <= 0 || meanPromptTokens <= 0) {
        return SizeBand::Unknown;
    }
    const auto *edge = std::ranges::lower_bound(sUpperEdges, promptTokens / meanPromptTokens, {},
                                                &UpperEdge::means);
    return edge == sUpperEdges.end() ? SizeBand::Larger : edge->band;
}

std::string_view sizeBandName(SizeBand band)
{
    const auto *edge = std::ranges::find(sUpperEdges, band, &UpperEdge::band);
    if (edge != sUpperEdges.end()) {
        return edge->name;
    }
    return band == SizeBand::Larger ? "over 6" : "unknown";
}

} // namespace Loom
