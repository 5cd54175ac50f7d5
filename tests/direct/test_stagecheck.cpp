/*
 * test_stagecheck.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "stagecheck.h"

using namespace Loom;

namespace {

constexpr Milliseconds sMaxAge{1'000};

Instant at(int milliseconds)
{
    return Instant(Milliseconds(10'000 + milliseconds));
}

} // namespace

BOOST_AUTO_TEST_CASE(check_holds_only_if_every_chunk_was_intact)
{
    StageCheck check(3);
    check.noteIntact(0, at(0));
    check.noteIntact(2, at(20));
    BOOST_TEST(!check.oldestRead().has_value());
    BOOST_TEST(!check.holdsAt(at(20), sMaxAge));
    check.noteIntact(1, at(30));
    BOOST_TEST(check.holdsAt(at(30), sMaxAge));
    check.noteCorrupt(2);
    BOOST_TEST(!check.holdsAt(at(30), sMaxAge));
}

// The age counts from the chunk that was read first, not from the end of the check.
BOOST_AUTO_TEST_CASE(check_is_as_old_as_its_oldest_chunk)
{
    StageCheck check(2);
    check.noteIntact(0, at(0));
    check.noteIntact(1, at(900));
    BOOST_TEST(check.holdsAt(at(1'000), sMaxAge));
    BOOST_TEST(!check.holdsAt(at(1'001), sMaxAge));
    BOOST_TEST(check.chunksReadBefore(at(500)) == std::vector<std::uint32_t>{0},
               boost::test_tools::per_element());
    check.noteIntact(0, at(1'001));
    BOOST_TEST(check.holdsAt(at(1'900), sMaxAge));
}

BOOST_AUTO_TEST_CASE(check_of_no_chunks_proves_nothing)
{
    BOOST_TEST(!StageCheck(0).holdsAt(at(0), sMaxAge));
}
