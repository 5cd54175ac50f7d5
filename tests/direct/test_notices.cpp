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

const ReplicaNotice sLeavingNotice{true, std::nullopt, {}};

ReplicaNotice restNotice(Microseconds time)
{
    return {false, time, {}};
}

bool isChosen(const ReplicaSet &set, int milliseconds)
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
    BOOST_TEST(set.applyNotice("r1", 7, sLeavingNotice, at(10)).hasStartedLeaving);
    BOOST_TEST(!set.applyNotice("r1", 7, sLeavingNotice, at(11)).hasStartedLeaving);
    BOOST_TEST(!set.applyNotice("r1", 7, {}, at(12)).hasStartedLeaving);
    BOOST_TEST(!isChosen(set, 12));
    set.put(record("r1", 7), at(20));
    BOOST_TEST(!isChosen(set, 20));
    // The record is removed and returns: once untrusted, once trusted and swept.
    set.remove("r1", false, Microseconds(0), at(30));
    set.put(record("r1", 7), at(40));
    BOOST_TEST(!isChosen(set, 40));
    set.remove("r1", true, Microseconds(0), at(50));
    set.sweep(at(60));
    BOOST_TEST(set.find("r1") == nullptr);
    set.put(record("r1", 7), at(70));
    BOOST_TEST((unavailableReason(set, 70) == UnavailableReason::Leaving));
    // A record without a start time may belong to any incarnation.
    set.remove("r1", true, Microseconds(0), at(80));
    set.sweep(at(90));
    set.put(record("r1"), at(100));
    BOOST_TEST(!isChosen(set, 100));
}

