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

BOOST_AUTO_TEST_CASE(idle_engine_reads_the_prompt_and_runs_one_pass)
{
    const EngineProfile engineFigures = figures();
    const EngineModel model(engineFigures);
    BOOST_TEST(model.passMs(0) == 48);
    BOOST_TEST(model.promptReadMs(640) == 20);
    // Half of the current pass, the reading of the prompt, and the first pass.
    BOOST_TEST(model.firstEventMs({0, 0, 1}, 640) == 24 + 20 + 48);
    BOOST_TEST(model.firstEventMs({0, 0, 2}, 640) == 2 * (24 + 20 + 48));
}

BOOST_AUTO_TEST_CASE(waiting_prompts_are_read_before_a_new_one)
{
    const EngineProfile engineFigures = figures();
    const EngineModel model(engineFigures);
    const double alone = model.firstEventMs({4, 0, 1}, 960);
    BOOST_TEST(model.firstEventMs({4, 5, 1}, 960) == alone + 5 * 30);
}

BOOST_AUTO_TEST_CASE(each_request_beyond_the_slots_adds_a_completion_interval)
{
    const EngineProfile engineFigures = figures();
    const EngineModel model(engineFigures);
    BOOST_TEST(model.completionIntervalMs() == 30 + 96 * 8.0 / 16);
    const double full = model.firstEventMs({15, 0, 1}, 960);
    // The current pass has one more request.
    const double longer = (model.steadyPassMs(16) - model.steadyPassMs(15)) / 2;
    BOOST_TEST(model.firstEventMs({16, 0, 1}, 960) == full + longer + model.completionIntervalMs());
    BOOST_TEST(model.firstEventMs({16, 3, 1}, 960)
               == full + longer + 4 * model.completionIntervalMs());
}

BOOST_AUTO_TEST_CASE(passes_of_a_busy_engine_include_prompt_reading)
{
    const EngineProfile engineFigures = figures();
    const EngineModel model(engineFigures);
    // A request generates 16 events of 6 tokens, so one of 16 requests is new in each pass.
    BOOST_TEST(model.steadyPassMs(16) == 48 + 30);
    BOOST_TEST(model.steadyPassMs(0) == 48);
}

BOOST_AUTO_TEST_CASE(room_is_the_number_of_requests_within_the_limit)
{
    const EngineProfile engineFigures = figures();
    const EngineModel model(engineFigures);
    for (const double running : {0.0, 14.0, 16.0}) {
        const EngineLoad work{running, 0, 1};
        const double room = model.room(work, 960, 400);
        BOOST_TEST(model.firstEventMs({running, room - 1, 1}, 960) <= 400);
        BOOST_TEST(model.firstEventMs({running, room, 1}, 960) > 400);
    }
    BOOST_TEST(model.room({16, 20, 1}, 960, 400) == 0);
}
