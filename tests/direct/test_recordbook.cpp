/*
 * test_recordbook.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE direct
#include <boost/test/unit_test.hpp>

#include "recordbook.h"

using namespace Loom;

namespace {

FeedRecord record(std::string key, std::string value, std::uint64_t offset)
{
    return {std::move(key), std::move(value), offset};
}

} // namespace

BOOST_AUTO_TEST_CASE(an_older_record_never_replaces_a_newer_one)
{
    RecordBook book;
    BOOST_TEST(book.apply(record("config", "new", 7)));
    BOOST_TEST(!book.apply(record("config", "old", 3)));
    BOOST_TEST(!book.apply(record("config", "same offset", 7)));
    BOOST_TEST(*book.find("config")->value == "new");
}

BOOST_AUTO_TEST_CASE(a_full_read_takes_away_what_it_does_not_hold)
{
    RecordBook book;
    book.apply(record("kept", "a", 1));
    book.apply(record("gone", "b", 2));
    book.apply(record("later", "c", 9));
    const std::vector<FeedRecord> page{record("kept", "a", 1)};
    const auto changed = book.applySnapshot(page, 5);
    BOOST_TEST(changed.size() == 1U);
    BOOST_TEST(book.find("kept") != nullptr);
    BOOST_TEST(book.find("gone") == nullptr);
    // Written behind the end of the read: the read cannot know it.
    BOOST_TEST(book.find("later") != nullptr);
    BOOST_TEST(book.nextOffset() == 5U);
}

BOOST_AUTO_TEST_CASE(a_removal_wins_over_the_record_at_its_own_offset)
{
    RecordBook book;
    book.apply(record("r1", "here", 4));
    BOOST_TEST(book.apply({"r1", std::nullopt, 4}));
    BOOST_TEST(book.find("r1") == nullptr);
    BOOST_TEST(!book.apply(record("r1", "here", 4)));
    BOOST_TEST(book.apply(record("r1", "back", 5)));
    BOOST_TEST(book.find("r1") != nullptr);
}
