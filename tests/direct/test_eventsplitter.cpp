/*
 * test_eventsplitter.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "eventsplitter.h"

using namespace Loom;

BOOST_AUTO_TEST_CASE(only_complete_events_are_returned)
{
    EventSplitter splitter;
    BOOST_TEST(splitter.feed("id: 1\ndata: a").empty());
    const auto events = splitter.feed("\n\nid: 2\ndata: b\n\nid: 3\nda");
    BOOST_TEST(events.size() == 2U);
    BOOST_TEST(events[0].text == "id: 1\ndata: a\n\n");
    BOOST_TEST(*events[0].id == 1U);
    BOOST_TEST(*events[1].id == 2U);
    BOOST_TEST(splitter.pending() == 8U);
}

BOOST_AUTO_TEST_CASE(event_id_is_found_on_any_line)
{
    EventSplitter splitter;
    const auto events = splitter.feed("versions: 3\ndata: id: 9\nid:12\n\ndata: x\n\n");
    BOOST_TEST(events.size() == 2U);
    BOOST_TEST(*events[0].id == 12U);
    BOOST_TEST(!events[1].id.has_value());
}

BOOST_AUTO_TEST_CASE(crlf_line_ends_terminate_events)
{
    EventSplitter splitter;
    const auto events = splitter.feed("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n");
    BOOST_TEST(events.size() == 2U);
    BOOST_TEST(*events[1].id == 2U);
}

// Guards against searching all of an incomplete event again with each piece of it.
BOOST_AUTO_TEST_CASE(end_of_an_event_is_found_across_pieces)
{
    const std::string stream = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n: ping\n\nid: 3\n\n";
    for (std::size_t pieceSize = 1; pieceSize <= stream.size(); ++pieceSize) {
        EventSplitter splitter;
        std::vector<StreamEvent> events;
        for (std::size_t begin = 0; begin < stream.size(); begin += pieceSize) {
            for (StreamEvent &event : splitter.feed(stream.substr(begin, pieceSize))) {
                events.push_back(std::move(event));
            }
        }
        BOOST_REQUIRE(events.size() == 4U);
        BOOST_TEST(events[0].text == "id: 1\r\ndata: a\r\n\r\n");
        BOOST_TEST(*events[1].id == 2U);
        BOOST_TEST(events[1].hasData);
        BOOST_TEST(!events[2].hasData);
        BOOST_TEST(!events[2].id.has_value());
        BOOST_TEST(*events[3].id == 3U);
        BOOST_TEST(splitter.pending() == 0U);
    }
}
