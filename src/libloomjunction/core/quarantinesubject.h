/*
 * quarantinesubject.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "requestdigest.h"

#include <compare>
#include <string>
#include <string_view>
#include <variant>

#include <tl/expected.hpp>

namespace Loom {

/** A part of a prompt that requests to one service share. */
struct PromptPart
{
    std::string service;
    std::string id; ///< lower-case hexadecimal digits, as callers send them

    auto operator<=>(const PromptPart &) const = default;
};

/** What may crash replicas: one request, or all requests that have something in common. */
using QuarantineSubject = std::variant<RequestDigest, PromptPart>;

/** Identifies @p subject between gateways, in the store and in logs; never empty. */
std::string subjectText(const QuarantineSubject &subject);
/** Parses the result of subjectText(); the error describes the expected format. */
tl::expected<QuarantineSubject, std::string> parseSubject(std::string_view text);

/** Whether @p text is a valid PromptPart::id. */
bool isPromptPartId(std::string_view text);

} // namespace Loom
