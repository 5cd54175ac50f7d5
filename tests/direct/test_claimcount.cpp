/*
 * test_claimcount.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "claimcount.h"
#include "fakelog.h"

using namespace Loom;

BOOST_AUTO_TEST_CASE(a_request_counts_until_a_look_can_have_seen_it)
{
    ClaimCount claims;
    BOOST_TEST(claims.unseenBy(at(0)) == 0U);
    claims.note(at(100));
    claims.note(at(103));
    // The look was made before, or while they were on their way.
    BOOST_TEST(claims.unseenBy(at(95)) == 2U);
    BOOST_TEST(claims.unseenBy(at(101)) == 2U);
    BOOST_TEST(claims.unseenBy(at(107)) == 1U);
    BOOST_TEST(claims.unseenBy(at(120)) == 0U);
    BOOST_TEST(claims.unseenBy(at(121)) == 0U);
}
