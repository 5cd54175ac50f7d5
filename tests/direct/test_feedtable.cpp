/*
 * test_feedtable.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE direct
#include <boost/test/unit_test.hpp>

#include "feedtable.h"

using namespace Loom;

namespace {

FeedRecord record(std::string key, std::string value, std::uint64_t offset)
{
    return {std::move(key), std::move(value), offset};
}

} // namespace

BOOST_AUTO_TEST_CASE(older_record_never_replaces_a_newer_one)
{
    FeedTable table;
    BOOST_TEST(table.apply(record("config", "new", 7)));
    BOOST_TEST(!table.apply(record("config", "old", 3)));
    BOOST_TEST(!table.apply(record("config", "same offset", 7)));
    BOOST_TEST(*table.find("config")->value == "new");
}

BOOST_AUTO_TEST_CASE(snapshot_removes_keys_that_it_does_not_hold)
{
    FeedTable table;
    table.apply(record("kept", "a", 1));
    table.apply(record("gone", "b", 2));
    table.apply(record("later", "c", 9));
    BOOST_TEST(!table.apply(record("kept", "a", 1)));
    const auto removed = table.removeAbsent({"kept"}, {0, 5});
    table.setNext({0, 5});
    BOOST_TEST(removed.size() == 1U);
    BOOST_TEST(!removed.at(0).isLost);
    BOOST_TEST(table.find("kept") != nullptr);
    BOOST_TEST(table.find("gone") == nullptr);
    // This record was written after the end of the read, which cannot contain it.
    BOOST_TEST(table.find("later") != nullptr);
    BOOST_TEST(table.nextOffset() == 5U);
}

BOOST_AUTO_TEST_CASE(removal_replaces_a_record_of_the_same_offset)
{
    FeedTable table;
    table.apply(record("r1", "here", 4));
    BOOST_TEST(table.apply({"r1", std::nullopt, 4}));
    BOOST_TEST(table.find("r1") == nullptr);
    BOOST_TEST(!table.apply(record("r1", "here", 4)));
    BOOST_TEST(table.apply(record("r1", "back", 5)));
    BOOST_TEST(table.find("r1") != nullptr);
}

namespace {

FeedRecord recordOf(std::uint64_t era, std::uint64_t offset, std::string value)
{
    return {"k", std::move(value), offset, era};
}

/** Values of one character; a higher one is newer. */
EraRules risingValues(bool keepsMissing)
{
    return {[](const FeedRecord &earlier, const FeedRecord &later) {
                return earlier.value && (!later.value || *earlier.value > *later.value);
            },
            keepsMissing};
}

} // namespace

// Guards against comparing offsets of different eras of the store.
BOOST_AUTO_TEST_CASE(record_of_a_later_era_replaces_one_at_a_higher_offset)
{
    FeedTable table;
    table.apply(recordOf(1, 9, "old"));
    table.setNext({1, 10});
    BOOST_TEST(table.apply(recordOf(2, 3, "new")));
    BOOST_TEST(!table.apply(recordOf(1, 12, "late")));
    BOOST_TEST(*table.find("k")->value == "new");
    table.setNext({2, 4});
    BOOST_TEST((table.next() == LogPosition{2, 4}));
    table.setNext({1, 20});
    BOOST_TEST((table.next() == LogPosition{2, 4}));
}

BOOST_AUTO_TEST_CASE(record_that_outlasts_the_copy_stays_until_it_is_written_again)
{
    FeedTable table;
    table.setEraRules(risingValues(true));
    table.apply(recordOf(1, 9, "c"));
    BOOST_TEST(!table.apply(recordOf(2, 3, "b")));
    BOOST_TEST(*table.find("k")->value == "c");
    // The same value is no change, but takes the new position.
    BOOST_TEST(!table.apply(recordOf(2, 4, "c")));
    BOOST_TEST((table.find("k")->position() == LogPosition{2, 4}));
    BOOST_TEST((table.movedFrom("k") == LogPosition{1, 9}));
    BOOST_TEST(table.apply(recordOf(2, 5, "d")));
    BOOST_TEST(!table.movedFrom("k").has_value());
}

// A process that starts after the return may read the copy first and receive the outlasting
// record from another process later.
BOOST_AUTO_TEST_CASE(outlasting_record_replaces_the_older_one_of_the_copy)
{
    FeedTable table;
    table.setEraRules(risingValues(true));
    table.apply(recordOf(2, 3, "b"));
    BOOST_TEST(table.apply(recordOf(1, 9, "c")));
    BOOST_TEST(!table.apply(recordOf(1, 8, "a")));
    BOOST_TEST(*table.find("k")->value == "c");
}

BOOST_AUTO_TEST_CASE(record_that_the_copy_lacks_is_kept_or_removed_by_the_rules)
{
    FeedTable kept;
    kept.setEraRules(risingValues(true));
    kept.apply(recordOf(1, 9, "c"));
    BOOST_TEST(kept.removeAbsent({}, {2, 5}).empty());
    kept.setNext({2, 5});
    BOOST_TEST(kept.missing().contains("k"));
    kept.apply(recordOf(2, 5, "c"));
    BOOST_TEST(!kept.missing().contains("k"));
    // Within an era, a missing record has been removed.
    BOOST_TEST(kept.removeAbsent({}, {2, 8}).size() == 1U);
    BOOST_TEST(kept.find("k") == nullptr);

    FeedTable removed;
    removed.apply(recordOf(1, 9, "lost"));
    const auto lost = removed.removeAbsent({}, {2, 5});
    BOOST_TEST(lost.size() == 1U);
    BOOST_TEST(lost.at(0).isLost);
    removed.apply(recordOf(2, 6, "again"));
    BOOST_TEST(removed.find("k") != nullptr);
    // A record before the end of the copy has been removed, not lost.
    BOOST_TEST(!removed.removeAbsent({}, {3, 20}).at(0).isLost);
}

// Guards against a record that counts as lost for good, although the store holds it again: an
// evacuation ended after five seconds at followers of the gateway that read it.
BOOST_AUTO_TEST_CASE(missing_record_counts_as_present_once_it_moved_or_a_later_copy_holds_it)
{
    FeedTable relayed;
    relayed.setEraRules(risingValues(true));
    relayed.apply(recordOf(1, 9, "c"));
    relayed.removeAbsent({}, {2, 5});
    relayed.setNext({2, 5});
    BOOST_TEST(relayed.missing().contains("k"));
    BOOST_TEST(relayed.move("k", {1, 9}));
    BOOST_TEST(relayed.missing().contains("k"));
    BOOST_TEST(relayed.move("k", {2, 6}));
    BOOST_TEST(!relayed.missing().contains("k"));

    FeedTable reader;
    reader.setEraRules(risingValues(true));
    reader.apply(recordOf(1, 9, "c"));
    reader.removeAbsent({}, {2, 5});
    reader.setNext({2, 5});
    reader.apply(recordOf(3, 5, "c"));
    BOOST_TEST(!reader.missing().contains("k"));
}

BOOST_AUTO_TEST_CASE(first_record_of_an_empty_log_replaces_a_removal_found_there)
{
    FeedTable table;
    table.apply(recordOf(1, 9, "c"));
    BOOST_TEST(table.removeAbsent({}, {2, 0}).size() == 1U);
    const FeedRecord first = recordOf(2, 0, "d");
    BOOST_TEST(table.isRevival(first));
    BOOST_TEST(table.apply(first));
    BOOST_TEST(*table.find("k")->value == "d");
}
