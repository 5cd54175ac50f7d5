/*
 * quarantinesubject.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "quarantinesubject.h"

#include "overload.h"

namespace Loom {

namespace {

constexpr std::string_view sPartPrefix = "part/";
constexpr std::size_t sMaxPartIdLength = 64;
constexpr std::size_t sMaxServiceLength = 200;
constexpr std::string_view sHexDigits = "0123456789abcdef";

} // namespace

std::string subjectText(const QuarantineSubject &subject)
{
    return std::visit(Overload{
                          [](const RequestDigest &digest) { return digest.text(); },
                          [](const PromptPart &part) {
                              return std::string(sPartPrefix) + part.id + "/" + part.service;
                          },
                      },
                      subject);
}

tl::expected<QuarantineSubject, std::string> parseSubject(std::string_view text)
{
    if (!text.starts_with(sPartPrefix)) {
        return RequestDigest::parse(text).map(
            [](RequestDigest digest) { return QuarantineSubject(std::move(digest)); });
    }
    text.remove_prefix(sPartPrefix.size());
    const std::size_t slash = std::min(text.find('/'), text.size());
    const std::string_view id = text.substr(0, slash);
    const std::string_view service = text.substr(std::min(slash + 1, text.size()));
    if (!isPromptPartId(id) || service.empty() || service.size() > sMaxServiceLength) {
        return tl::unexpected(std::string("expected part/ID/SERVICE with a hexadecimal ID"));
    }
    return QuarantineSubject(PromptPart{std::string(service), std::string(id)});
}

bool isPromptPartId(std::string_view text)
{
    return !text.empty() && text.size() <= sMaxPartIdLength
        && text.find_first_not_of(sHexDigits) == std::string_view::npos;
}

} // namespace Loom
