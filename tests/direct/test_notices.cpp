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

UnavailableReason unavailableReason(const ReplicaSet &set, int milliseconds)
{
    return set.find("r1")->unavailableReason(at(milliseconds));
}

} // namespace

BOOST_AUTO_TEST_CASE(leaving_notice_outlasts_later_records_of_the_same_incarnation)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", 7), at(0));
    BOOST_TEST(set.applyNotice("r1", 7, sLeaves, at(10)).hasStartedLeaving);
    BOOST_TEST(!set.applyNotice("r1", 7, sLeaves, at(11)).hasStartedLeaving);
    BOOST_TEST(!set.applyNotice("r1", 7, {}, at(12)).hasStartedLeaving);
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
    BOOST_TEST((unavailableReason(set, 70) == UnavailableReason::Leaving));
    // A record without a start may be of any life.
    set.remove("r1", true, Microseconds(0), at(80));
    set.sweep(at(90));
    set.put(record("r1"), at(100));
    BOOST_TEST(!isOpen(set, 100));
}

BOOST_AUTO_TEST_CASE(new_incarnation_ignores_notices_of_an_earlier_one)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", 7), at(0));
    set.applyNotice("r1", 7, sLeaves, at(10));
    set.applyNotice("r1", 7, restsFor(Milliseconds(5'000)), at(10));
    set.put(record("r1", 8), at(20));
    BOOST_TEST(isOpen(set, 20));
    // A late answer of the earlier life, and its record, read anew from a store that is behind.
    set.applyNotice("r1", 7, restsFor(Milliseconds(5'000)), at(30));
    BOOST_TEST(isOpen(set, 30));
    set.put(record("r1", 7), at(40));
    BOOST_TEST((unavailableReason(set, 40) == UnavailableReason::Leaving));
    set.put(record("r1", 8), at(50));
    BOOST_TEST(isOpen(set, 50));
}

BOOST_AUTO_TEST_CASE(notice_received_before_the_record_is_kept)
{
    ReplicaSet set(sDrainTime);
    BOOST_TEST(set.applyNotice("r1", 0, sLeaves, at(0)).hasStartedLeaving);
    set.sweep(at(10));
    set.put(record("r1", 7), at(20));
    BOOST_TEST(!isOpen(set, 20));
}

BOOST_AUTO_TEST_CASE(later_shorter_rest_does_not_end_a_longer_one)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1"), at(0));
    BOOST_TEST(set.applyNotice("r1", 0, restsFor(Milliseconds(3'000)), at(0)).isRestExtended);
    BOOST_TEST(!set.applyNotice("r1", 0, restsFor(Milliseconds(100)), at(10)).isRestExtended);
    BOOST_TEST(!set.applyNotice("r1", 0, restsFor(Microseconds(0)), at(20)).isRestExtended);
    BOOST_TEST(!isOpen(set, 2'999));
    BOOST_TEST((unavailableReason(set, 2'999) == UnavailableReason::Resting));
    BOOST_TEST(isOpen(set, 3'000));
    BOOST_TEST(
        set.applyNotice("r1", 0, restsFor(std::chrono::hours(9'000)), at(3'000)).isRestExtended);
    BOOST_TEST(!isOpen(set, 24 * 3'600'000));
}

BOOST_AUTO_TEST_CASE(callers_are_told_to_retry_after_all_rests_end)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1"), at(0));
    set.put(record("r2"), at(0));
    set.applyNotice("r1", 0, restsFor(Milliseconds(900)), at(0));
    ReplicaQuery query;
    query.service = "plain";
    BOOST_TEST(!set.retryDelayIfPaused(query, at(1)).has_value());
    set.ended("r2", ReplicaOutcome::Refused, at(1));
    set.applyNotice("r2", 0, restsFor(Milliseconds(700)), at(1));
    const ReplicaChoice choice = set.choose(query, at(1));
    const auto *busy = std::get_if<AllBusy>(&choice);
    BOOST_REQUIRE(busy != nullptr);
    BOOST_TEST(busy->areAllPaused);
    BOOST_TEST(busy->comeBack.count() >= 700);
    BOOST_TEST(set.retryDelayIfPaused(query, at(1))->count() >= 700);
    BOOST_TEST(set.pausedByNotices("plain", at(1)) == "r1 resting, r2 resting");
}

BOOST_AUTO_TEST_CASE(concurrency_limit_recovers_by_doubling_or_by_time)
{
    ConcurrencyLimit level;
    BOOST_TEST(!level.most(at(0)).has_value());
    level.noteAnswer();
    BOOST_TEST(!level.most(at(0)).has_value());
    // Full: good answers change nothing, time does.
    level.lower(15, 16, at(0));
    level.noteAnswer();
    BOOST_TEST((level.most(at(9'999)) == std::optional<double>(15)));
    BOOST_TEST(!level.most(at(10'000)).has_value());
    // In need though it held nothing: one, then double with each good answer.
    level.lower(0, 16, at(20'000));
    BOOST_TEST((level.most(at(90'000)) == std::optional<double>(1)));
    level.noteAnswer();
    BOOST_TEST((level.most(at(90'000)) == std::optional<double>(2)));
    level.noteAnswer();
    level.noteAnswer();
    BOOST_TEST(!level.most(at(90'000)).has_value());
    level.lower(40, 16, at(100'000));
    BOOST_TEST((level.most(at(100'000)) == std::optional<double>(16)));
}

BOOST_AUTO_TEST_CASE(replica_that_refused_all_gets_one_request_at_a_time_after_its_rest)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1"), at(0));
    set.began("r1", false, at(0));
    set.applyNotice("r1", 0, restsFor(Milliseconds(100)), at(1));
    set.ended("r1", ReplicaOutcome::Refused, at(1));
    BOOST_TEST(isOpen(set, 101));
    set.began("r1", false, at(101));
    BOOST_TEST(!isOpen(set, 102));
    set.ended("r1", ReplicaOutcome::Answered, at(103));
    set.began("r1", false, at(103));
    BOOST_TEST(isOpen(set, 103));
}

namespace {

OverloadLab::Shape shape(std::uint64_t seed, std::size_t gateways, std::size_t engines)
{
    OverloadLab::Shape shape;
    shape.seed = seed;
    shape.gateways = gateways;
    shape.engines = engines;
    shape.dataCentres = 3;
    shape.probesAgents = true;
    shape.figures.slots = 16;
    shape.figures.stepMs = 7;
    shape.figures.perSequenceMs = 0.03;
    shape.figures.contextMsPerK = 0.01;
    shape.figures.readTokensPerMs = 30;
    shape.figures.stepsPerPass = 6;
    shape.figures.usualPrompt = 900;
    shape.figures.usualAnswer = 120;
    return shape;
}

constexpr int sMaxDuringRest = 2;
constexpr int sSeconds = 16;
constexpr double sLoads[] = {0.6, 1.0, 1.3};

struct Size
{
    std::size_t gateways = 0;
    std::size_t engines = 0;
};
constexpr Size sSizes[] = {{9, 12}, {41, 45}};

OverloadLab::Notices play(const OverloadLab::Shape &shape, double load, std::string_view way)
{
    OverloadLab lab(shape);
    const auto seconds = lab.play({{sSeconds, load * lab.capacity()}});
    int inTime = 0;
    int late = 0;
    int asked = 0;
    for (const OverloadLab::Second &second : seconds) {
        inTime += second.inTime;
        late += second.late;
        asked += second.asked;
    }
    const OverloadLab::Notices &notices = lab.notices();
    BOOST_TEST_MESSAGE(shape.gateways << " gateways, " << shape.engines << " engines, load " << load
                                      << ", " << way << ": in time " << inTime << ", late " << late
                                      << " of " << asked << "; turned away " << notices.rejections
                                      << ", rests " << notices.rests << ", most in one "
                                      << notices.maxDuringRest << "; told of a leaving "
                                      << notices.announcedLeaving << ", requests after it "
                                      << notices.sentAfterLeaving);
    return notices;
}

} // namespace

// Engines that hold as many requests as they have slots turn others away.
BOOST_AUTO_TEST_CASE(resting_engines_get_few_requests_from_gateways_that_they_told)
{
    for (const Size size : sSizes) {
        for (const double load : sLoads) {
            OverloadLab::Shape lab = shape(1, size.gateways, size.engines);
            lab.maxHeld = lab.figures.slots;
            play(lab, load, "nobody asks for rest");
            lab.restMs = 3'000;
            const auto heeded = play(lab, load, "rests heeded");
            BOOST_TEST(heeded.maxDuringRest <= sMaxDuringRest);
            BOOST_TEST((load < 1 || heeded.rests > 0));
            lab.readsNotices = false;
            const auto unread = play(lab, load, "rests not read");
            BOOST_TEST((load < 1 || unread.maxDuringRest > sMaxDuringRest));
        }
    }
}

// The store says nothing all the while: only the engines' answers tell.
BOOST_AUTO_TEST_CASE(leaving_engines_get_no_requests_from_gateways_that_they_told)
{
    for (const Size size : sSizes) {
        for (const double load : sLoads) {
            OverloadLab::Shape lab = shape(1, size.gateways, size.engines);
            lab.leaving = size.engines / 8;
            lab.leaveAtMs = 6'000;
            const auto heeded = play(lab, load, "leavings heeded");
            BOOST_TEST(heeded.sentAfterLeaving == 0);
            BOOST_TEST(heeded.announcedLeaving > 0);
            lab.readsNotices = false;
            BOOST_TEST(play(lab, load, "leavings not read").sentAfterLeaving > 0);
        }
    }
}
