/*
 * eventsplitter.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "eventsplitter.h"

#include <charconv>

namespace Loom {

namespace {

constexpr std::string_view sEventEnd = "\n\n";
constexpr std::string_view sEventEndCrLf = "\r\n\r\n";
constexpr std::string_view sIdField = "id:";

std::optional<std::uint64_t> eventId(std::string_view text)
{
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        std::string_view line = text.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(sIdField)) {
            continue;
        }
        line.remove_prefix(sIdField.size());
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::uint64_t id = 0;
        const auto [last, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (error == std::errc()) {
            return id;
        }
    }
    return std::nullopt;
}

// Returns the length of the first complete event in @p text, or zero.
std::size_t firstEventSize(std::string_view text)
{
    const std::size_t lfEnd = text.find(sEventEnd);
    const std::size_t crLfEnd = text.find(sEventEndCrLf);
    if (lfEnd == std::string_view::npos && crLfEnd == std::string_view::npos) {
        return 0;
    }
    if (crLfEnd < lfEnd) {
        return crLfEnd + sEventEndCrLf.size();
    }
    return lfEnd + sEventEnd.size();
}

} // namespace

std::vector<StreamEvent> EventSplitter::feed(std::string_view bytes)
{
    std::vector<StreamEvent> events;
    mPending += bytes;
    std::size_t begin = 0;
    while (const std::size_t size = firstEventSize(std::string_view(mPending).substr(begin))) {
        std::string text = mPending.substr(begin, size);
        const auto id = eventId(text);
        events.push_back({std::move(text), id});
        begin += size;
    }
    mPending.erase(0, begin);
    return events;
}

} // namespace Loom
