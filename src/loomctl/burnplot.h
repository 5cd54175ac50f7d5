/*
 * burnplot.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomctl).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "burnreport.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace Loom {

/** One series over all windows, merged from the entries that answered. */
struct MergedBurn
{
    std::int64_t targetPerMille = 999;
    std::array<BurnWindow, sBurnWindows.size()> windows{};
};

/** An SVG picture: a bar for each window of each series, gaps in coverage hatched. */
std::string burnPlot(const std::map<BurnSeries, MergedBurn> &merged);

} // namespace Loom
