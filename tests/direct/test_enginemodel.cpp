/*
 * test_enginemodel.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "enginemodel.h"

using namespace Loom;

namespace {

EngineProfile figures()
{
    EngineProfile figures;
    figures.slots = 16;
    figures.stepMs = 8;
    figures.prefillTokensPerMs = 32;
    figures.stepsPerPass = 6;
    figures.meanPromptTokens = 960;
    figures.meanAnswerTokens = 96;
    return figures;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_idle_engine_reads_the_prompt_and_plays_a_pass)
{
    const EngineProfile told = figures();
    const EngineModel model(told);
    BOOST_TEST(model.pass(0) == 48);
    BOOST_TEST(model.read(640) == 20);
    // Half a pass until it is looked at, its own reading, and its first pass.
    BOOST_TEST(model.firstEvent({0, 0, 1}, 640) == 24 + 20 + 48);
    BOOST_TEST(model.firstEvent({0, 0, 2}, 640) == 2 * (24 + 20 + 48));
}

BOOST_AUTO_TEST_CASE(prompts_that_wait_are_read_first)
{
    const EngineProfile told = figures();
    const EngineModel model(told);
    const double alone = model.firstEvent({4, 0, 1}, 960);
    BOOST_TEST(model.firstEvent({4, 5, 1}, 960) == alone + 5 * 30);
}

BOOST_AUTO_TEST_CASE(beyond_the_slots_each_turn_counts)
{
    const EngineProfile told = figures();
    const EngineModel model(told);
    BOOST_TEST(model.turn() == 30 + 96 * 8.0 / 16);
    const double full = model.firstEvent({15, 0, 1}, 960);
    // One more runs in the pass that is under way.
    const double longer = (model.steadyPass(16) - model.steadyPass(15)) / 2;
    BOOST_TEST(model.firstEvent({16, 0, 1}, 960) == full + longer + model.turn());
    BOOST_TEST(model.firstEvent({16, 3, 1}, 960) == full + longer + 4 * model.turn());
}

BOOST_AUTO_TEST_CASE(passes_of_a_busy_engine_read_the_prompts_of_those_who_come)
{
    const EngineProfile told = figures();
    const EngineModel model(told);
    // A request writes 16 events of 6 tokens: of 16 writers one is new in each pass.
    BOOST_TEST(model.steadyPass(16) == 48 + 30);
    BOOST_TEST(model.steadyPass(0) == 48);
}

BOOST_AUTO_TEST_CASE(room_is_what_still_meets_the_limit)
{
    const EngineProfile told = figures();
    const EngineModel model(told);
    for (const double running : {0.0, 14.0, 16.0}) {
        const EngineWork work{running, 0, 1};
        const double room = model.room(work, 960, 400);
        BOOST_TEST(model.firstEvent({running, room - 1, 1}, 960) <= 400);
        BOOST_TEST(model.firstEvent({running, room, 1}, 960) > 400);
    }
    BOOST_TEST(model.room({16, 20, 1}, 960, 400) == 0);
}
