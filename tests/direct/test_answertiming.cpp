/*
 * test_answertiming.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "answertiming.h"

using namespace Loom;

namespace {

Instant at(std::int64_t ms)
{
    return Instant(Milliseconds(1'000 + ms));
}

Route route()
{
    Route route;
    route.goal = Milliseconds(400);
    route.pauseGoal = Milliseconds(300);
    return route;
}

} // namespace

BOOST_AUTO_TEST_CASE(lateness_cause_is_the_first_byte_a_pause_or_the_wait_before)
{
    AnswerTiming none(at(0));
    BOOST_TEST(none.latenessCause(route(), 1).empty());
    AnswerTiming good(at(0));
    BOOST_TEST(good.noteStart(at(400)));
    BOOST_TEST(!good.noteStart(at(900)));
    BOOST_TEST((good.first() == Milliseconds(400)));
    good.noteEvents(at(400));
    good.noteEvents(at(700));
    BOOST_TEST(good.latenessCause(route(), 1).empty());
    good.noteEvents(at(1'001));
    BOOST_TEST((good.longestPause() == Milliseconds(301)));
    BOOST_TEST(good.latenessCause(route(), 1) == "pause");
    BOOST_TEST(good.latenessCause(route(), 2) == "pause of a resumed stream");

    AnswerTiming slow(at(0));
    slow.noteStart(at(401));
    BOOST_TEST(slow.latenessCause(route(), 1) == "first event");
    BOOST_TEST(slow.latenessCause(route(), 2) == "sent again");

    AnswerTiming back(at(0));
    back.setWaitedBefore(Milliseconds(300));
    back.noteStart(at(101));
    BOOST_TEST(back.latenessCause(route(), 1) == "first event");
    back.setWaitedBefore(Milliseconds(401));
    BOOST_TEST(back.latenessCause(route(), 1) == "came back late");
}
