/*
 * test_weightversiontracker.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

#include "fakelog.h"
#include "reloadturn.h"
#include "weightversiontracker.h"

using namespace Loom;

BOOST_AUTO_TEST_CASE(older_versions_start_no_requests_after_the_grace_period)
{
    WeightVersionTracker goal(Milliseconds(8'000));
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

BOOST_AUTO_TEST_CASE(the_cutoff_is_set_by_the_first_newer_version)
{
    WeightVersionTracker goal(Milliseconds(8'000));
    BOOST_TEST(!goal.cutoffAt("m", 1).has_value());
    goal.name("m", 2, at(10'000));
    goal.name("m", 3, at(14'000));
    BOOST_TEST((goal.cutoffAt("m", 1) == at(18'000)));
    BOOST_TEST((goal.cutoffAt("m", 2) == at(22'000)));
    BOOST_TEST(!goal.cutoffAt("m", 3).has_value());
    BOOST_TEST(!goal.cutoffAt("other", 1).has_value());
}

BOOST_AUTO_TEST_CASE(the_start_deadline_lies_between_the_last_send_and_the_cutoff)
{
    WeightVersionTracker goal(Milliseconds(8'000));
    goal.name("m", 2, at(10'000));
    BOOST_REQUIRE(goal.startDeadline("m", 1).has_value());
    const Instant giveUp = *goal.startDeadline("m", 1);
    // What was sent last still has some time to begin.
    BOOST_TEST((goal.oldestAllowed("m", giveUp - Milliseconds(500)) == 2U));
    // It may have been named 400 ms before it was heard here.
    BOOST_TEST((giveUp + Milliseconds(500) <= at(18'000)));
    // The newest may get a newer one at any time, and is looked at before that is due.
    BOOST_TEST(!goal.startDeadline("m", 2).has_value());
    const Instant look = goal.nextCheckAt(at(20'000));
    goal.name("m", 3, at(20'000));
    BOOST_TEST((look < *goal.startDeadline("m", 2)));
}

BOOST_AUTO_TEST_CASE(a_version_learned_twice_keeps_its_first_time)
{
    WeightVersionTracker goal(Milliseconds(8'000));
    goal.name("m", 2, at(1'000));
    goal.name("m", 2, at(9'000));
    BOOST_TEST((goal.learnedAt("m", 2) == at(1'000)));
}

BOOST_AUTO_TEST_CASE(reload_turns_are_spread_and_end_before_the_cutoff)
{
    std::vector<std::string> boxes;
    for (int box = 0; box < 20; ++box) {
        boxes.push_back("box-" + std::to_string(box));
    }
    const ReloadTurn turn(Milliseconds(8'000));
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

BOOST_AUTO_TEST_CASE(reload_turns_missed_during_the_fetch_are_spread_again)
{
    std::vector<std::string> boxes;
    for (int box = 0; box < 20; ++box) {
        boxes.push_back("box-" + std::to_string(box));
    }
    const ReloadTurn turn(Milliseconds(8'000));
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
