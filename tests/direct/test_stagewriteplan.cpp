/*
 * test_stagewriteplan.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "stagewriteplan.h"

#include <algorithm>

using namespace Loom;

namespace {

std::vector<bool> stored(std::size_t count, std::size_t total = 8)
{
    std::vector<bool> has(total);
    std::fill_n(has.begin(), count, true);
    return has;
}

/** Writes until nothing is left to write; returns the digests in the order of writing. */
std::string writeAll(StageWritePlan &plan, const std::vector<StageCandidate> &candidates)
{
    std::string written;
    while (const auto write = plan.next(candidates, false)) {
        plan.noteHeld(write->digest, write->index);
        written += write->digest;
        BOOST_REQUIRE(written.size() < 100);
    }
    return written;
}

} // namespace

BOOST_AUTO_TEST_CASE(each_stored_chunk_is_written_once)
{
    StageWritePlan plan;
    const std::vector<bool> has = stored(3);
    BOOST_TEST(writeAll(plan, {{"a", has}}) == "aaa");
    BOOST_TEST(plan.holds("a", 2));
    BOOST_TEST(!plan.holds("a", 3));
    BOOST_TEST(!plan.next({}, false).has_value());
}

BOOST_AUTO_TEST_CASE(nothing_is_written_while_the_stage_is_in_use)
{
    StageWritePlan plan;
    const std::vector<bool> has = stored(3);
    const std::vector<StageCandidate> candidates{{"a", has}};
    BOOST_TEST(!plan.next(candidates, true).has_value());
    BOOST_TEST(plan.next(candidates, false).has_value());
}

// Guards against overwriting the chunks of an earlier process before they were adopted.
BOOST_AUTO_TEST_CASE(nothing_is_written_before_the_stage_was_searched)
{
    StageWritePlan plan;
    const std::vector<bool> has = stored(3);
    const std::vector<bool> more = stored(4);
    BOOST_TEST(
        !plan.next(std::vector<StageCandidate>{{"a", has, false}, {"b", more}}, false).has_value());
}

// Guards against losing the version that is due first: its load needs the whole stage.
BOOST_AUTO_TEST_CASE(a_complete_version_keeps_the_stage_until_it_is_loaded)
{
    StageWritePlan plan;
    const std::vector<bool> whole = stored(8);
    const std::vector<bool> newer = stored(5);
    BOOST_TEST(writeAll(plan, {{"a", whole}, {"b", newer}}) == "aaaaaaaa");
    BOOST_TEST(writeAll(plan, {{"b", newer}}) == "bbbbb");
}

// Guards against a load that waits for a newer version which is almost complete: the older one
// became complete after it had lost the stage.
BOOST_AUTO_TEST_CASE(a_version_that_becomes_complete_takes_the_stage)
{
    StageWritePlan plan;
    const std::vector<bool> two = stored(2);
    const std::vector<bool> seven = stored(7);
    const std::vector<bool> whole = stored(8);
    BOOST_TEST(writeAll(plan, {{"a", two}, {"b", seven}}) == "bbbbbbb");
    BOOST_TEST(writeAll(plan, {{"a", whole}, {"b", seven}}) == "aaaaaaaa");
}

BOOST_AUTO_TEST_CASE(the_older_of_two_fetched_versions_is_written_first)
{
    StageWritePlan plan;
    const std::vector<bool> older = stored(3);
    const std::vector<bool> newer = stored(4);
    BOOST_TEST(writeAll(plan, {{"a", older}, {"b", newer}}) == "aaa");
}

// Guards against two versions that overwrite each other's chunks again and again.
BOOST_AUTO_TEST_CASE(a_version_takes_the_stage_only_if_it_is_well_ahead)
{
    StageWritePlan plan;
    const std::vector<bool> two = stored(2);
    const std::vector<bool> three = stored(3);
    const std::vector<bool> four = stored(4);
    const std::vector<bool> five = stored(5);
    BOOST_TEST(writeAll(plan, {{"a", two}, {"b", three}}) == "aa");
    BOOST_TEST(writeAll(plan, {{"a", two}, {"b", four}}) == "bbbb");
    BOOST_TEST(writeAll(plan, {{"a", five}, {"b", four}}).empty());
}

BOOST_AUTO_TEST_CASE(chunks_with_unknown_contents_are_written_again)
{
    StageWritePlan plan;
    const std::vector<bool> has = stored(3);
    BOOST_TEST(writeAll(plan, {{"a", has}}) == "aaa");
    plan.forget(1);
    BOOST_TEST(writeAll(plan, {{"a", has}}) == "a");
    plan.clear();
    BOOST_TEST(writeAll(plan, {{"a", has}}) == "aaa");
}
