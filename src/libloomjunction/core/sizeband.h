/*
 * sizeband.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstdint>
#include <string_view>

namespace Loom {

/** Size of a request's prompt, relative to the configured mean of its service. */
enum class SizeBand : std::uint8_t
{
    Unknown,
    UpToMean,
    UpToOneAndAHalf, ///< up to 1.5 means
    UpToTwo,
    UpToThree,
    UpToFour,
    UpToSix,
    Larger,
};

/** The band of a prompt of @p promptTokens; zero: unknown. */
SizeBand sizeBand(double promptTokens, double meanPromptTokens);

/** As text for logs and labels of metrics. */
std::string_view sizeBandName(SizeBand band);

} // namespace Loom
