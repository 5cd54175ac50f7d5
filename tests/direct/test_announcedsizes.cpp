/*
 * test_announcedsizes.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "announcedsizes.h"

#include <limits>

using namespace Loom;

// Guards against counting requests that the engine has already started.
BOOST_AUTO_TEST_CASE(only_the_newest_waiting_requests_count)
{
    AnnouncedSizes sizes;
    sizes.note(100);
    sizes.note(2'000);
    sizes.note(30);
    BOOST_TEST(sizes.waitingTokens(0) == 0U);
    BOOST_TEST(sizes.waitingTokens(1) == 30U);
    BOOST_TEST(sizes.waitingTokens(2) == 2'030U);
    BOOST_TEST(sizes.waitingTokens(3) == 2'130U);
}

// Guards against an error that remains after announcements were lost: more requests wait than
// were announced, and later the count is right again.
BOOST_AUTO_TEST_CASE(lost_announcements_count_with_the_mean_and_leave_no_error)
{
    AnnouncedSizes sizes;
    sizes.note(100);
    sizes.note(300);
    BOOST_TEST(sizes.waitingTokens(4) == 800U);
    sizes.note(50);
    BOOST_TEST(sizes.waitingTokens(1) == 50U);
}

// Guards against an agent that has restarted and reports the waiting prompts as empty.
BOOST_AUTO_TEST_CASE(agent_that_restarts_knows_no_sizes)
{
    const AnnouncedSizes sizes;
    BOOST_TEST(sizes.waitingTokens(5) == 0U);
}

// Guards against taking the missing field of an earlier gateway for a prompt without tokens.
BOOST_AUTO_TEST_CASE(requests_of_gateways_of_an_earlier_version_count_with_the_mean)
{
    AnnouncedSizes sizes;
    sizes.note(0);
    BOOST_TEST(sizes.waitingTokens(1) == 0U);
    sizes.note(400);
    sizes.note(0);
    BOOST_TEST(sizes.waitingTokens(3) == 1'200U);
}

// Guards against a single absurd size that makes a replica look full.
BOOST_AUTO_TEST_CASE(absurd_sizes_count_as_unknown)
{
    AnnouncedSizes sizes;
    sizes.note(std::numeric_limits<std::uint64_t>::max());
    BOOST_TEST(sizes.waitingTokens(1) == 0U);
    sizes.note(sMaxPromptTokens + 1);
    sizes.note(700);
    BOOST_TEST(sizes.waitingTokens(2) == 1'400U);
}

// Guards against memory that grows with the number of announcements.
BOOST_AUTO_TEST_CASE(only_the_last_announcements_are_kept)
{
    AnnouncedSizes sizes;
    sizes.note(1'000'000);
    for (std::size_t count = 0; count < AnnouncedSizes::sMaxCount; ++count) {
        sizes.note(1);
    }
    BOOST_TEST(sizes.waitingTokens(AnnouncedSizes::sMaxCount + 1) == AnnouncedSizes::sMaxCount + 1);
}
