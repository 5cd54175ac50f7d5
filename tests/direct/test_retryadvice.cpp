/*
 * test_retryadvice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "refusalratio.h"
#include "retryadvice.h"

using namespace Loom;

namespace {

EngineFigures engine()
{
    EngineFigures figures;
    figures.slots = 12;
    figures.stepMs = 9.27;
    figures.readTokensPerMs = 20.7;
    figures.stepsPerPass = 5;
    figures.usualPrompt = 960;
    figures.usualAnswer = 97;
    return figures;
}

const EngineFigures sEngine = engine();

ReplicaQuery query(std::uint64_t random)
{
    ReplicaQuery query;
    query.engine = &sEngine;
    query.goal = Milliseconds(500);
    query.timeLeft = Milliseconds(6'000);
    query.random = random;
    return query;
}

} // namespace

BOOST_AUTO_TEST_CASE(callers_that_can_meet_their_goal_retry_within_it)
{
    for (std::uint64_t random = 0; random < 1'024; random += 31) {
        const ReplicaQuery asked = query(random);
        const Milliseconds after = RetryAdvice(asked).whenBusy(1, false);
        BOOST_TEST(after.count() >= 40);
        BOOST_TEST(after.count() < 400);
    }
}

// Callers wait for a third of the time that they have left at most.
BOOST_AUTO_TEST_CASE(callers_that_cannot_meet_their_goal_retry_late_and_spread)
{
    for (const bool isNone : {false, true}) {
        Milliseconds first = Milliseconds::max();
        Milliseconds last{0};
        for (std::uint64_t random = 0; random < 1'024; random += 31) {
            const ReplicaQuery asked = query(random);
            const RetryAdvice comeBack(asked);
            const Milliseconds after
                = isNone ? comeBack.whenNoneUsable() : comeBack.whenBusy(1, true);
            BOOST_TEST(after.count() >= 1'000);
            BOOST_TEST(after.count() <= 2'000);
            first = std::min(first, after);
            last = std::max(last, after);
        }
        BOOST_TEST((last - first).count() > 900);
    }
}

BOOST_AUTO_TEST_CASE(callers_without_a_deadline_get_the_fixed_delays)
{
    ReplicaQuery asked = query(0);
    asked.timeLeft = Milliseconds(0);
    BOOST_TEST(RetryAdvice(asked).whenNoneUsable().count() == 400);
    BOOST_TEST(RetryAdvice(asked).whenBusy(1, true).count() < 400);
    asked.engine = nullptr;
    BOOST_TEST(RetryAdvice(asked).whenBusy(1, true).count() == 100);
}

BOOST_AUTO_TEST_CASE(refusal_ratio_rises_with_many_refusals_and_decays)
{
    RefusalRatio refusals;
    BOOST_TEST(refusals.ratio(at(0)) == 0);
    for (int call = 0; call < 100; ++call) {
        refusals.note(true, at(call * 20));
    }
    refusals.note(false, at(2'000));
    BOOST_TEST(refusals.ratio(at(2'000)) < 0.05); // one is no rush
    for (int call = 0; call < 20; ++call) {
        refusals.note(call % 2 == 0, at(2'000 + call * 20));
    }
    BOOST_TEST(refusals.ratio(at(2'400)) > 0.15);
    for (int call = 0; call < 200; ++call) {
        refusals.note(true, at(2'400 + call * 20));
    }
    BOOST_TEST(refusals.ratio(at(6'400)) < 0.05);
}
