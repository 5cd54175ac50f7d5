/*
 * answerhead.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "answerhead.h"

#include <algorithm>

#include <boost/beast/core/string.hpp>

namespace Loom {

namespace {

constexpr int sMinStatus = 100;
constexpr int sMinFinalStatus = 200;
constexpr int sMaxStatus = 599;
constexpr int sSwitchingProtocols = 101;
constexpr std::string_view sHeadEnd = "\r\n\r\n";

bool isNamed(const HttpHeader &header, std::string_view name)
{
    return boost::beast::iequals(header.name, name);
}

// No request asks for another coding, and the body could not be decoded.
bool isCodingUnknown(std::span<const HttpHeader> headers)
{
    const auto isCoding
        = [](const HttpHeader &header) { return isNamed(header, "Transfer-Encoding"); };
    const auto count = std::ranges::count_if(headers, isCoding);
    if (count == 0) {
        return false;
    }
    const bool isChunked
        = boost::beast::iequals(std::ranges::find_if(headers, isCoding)->value, "chunked");
    const bool hasLength = std::ranges::any_of(
        headers, [](const HttpHeader &header) { return isNamed(header, "Content-Length"); });
    return count > 1 || !isChunked || hasLength;
}

} // namespace

std::string_view answerFaultName(AnswerFault fault)
{
    switch (fault) {
    case AnswerFault::Status:
        return "status";
    case AnswerFault::Upgrade:
        return "upgrade";
    case AnswerFault::TransferCoding:
        return "transfer coding";
    case AnswerFault::FoldedLine:
        return "folded line";
    }
    return "unknown";
}

bool isInterimStatus(int status)
{
    return status >= sMinStatus && status < sMinFinalStatus;
}

std::optional<AnswerFault> findAnswerFault(int status, std::span<const HttpHeader> headers)
{
    if (status < sMinStatus || status > sMaxStatus) {
        return AnswerFault::Status;
    }
    if (status == sSwitchingProtocols) {
        return AnswerFault::Upgrade;
    }
    if (isCodingUnknown(headers)) {
        return AnswerFault::TransferCoding;
    }
    return std::nullopt;
}

std::optional<std::size_t> headLength(std::string_view bytes)
{
    const std::size_t end = bytes.find(sHeadEnd);
    return end == std::string_view::npos ? std::nullopt : std::optional(end + sHeadEnd.size());
}

bool hasFoldedLine(std::string_view head)
{
    return head.find("\n ") != std::string_view::npos
        || head.find("\n\t") != std::string_view::npos;
}

} // namespace Loom
