/*
 * test_weightsgoal.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

#include "fakelog.h"
#include "reloadschedule.h"
#include "weightsgoal.h"

using namespace Loom;

BOOST_AUTO_TEST_CASE(older_weights_begin_nothing_once_a_newer_version_is_due)
{
    WeightsGoal goal(Milliseconds(8'000));
    BOOST_TEST(goal.newest("m") == 1U);
    BOOST_TEST(goal.oldestAllowed("m", at(0)) == 1U);
    goal.name("m", 2, at(10'000));
    goal.name("m", 3, at(14'000));
    BOOST_TEST(goal.newest("m") == 3U);
    BOOST_TEST(goal.oldestAllowed("m", at(15'900)) == 1U);
    // Stops before the bound, since a request may wait before it begins.
    BOOST_TEST(goal.oldestAllowed("m", at(16'800)) == 2U);
    BOOST_TEST(goal.oldestAllowed("m", at(20'800)) == 3U);
    BOOST_TEST(goal.oldestAllowed("other", at(20'800)) == 1U);
}

BOOST_AUTO_TEST_CASE(a_version_is_over_when_the_first_newer_one_is_due)
{
    WeightsGoal goal(Milliseconds(8'000));
    BOOST_TEST(!goal.overAt("m", 1).has_value());
    goal.name("m", 2, at(10'000));
    goal.name("m", 3, at(14'000));
    BOOST_TEST((goal.overAt("m", 1) == at(18'000)));
    BOOST_TEST((goal.overAt("m", 2) == at(22'000)));
    BOOST_TEST(!goal.overAt("m", 3).has_value());
    BOOST_TEST(!goal.overAt("other", 1).has_value());
}

BOOST_AUTO_TEST_CASE(what_has_not_begun_is_given_up_between_the_last_sending_and_the_end)
{
    WeightsGoal goal(Milliseconds(8'000));
    goal.name("m", 2, at(10'000));
    BOOST_REQUIRE(goal.giveUpAt("m", 1).has_value());
    const Instant giveUp = *goal.giveUpAt("m", 1);
    // What was sent last still has some time to begin.
    BOOST_TEST((goal.oldestAllowed("m", giveUp - Milliseconds(500)) == 2U));
    // It may have been named 400 ms before it was heard here.
    BOOST_TEST((giveUp + Milliseconds(500) <= at(18'000)));
    // The newest may get a newer one at any time, and is looked at before that is due.
    BOOST_TEST(!goal.giveUpAt("m", 2).has_value());
    const Instant look = goal.lookAgainAt(at(20'000));
    goal.name("m", 3, at(20'000));
    BOOST_TEST((look < *goal.giveUpAt("m", 2)));
}

BOOST_AUTO_TEST_CASE(a_version_heard_twice_keeps_its_first_time)
{
    WeightsGoal goal(Milliseconds(8'000));
    goal.name("m", 2, at(1'000));
    goal.name("m", 2, at(9'000));
    BOOST_TEST((goal.learnedAt("m", 2) == at(1'000)));
}

BOOST_AUTO_TEST_CASE(turns_are_spread_and_end_before_the_bound)
{
    std::vector<std::string> boxes;
    for (int box = 0; box < 20; ++box) {
        boxes.push_back("box-" + std::to_string(box));
    }
    const ReloadSchedule turn(Milliseconds(8'000));
    std::set<Instant> moments;
    for (const std::string &box : boxes) {
        const Instant moment = turn.at("m@2", box, boxes, at(1'000), at(2'000));
        BOOST_TEST((moment >= at(4'200)));
        BOOST_TEST((moment <= at(7'400)));
        moments.insert(moment);
    }
    BOOST_TEST(moments.size() == boxes.size());
    // A box that does not see itself among the members still has a turn.
    BOOST_TEST((turn.at("m@2", "new", boxes, at(0), at(0)) <= at(6'400)));
    BOOST_TEST((turn.at("m@2", "alone", {}, at(0), at(0)) <= at(6'400)));
}

BOOST_AUTO_TEST_CASE(turns_that_were_over_before_the_weights_came_are_not_taken_all_at_once)
{
    std::vector<std::string> boxes;
    for (int box = 0; box < 20; ++box) {
        boxes.push_back("box-" + std::to_string(box));
    }
    const ReloadSchedule turn(Milliseconds(8'000));
    std::map<std::int64_t, int> inEachTenth;
    for (const std::string &box : boxes) {
        const Instant moment = turn.at("m@2", box, boxes, at(0), at(5'000));
        BOOST_TEST((moment >= at(5'000)));
        BOOST_TEST((moment <= at(6'400)));
        ++inEachTenth[(moment - at(5'000)) / Milliseconds(140)];
    }
    for (const auto &[tenth, count] : inEachTenth) {
        BOOST_TEST(count <= 2);
    }
    // Weights that come after the last turn are loaded at once.
    BOOST_TEST((turn.at("m@2", "box-3", boxes, at(0), at(7'000)) <= at(7'000)));
}
