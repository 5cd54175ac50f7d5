/*
 * answerlimits.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Loom {

/** Limits on what a server may send before it counts as sending bytes without end. */
struct AnswerLimits
{
    std::size_t headBytes = std::size_t{16} * 1024; ///< of all heads of an answer together
    std::size_t eventBytes = std::size_t{64} * 1024; ///< of an event of a stream
    std::size_t refusalBytes = std::size_t{16} * 1024; ///< of the body of a refusal
    std::size_t bodyBytes = std::size_t{16} * 1024 * 1024; ///< of an answer that is kept whole
    /** Of all answers that are kept whole at the same time. */
    std::size_t heldBytes = std::size_t{24} * 1024 * 1024;
    /** Time from the first byte of a head or event after which further bytes must complete it. */
    std::chrono::milliseconds unfinished{1'000};

    bool operator==(const AnswerLimits &) const = default;
};

/** The part of an answer in which a server sent bytes without end. */
enum class EndlessPart : std::uint8_t
{
    Nothing,
    Head,
    InterimHeads, ///< heads such as 100 that precede the one that counts
    Framing, ///< sizes and extensions of chunks
    SurplusBody, ///< body of an answer to another request
    RefusalBody,
    Event,
    Body,
};
std::string_view endlessPartName(EndlessPart part);

} // namespace Loom
