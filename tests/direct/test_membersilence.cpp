/*
 * test_membersilence.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "membersilence.h"

using namespace Loom;

namespace {

constexpr Milliseconds sGap{1'300};
constexpr Milliseconds sBound{5'000};
constexpr Milliseconds sEvery{400};

Instant at(int milliseconds)
{
    return Instant(Milliseconds(milliseconds));
}

/** Members of "far" and "near" are heard regularly from @p from to @p to. */
void hear(MemberSilence &silence, int from, int to)
{
    for (Instant time = at(from); time <= at(to); time += sEvery) {
        silence.noteHeard("far", time);
        silence.noteHeard("near", time);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(a_member_silent_among_others_that_are_heard_is_overdue)
{
    MemberSilence silence("near", sGap);
    hear(silence, 0, 8'000);
    for (const char *dataCentre : {"near", "far"}) {
        BOOST_TEST(!silence.isOverdue(dataCentre, at(2'000), at(7'000), sBound));
        BOOST_TEST(silence.isOverdue(dataCentre, at(2'000), at(7'001), sBound));
    }
}

// A link between data centres that stood full for some seconds let gateways forget
// members behind it that lived all the time.
BOOST_AUTO_TEST_CASE(a_member_of_another_data_centre_that_is_not_heard_at_all_is_not_overdue)
{
    MemberSilence silence("near", sGap);
    BOOST_TEST(!silence.isOverdue("far", at(0), at(60'000), sBound));
    hear(silence, 0, 2'000);
    BOOST_TEST(!silence.isOverdue("far", at(2'000), at(60'000), sBound));
    // Nothing lies between members of one data centre that could hold all of them up.
    BOOST_TEST(silence.isOverdue("near", at(2'000), at(60'000), sBound));
}

BOOST_AUTO_TEST_CASE(after_a_gap_members_of_another_data_centre_get_the_whole_time_again)
{
    MemberSilence silence("near", sGap);
    hear(silence, 0, 2'000);
    hear(silence, 20'000, 30'000);
    BOOST_TEST(!silence.isOverdue("far", at(2'000), at(25'000), sBound));
    BOOST_TEST(silence.isOverdue("far", at(2'000), at(25'001), sBound));
}

BOOST_AUTO_TEST_CASE(a_pause_within_the_gap_is_none)
{
    MemberSilence silence("near", sGap);
    silence.noteHeard("far", at(0));
    for (int time = 1'300; time <= 7'800; time += 1'300) {
        silence.noteHeard("far", at(time));
    }
    BOOST_TEST(silence.isOverdue("far", at(0), at(5'001), sBound));
    BOOST_TEST(silence.isOverdue("far", at(0), at(9'100), sBound));
    BOOST_TEST(!silence.isOverdue("far", at(0), at(9'101), sBound));
}