BOOST_AUTO_TEST_CASE(new_incarnation_ignores_notices_of_an_earlier_one)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", 7), at(0));
    set.applyNotice("r1", 7, sLeavingNotice, at(10));
    set.applyNotice("r1", 7, restNotice(Milliseconds(5'000)), at(10));
    set.put(record("r1", 8), at(20));
    BOOST_TEST(isChosen(set, 20));
    // A late answer of the earlier incarnation, and then its record from a store that lags behind.
    set.applyNotice("r1", 7, restNotice(Milliseconds(5'000)), at(30));
    BOOST_TEST(isChosen(set, 30));
    set.put(record("r1", 7), at(40));
    BOOST_TEST((unavailableReason(set, 40) == UnavailableReason::Leaving));
    set.put(record("r1", 8), at(50));
    BOOST_TEST(isChosen(set, 50));
}

BOOST_AUTO_TEST_CASE(notice_received_before_the_record_is_kept)
{
    ReplicaSet set(sDrainTime);
    BOOST_TEST(set.applyNotice("r1", 0, sLeavingNotice, at(0)).hasStartedLeaving);
    set.sweep(at(10));
    set.put(record("r1", 7), at(20));
    BOOST_TEST(!isChosen(set, 20));
}

BOOST_AUTO_TEST_CASE(later_shorter_rest_does_not_end_a_longer_one)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1"), at(0));
    BOOST_TEST(set.applyNotice("r1", 0, restNotice(Milliseconds(3'000)), at(0)).isRestExtended);
    BOOST_TEST(!set.applyNotice("r1", 0, restNotice(Milliseconds(100)), at(10)).isRestExtended);
    BOOST_TEST(!set.applyNotice("r1", 0, restNotice(Microseconds(0)), at(20)).isRestExtended);
    BOOST_TEST(!isChosen(set, 2'999));
    BOOST_TEST((unavailableReason(set, 2'999) == UnavailableReason::Resting));
    BOOST_TEST(isChosen(set, 3'000));
    BOOST_TEST(
        set.applyNotice("r1", 0, restNotice(std::chrono::hours(9'000)), at(3'000)).isRestExtended);
    BOOST_TEST(!isChosen(set, 24 * 3'600'000));
}

BOOST_AUTO_TEST_CASE(callers_are_told_to_retry_after_the_first_rest_ends)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1"), at(0));
    set.put(record("r2"), at(0));
    set.applyNotice("r1", 0, restNotice(Milliseconds(900)), at(0));
    ReplicaQuery query;
    query.service = "plain";
    BOOST_TEST(!set.retryDelayIfPaused(query, at(1)).has_value());
    set.ended("r2", ReplicaOutcome::Refused, at(1));
    set.applyNotice("r2", 0, restNotice(Milliseconds(700)), at(1));
    const ReplicaChoice choice = set.choose(query, at(1));
    const auto *busy = std::get_if<AllBusy>(&choice);
    BOOST_REQUIRE(busy != nullptr);
    BOOST_TEST(busy->areAllPaused);
    BOOST_TEST(busy->retryAfter.count() >= 700);
    BOOST_TEST(set.retryDelayIfPaused(query, at(1))->count() >= 700);
    BOOST_TEST(set.pausedByNotices("plain", at(1)) == "r1 resting, r2 resting");
}

BOOST_AUTO_TEST_CASE(concurrency_limit_recovers_by_doubling_or_by_time)
{
    ConcurrencyLimit limit;
    BOOST_TEST(!limit.limit(at(0)).has_value());
    limit.noteAnswer();
    BOOST_TEST(!limit.limit(at(0)).has_value());
    // A limit of at least half the slots is not raised by answers, but it expires.
    limit.lower(15, 16, at(0));
    limit.noteAnswer();
    BOOST_TEST((limit.limit(at(9'999)) == std::optional<double>(15)));
    BOOST_TEST(!limit.limit(at(10'000)).has_value());
    // A replica that asked for a rest without any request: one, then doubled by each answer.
    limit.lower(0, 16, at(20'000));
    BOOST_TEST((limit.limit(at(90'000)) == std::optional<double>(1)));
    limit.noteAnswer();
    BOOST_TEST((limit.limit(at(90'000)) == std::optional<double>(2)));
    limit.noteAnswer();
    limit.noteAnswer();
    BOOST_TEST(!limit.limit(at(90'000)).has_value());
    limit.lower(40, 16, at(100'000));
    BOOST_TEST((limit.limit(at(100'000)) == std::optional<double>(16)));
}

BOOST_AUTO_TEST_CASE(replica_that_refused_all_gets_one_request_at_a_time_after_its_rest)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1"), at(0));
    set.began("r1", false, at(0));
    set.applyNotice("r1", 0, restNotice(Milliseconds(100)), at(1));
    set.ended("r1", ReplicaOutcome::Refused, at(1));
    BOOST_TEST(isChosen(set, 101));
    set.began("r1", false, at(101));
    BOOST_TEST(!isChosen(set, 102));
    set.ended("r1", ReplicaOutcome::Answered, at(103));
    set.began("r1", false, at(103));
    BOOST_TEST(isChosen(set, 103));
}

BOOST_AUTO_TEST_CASE(replica_at_its_concurrency_limit_is_named_with_the_counts)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1"), at(0));
    set.began("r1", false, at(0));
    set.began("r1", false, at(0));
    set.applyNotice("r1", 0, restNotice(Milliseconds(100)), at(1));
    set.ended("r1", ReplicaOutcome::Refused, at(1));
    BOOST_TEST(set.pausedByNotices("plain", at(1)) == "r1 resting");
    BOOST_TEST(set.pausedByNotices("plain", at(101)) == "r1 limited to 1 of 1 held, own 1");
    set.ended("r1", ReplicaOutcome::Answered, at(102));
    BOOST_TEST(set.pausedByNotices("plain", at(102)) == "");
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
    shape.figures.contextMsPer1kTokens = 0.01;
    shape.figures.prefillTokensPerMs = 30;
    shape.figures.stepsPerPass = 6;
    shape.figures.meanPromptTokens = 900;
    shape.figures.meanAnswerTokens = 120;
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

OverloadLab::Notices run(const OverloadLab::Shape &shape, double load, std::string_view label)
{
    OverloadLab lab(shape);
    const auto seconds = lab.run({{sSeconds, load * lab.capacity()}});
    int inTime = 0;
    int late = 0;
    int calls = 0;
    for (const OverloadLab::Second &second : seconds) {
        inTime += second.inTime;
        late += second.late;
        calls += second.calls;
    }
    const OverloadLab::Notices &notices = lab.notices();
    BOOST_TEST_MESSAGE(shape.gateways
                       << " gateways, " << shape.engines << " engines, load " << load << ", "
                       << label << ": in time " << inTime << ", late " << late << " of " << calls
                       << "; refused " << notices.rejections << ", rests " << notices.rests
                       << ", most requests in one " << notices.maxDuringRest << "; leaving notices "
                       << notices.announcedLeaving << ", requests after them "
                       << notices.sentAfterLeaving);
    return notices;
}

} // namespace

// Engines refuse requests beyond their slots and ask for a rest with each refusal.
BOOST_AUTO_TEST_CASE(resting_engines_get_few_requests_from_gateways_that_they_told)
{
    for (const Size size : sSizes) {
        for (const double load : sLoads) {
            OverloadLab::Shape lab = shape(1, size.gateways, size.engines);
            lab.maxHeld = lab.figures.slots;
            run(lab, load, "no rests");
            lab.restMs = 3'000;
            const auto withNotices = run(lab, load, "rests applied");
            BOOST_TEST(withNotices.maxDuringRest <= sMaxDuringRest);
            BOOST_TEST((load < 1 || withNotices.rests > 0));
            lab.readsNotices = false;
            const auto withoutNotices = run(lab, load, "rests ignored");
            BOOST_TEST((load < 1 || withoutNotices.maxDuringRest > sMaxDuringRest));
        }
    }
}

// The store does not report the leaving engines, so gateways learn it only from answers.
BOOST_AUTO_TEST_CASE(leaving_engines_get_no_requests_from_gateways_that_they_told)
{
    for (const Size size : sSizes) {
        for (const double load : sLoads) {
            OverloadLab::Shape lab = shape(1, size.gateways, size.engines);
            lab.leaving = size.engines / 8;
            lab.leaveAtMs = 6'000;
            const auto withNotices = run(lab, load, "leaving notices applied");
            BOOST_TEST(withNotices.sentAfterLeaving == 0);
            BOOST_TEST(withNotices.announcedLeaving > 0);
            lab.readsNotices = false;
            BOOST_TEST(run(lab, load, "leaving notices ignored").sentAfterLeaving > 0);
        }
    }
}

// Guards against gateways that never return to an engine that refused all their requests for
// some time, because others keep it busy.
BOOST_AUTO_TEST_CASE(gateways_return_to_engines_that_refused_all_for_some_time)
{
    constexpr double sFullUse = 0.9; // of the requests that other engines get
    for (const Size size : sSizes) {
        double usedRatios = 0;
        int runs = 0;
        for (const double load : {0.3, 0.6, 1.0}) {
            for (const std::uint64_t seed : {1U, 2U, 3U}) {
                OverloadLab::Shape refusing = shape(seed, size.gateways, size.engines);
                refusing.restMs = 3'000;
                refusing.refusing = size.engines / 4;
                refusing.refusingFromMs = 2'000;
                refusing.refusingUntilMs = 8'000;
                OverloadLab lab(refusing);
                lab.run({{30, load * lab.capacity()}});
                const OverloadLab::Recovery recovery = lab.recovery();
                BOOST_TEST_MESSAGE(size.gateways << " gateways, load " << load << ": refused pairs "
                                                 << recovery.refusedPairs << ", returned "
                                                 << recovery.returnedPairs << ", used "
                                                 << recovery.usedRatio);
                BOOST_TEST(lab.notices().maxDuringRest <= sMaxDuringRest);
                usedRatios += recovery.usedRatio;
                ++runs;
            }
        }
        BOOST_TEST(usedRatios / runs >= sFullUse);
    }
}
