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

EngineProfile engine()
{
    EngineProfile figures;
    figures.slots = 12;
    figures.stepMs = 9.27;
    figures.prefillTokensPerMs = 20.7;
    figures.stepsPerPass = 5;
    figures.meanPromptTokens = 960;
    figures.meanAnswerTokens = 97;
    return figures;
}

const EngineProfile sEngine = engine();

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
        const ReplicaQuery request = query(random);
        const Milliseconds delay = RetryAdvice(request).whenBusy(1, false);
        BOOST_TEST(delay.count() >= 40);
        BOOST_TEST(delay.count() < 400);
    }
}

// Callers wait at most a third of their remaining time.
BOOST_AUTO_TEST_CASE(callers_that_cannot_meet_their_goal_retry_late_and_spread)
{
    for (const bool isNone : {false, true}) {
        Milliseconds minDelay = Milliseconds::max();
        Milliseconds maxDelay{0};
        for (std::uint64_t random = 0; random < 1'024; random += 31) {
            const ReplicaQuery request = query(random);
            const RetryAdvice advice(request);
            const Milliseconds delay = isNone ? advice.whenNoneUsable() : advice.whenBusy(1, true);
            BOOST_TEST(delay.count() >= 1'000);
            BOOST_TEST(delay.count() <= 2'000);
            minDelay = std::min(minDelay, delay);
            maxDelay = std::max(maxDelay, delay);
        }
        BOOST_TEST((maxDelay - minDelay).count() > 900);
    }
}

// Guards against urgent callers that return together with all others, when the overload that
// they have precedence in is over.
BOOST_AUTO_TEST_CASE(most_urgent_callers_return_before_the_others_under_overload)
{
    for (std::uint64_t random = 0; random < 1'024; random += 31) {
        ReplicaQuery request = query(random);
        const Milliseconds withinGoal = RetryAdvice(request).whenBusy(1, true, true);
        BOOST_TEST(withinGoal.count() >= 40);
        BOOST_TEST(withinGoal.count() < 400);
        request.waited = Milliseconds(490); // the goal can't be met any more
        const Milliseconds early = RetryAdvice(request).whenBusy(1, true, true);
        BOOST_TEST(early.count() >= 150);
        BOOST_TEST(early.count() <= 1'000);
        BOOST_TEST(RetryAdvice(request).whenBusy(1, true, false).count() >= 1'000);
    }
}

BOOST_AUTO_TEST_CASE(callers_without_a_deadline_get_the_fixed_delays)
{
    ReplicaQuery request = query(0);
    request.timeLeft = Milliseconds(0);
    BOOST_TEST(RetryAdvice(request).whenNoneUsable().count() == 400);
    BOOST_TEST(RetryAdvice(request).whenBusy(1, true).count() < 400);
    request.engine = nullptr;
    BOOST_TEST(RetryAdvice(request).whenBusy(1, true).count() == 100);
}

BOOST_AUTO_TEST_CASE(refusal_ratio_rises_with_many_refusals_and_decays)
{
    RefusalRatio refusals;
    BOOST_TEST(refusals.ratio(at(0)) == 0);
    for (int call = 0; call < 100; ++call) {
        refusals.note(true, at(call * 20));
    }
    refusals.note(false, at(2'000));
    BOOST_TEST(refusals.ratio(at(2'000)) < 0.05); // a single refusal is no overload
    for (int call = 0; call < 20; ++call) {
        refusals.note(call % 2 == 0, at(2'000 + call * 20));
    }
    BOOST_TEST(refusals.ratio(at(2'400)) > 0.15);
    for (int call = 0; call < 200; ++call) {
        refusals.note(true, at(2'400 + call * 20));
    }
    BOOST_TEST(refusals.ratio(at(6'400)) < 0.05);
}
