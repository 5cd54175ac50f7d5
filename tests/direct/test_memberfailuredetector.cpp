/*
 * test_memberfailuredetector.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "memberfailuredetector.h"

using namespace Loom;

namespace {

constexpr Milliseconds sMaxGap{1'300};
constexpr Milliseconds sTimeout{5'000};
constexpr Milliseconds sInterval{400};

Instant at(int milliseconds)
{
    return Instant(Milliseconds(milliseconds));
}

/** Members of "far" and "near" send messages regularly between @p from and @p to. */
void noteAllHeard(MemberFailureDetector &detector, int from, int to)
{
    for (Instant time = at(from); time <= at(to); time += sInterval) {
        detector.noteHeard("far", time);
        detector.noteHeard("near", time);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(silent_member_of_a_reachable_data_centre_is_overdue)
{
    MemberFailureDetector detector("near", sMaxGap);
    noteAllHeard(detector, 0, 8'000);
    for (const char *dataCentre : {"near", "far"}) {
        BOOST_TEST(!detector.isOverdue(dataCentre, at(2'000), at(7'000), sTimeout));
        BOOST_TEST(detector.isOverdue(dataCentre, at(2'000), at(7'001), sTimeout));
    }
}

// Guards against removing live members of another data centre: a link between data centres
// was saturated for some seconds, and gateways dropped all members behind it.
BOOST_AUTO_TEST_CASE(member_of_an_unreachable_data_centre_is_not_overdue)
{
    MemberFailureDetector detector("near", sMaxGap);
    BOOST_TEST(!detector.isOverdue("far", at(0), at(60'000), sTimeout));
    noteAllHeard(detector, 0, 2'000);
    BOOST_TEST(!detector.isOverdue("far", at(2'000), at(60'000), sTimeout));
    // Members of the same data centre share no link that could delay all of them.
    BOOST_TEST(detector.isOverdue("near", at(2'000), at(60'000), sTimeout));
}

BOOST_AUTO_TEST_CASE(timeout_restarts_after_a_data_centre_was_unreachable)
{
    MemberFailureDetector detector("near", sMaxGap);
    noteAllHeard(detector, 0, 2'000);
    noteAllHeard(detector, 20'000, 30'000);
    BOOST_TEST(!detector.isOverdue("far", at(2'000), at(25'000), sTimeout));
    BOOST_TEST(detector.isOverdue("far", at(2'000), at(25'001), sTimeout));
}

BOOST_AUTO_TEST_CASE(pause_within_the_max_gap_does_not_restart_the_timeout)
{
    MemberFailureDetector detector("near", sMaxGap);
    detector.noteHeard("far", at(0));
    for (int time = 1'300; time <= 7'800; time += 1'300) {
        detector.noteHeard("far", at(time));
    }
    BOOST_TEST(detector.isOverdue("far", at(0), at(5'001), sTimeout));
    BOOST_TEST(detector.isOverdue("far", at(0), at(9'100), sTimeout));
    BOOST_TEST(!detector.isOverdue("far", at(0), at(9'101), sTimeout));
}
