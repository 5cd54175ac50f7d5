/*
 * eventsplitter.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** One whole event of a text/event-stream, with the blank line that ends it. */
struct StreamEvent
{
    std::string text;
    std::optional<std::uint64_t> id;
};

/** Cuts the bytes of an event stream into whole events. One run of one stream. */
class EventSplitter
{
public:
    /** Takes bytes as they come and gives the events that they complete. */
    std::vector<StreamEvent> feed(std::string_view bytes);
    /** Bytes of an event that is not whole yet. */
    std::size_t pending() const { return mPending.size(); }

private:
    std::string mPending;
};

} // namespace Loom
