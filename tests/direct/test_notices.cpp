/*
 * test_notices.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "overloadlab.h"
#include "replicaset.h"

using namespace Loom;

namespace {

constexpr Milliseconds sDrainTime{2'000};

ReplicaRecord record(const std::string &id, std::uint64_t born = 0)
{
    ReplicaRecord record;
    record.id = id;
    record.born = born;
    record.service = "plain";
    record.address = "10.0.0.1:" + id.substr(1);
    record.slots = 4;
    return record;
}

const ReplicaNotice sLeaves{true, std::nullopt, {}};

ReplicaNotice restsFor(Microseconds time)
{
    return {false, time, {}};
}

bool isOpen(const ReplicaSet &set, int milliseconds)
{
    ReplicaQuery query;
    query.service = "plain";
    return std::holds_alternative<ChosenReplica>(set.choose(query, at(milliseconds)));
}

HeldBack heldBack(const ReplicaSet &set, int milliseconds)
{
    return set.find("r1")->heldBack(at(milliseconds));
}

} // namespace

BOOST_AUTO_TEST_CASE(a_leaving_is_taken_back_by_what_others_say_of_the_same_life)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", 7), at(0));
    BOOST_TEST(set.hearNotice("r1", 7, sLeaves, at(10)).hasBegunToLeave);
    BOOST_TEST(!set.hearNotice("r1", 7, sLeaves, at(11)).hasBegunToLeave);
    BOOST_TEST(!set.hearNotice("r1", 7, {}, at(12)).hasBegunToLeave);
    BOOST_TEST(!isOpen(set, 12));
    set.put(record("r1", 7), at(20));
    BOOST_TEST(!isOpen(set, 20));
    // Doubtfully removed and back, and for certain, swept, and back.
    set.remove("r1", false, Microseconds(0), at(30));
    set.put(record("r1", 7), at(40));
    BOOST_TEST(!isOpen(set, 40));
    set.remove("r1", true, Microseconds(0), at(50));
    set.sweep(at(60));
    BOOST_TEST(set.find("r1") == nullptr);
    set.put(record("r1", 7), at(70));
    BOOST_TEST((heldBack(set, 70) == HeldBack::Leaving));
    // A record without a start may be of any life.
    set.remove("r1", true, Microseconds(0), at(80));
    set.sweep(at(90));
    set.put(record("r1"), at(100));
    BOOST_TEST(!isOpen(set, 100));
}

BOOST_AUTO_TEST_CASE(a_new_life_is_held_back_by_what_an_earlier_one_said)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", 7), at(0));
    set.hearNotice("r1", 7, sLeaves, at(10));
    set.hearNotice("r1", 7, restsFor(Milliseconds(5'000)), at(10));
    set.put(record("r1", 8), at(20));
    BOOST_TEST(isOpen(set, 20));
    // A late answer of the earlier life, and its record, read anew from a store that is behind.
    set.hearNotice("r1", 7, restsFor(Milliseconds(5'000)), at(30));
    BOOST_TEST(isOpen(set, 30));
    set.put(record("r1", 7), at(40));
    BOOST_TEST((heldBack(set, 40) == HeldBack::Leaving));
    set.put(record("r1", 8), at(50));
    BOOST_TEST(isOpen(set, 50));
}

BOOST_AUTO_TEST_CASE(a_notice_is_lost_that_came_before_the_record)
{
    ReplicaSet set(sDrainTime);
    BOOST_TEST(set.hearNotice("r1", 0, sLeaves, at(0)).hasBegunToLeave);
    set.sweep(at(10));
    set.put(record("r1", 7), at(20));
    BOOST_TEST(!isOpen(set, 20));
}

BOOST_AUTO_TEST_CASE(a_rest_ends_with_a_shorter_one_that_came_later)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1"), at(0));
    BOOST_TEST(set.hearNotice("r1", 0, restsFor(Milliseconds(3'000)), at(0)).isRestLonger);
    BOOST_TEST(!set.hearNotice("r1", 0, restsFor(Milliseconds(100)), at(10)).isRestLonger);
    BOOST_TEST(!set.hearNotice("r1", 0, restsFor(Microseconds(0)), at(20)).isRestLonger);
    BOOST_TEST(!isOpen(set, 2'999));
    BOOST_TEST((heldBack(set, 2'999) == HeldBack::Resting));
    BOOST_TEST(isOpen(set, 3'000));
    BOOST_TEST(
        set.hearNotice("r1", 0, restsFor(std::chrono::hours(9'000)), at(3'000)).isRestLonger);
    BOOST_TEST(!isOpen(set, 24 * 3'600'000));
}

BOOST_AUTO_TEST_CASE(callers_come_back_into_the_rest_of_all_replicas)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1"), at(0));
    set.put(record("r2"), at(0));
    set.hearNotice("r1", 0, restsFor(Milliseconds(900)), at(0));
    ReplicaQuery query;
    query.service = "plain";
    BOOST_TEST(!set.heldFor(query, at(1)).has_value());
    set.ended("r2", ReplicaOutcome::Refused, at(1));
    set.hearNotice("r2", 0, restsFor(Milliseconds(700)), at(1));
    const ReplicaChoice choice = set.choose(query, at(1));
    const auto *busy = std::get_if<AllBusy>(&choice);
    BOOST_REQUIRE(busy != nullptr);
    BOOST_TEST(busy->isHeld);
    BOOST_TEST(busy->comeBack.count() >= 700);
    BOOST_TEST(set.heldFor(query, at(1))->count() >= 700);
    BOOST_TEST(set.heldByNotices("plain", at(1)) == "r1 resting, r2 resting");
}

namespace {

OverloadLab::Shape shape(std::uint64_t seed, std::size_t gateways, std::size_t engines)
{
    OverloadLab::Shape shape;
    shape.seed = seed;
    shape.gateways = gateways;
    shape.engines = engines;
    shape.dataCentres = 3;
    shape.isAsked = true;
    shape.figures.slots = 16;
    shape.figures.stepMs = 7;
    shape.figures.perSequenceMs = 0.03;
    shape.figures.contextMsPerK = 0.01;
    shape.figures.readTokensPerMs = 30;
    shape.figures.stepsPerPass = 6;
    shape.figures.usualPrompt = 900;
    shape.figures.usualAnswer = 120;
    shape.mostWaiting = 2;
    shape.restMs = 3'000;
    shape.leaving = engines / 8;
    shape.leaveAtMs = 6'000;
    return shape;
}

constexpr int sAllowedInRest = 2;
constexpr double sLoads[] = {0.6, 1.0, 1.3};

struct Size
{
    std::size_t gateways = 0;
    std::size_t engines = 0;
};

} // namespace

// The store says nothing all the while: only the engines' answers tell of either.
BOOST_AUTO_TEST_CASE(engines_that_rest_or_leave_get_requests_of_gateways_that_they_told)
{
    for (const Size size : {Size{9, 12}, Size{41, 45}}) {
        for (const double load : sLoads) {
            for (const bool hears : {true, false}) {
                OverloadLab::Shape lab = shape(1, size.gateways, size.engines);
                lab.hearsNotices = hears;
                OverloadLab played(lab);
                const auto seconds = played.play({{16, load * played.capacity()}});
                int inTime = 0;
                int late = 0;
                int asked = 0;
                for (const OverloadLab::Second &second : seconds) {
                    inTime += second.inTime;
                    late += second.late;
                    asked += second.asked;
                }
                const OverloadLab::Notices &notices = played.notices();
                BOOST_TEST_MESSAGE(size.gateways
                                   << " gateways, " << size.engines << " engines, load " << load
                                   << (hears ? "" : ", notices not read") << ": in time " << inTime
                                   << ", late " << late << " of " << asked << "; rests "
                                   << notices.rests << ", turned away " << notices.turnedAway
                                   << ", most in a rest " << notices.mostInRest
                                   << ", after a leaving " << notices.afterLeaving
                                   << ", told of a leaving " << notices.toldLeaving);
                BOOST_TEST(notices.toldLeaving > 0);
                BOOST_TEST((load < 1 || notices.rests > 0));
                if (hears) {
                    BOOST_TEST(notices.mostInRest <= sAllowedInRest);
                    BOOST_TEST(notices.afterLeaving == 0);
                } else {
                    BOOST_TEST(notices.mostInRest + notices.afterLeaving > sAllowedInRest);
                }
            }
        }
    }
}
