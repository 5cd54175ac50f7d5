/*
 * answerhead.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "http.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace Loom {

/** Why bytes that can be parsed as the head of an answer are none (RFC 9110, RFC 9112). */
enum class AnswerFault : std::uint8_t
{
    Status, ///< outside 100 to 599
    Upgrade, ///< 101, which no request asks for
    TransferCoding, ///< any but "chunked" alone, or one beside a length
    FoldedLine, ///< a line that begins with a blank, which continues the one before
};
/** Name of @p fault as the label of a metric. */
std::string_view answerFaultName(AnswerFault fault);

/** Whether an answer with @p status precedes the one that counts. */
bool isInterimStatus(int status);

/** Returns what is wrong with the head of an answer; nothing if it is one. */
std::optional<AnswerFault> findAnswerFault(int status, std::span<const HttpHeader> headers);

/** Returns the length of the head at the beginning of @p bytes; nothing if it is not complete. */
std::optional<std::size_t> headLength(std::string_view bytes);
/** Whether a line of @p head begins with a blank; the parsed headers do not show it. */
bool hasFoldedLine(std::string_view head);

} // namespace Loom
