/*
 * test_sentrecords.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "sentrecords.h"

using namespace Loom;

namespace {

FeedRecord recordAt(std::uint64_t era, std::uint64_t offset)
{
    return {"k", "value", offset, era};
}

FeedRecord removalAt(std::uint64_t era, std::uint64_t offset)
{
    return {"k", std::nullopt, offset, era};
}

} // namespace

BOOST_AUTO_TEST_CASE(follower_holds_what_stands_before_its_end_and_what_was_sent)
{
    SentRecords sent({1, 5});
    BOOST_TEST(sent.holds(recordAt(1, 4), {}));
    BOOST_TEST(!sent.holds(recordAt(1, 5), {}));
    // A full read may have given a removal the offset of the last record before its end.
    BOOST_TEST(sent.holds(removalAt(1, 3), {}));
    BOOST_TEST(!sent.holds(removalAt(1, 4), {}));
    sent.noteSent(recordAt(1, 5));
    BOOST_TEST(sent.holds(recordAt(1, 5), {}));
    BOOST_TEST(!sent.holds(removalAt(1, 5), {}));
}

// Guards against a follower that is sent nothing because it knows higher offsets of another era.
BOOST_AUTO_TEST_CASE(records_of_another_era_are_not_held)
{
    SentRecords sent({1, 9});
    BOOST_TEST(!sent.holds(recordAt(2, 3), {}));
    // It may have read an older value from the copy than the one that outlasted it.
    SentRecords later({2, 9});
    BOOST_TEST(!later.holds(recordAt(1, 3), {}));
}

BOOST_AUTO_TEST_CASE(value_that_moved_into_a_new_era_is_held_if_it_was_before)
{
    SentRecords sent({1, 9});
    BOOST_TEST(sent.holds(recordAt(2, 3), LogPosition{1, 4}));
    BOOST_TEST(!sent.holds(recordAt(2, 3), LogPosition{1, 9}));
    sent.noteSent(recordAt(1, 9));
    BOOST_TEST(sent.holds(recordAt(2, 3), LogPosition{1, 9}));
    sent.clear();
    BOOST_TEST(!sent.holds(recordAt(2, 3), LogPosition{1, 4}));
}
