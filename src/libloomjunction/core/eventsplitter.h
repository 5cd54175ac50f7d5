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

/** One complete event of a text/event-stream, including the blank line that ends it. */
struct StreamEvent
{
    std::string text;
    std::optional<std::uint64_t> id;
    bool hasData = false; ///< has a data field; comments alone have none
};

/** Splits the bytes of one event stream into complete events. */
class EventSplitter
{
public:
    /** Appends received bytes and returns the events that they complete. */
    std::vector<StreamEvent> feed(std::string_view bytes);
    /** Number of buffered bytes of an incomplete event. */
    std::size_t pending() const { return mPending.size(); }

private:
    std::string mPending;
    std::size_t mSearched = 0; ///< bytes of mPending that are known not to end an event
};

} // namespace Loom
