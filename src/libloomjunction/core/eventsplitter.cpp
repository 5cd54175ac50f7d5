/*
 * eventsplitter.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "eventsplitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Loom {

namespace {

constexpr std::string_view sEventEnd = "\n\n";
constexpr std::string_view sEventEndCrLf = "\r\n\r\n";
constexpr std::string_view sIdField = "id:";
constexpr std::string_view sDataField = "data";

std::optional<std::uint64_t> idOfLine(std::string_view line)
{
    line.remove_prefix(sIdField.size());
    while (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto [last, error] = std::from_chars(line.data(), line.data() + line.size(), id);
    return error == std::errc() ? std::optional(id) : std::nullopt;
}

StreamEvent parseEvent(std::string text)
{
    StreamEvent event;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        const std::string_view line = std::string_view(text).substr(begin, end - begin);
        begin = end + 1;
        if (line.starts_with(sIdField) && !event.id) {
            event.id = idOfLine(line);
        }
        event.hasData = event.hasData || line.starts_with(sDataField);
    }
    event.text = std::move(text);
    return event;
}

// Returns the position after the first end of an event in @p text, searched from @p from on; npos
// if there is none.
std::size_t firstEventEnd(std::string_view text, std::size_t from)
{
    const std::size_t lfEnd = text.find(sEventEnd, from);
    const std::size_t crLfEnd = text.substr(0, lfEnd).find(sEventEndCrLf, from);
    if (crLfEnd != std::string_view::npos) {
        return crLfEnd + sEventEndCrLf.size();
    }
    return lfEnd == std::string_view::npos ? lfEnd : lfEnd + sEventEnd.size();
}

} // namespace

// Each byte is searched about once, however long an event gets.
std::vector<StreamEvent> EventSplitter::feed(std::string_view bytes)
{
    std::vector<StreamEvent> events;
    mPending += bytes;
    std::size_t begin = 0;
    std::size_t end = firstEventEnd(mPending, mSearched);
    while (end != std::string_view::npos) {
        events.push_back(parseEvent(mPending.substr(begin, end - begin)));
        begin = end;
        end = firstEventEnd(mPending, begin);
    }
    mPending.erase(0, begin);
    // The end of an event may have begun to arrive.
    mSearched = mPending.size() - std::min(mPending.size(), sEventEndCrLf.size() - 1);
    return events;
}

} // namespace Loom
