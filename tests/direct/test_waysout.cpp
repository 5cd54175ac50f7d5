/*
 * test_waysout.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "replicaset.h"

#include <functional>
#include <string>
#include <vector>

using namespace Loom;

namespace {

constexpr std::uint32_t sSlots = 16;
constexpr int sReportIntervalMs = 100;
constexpr int sMaxRestMs = 1'000;
constexpr int sMaxBackoffMs = 4'000;
constexpr int sLimitLifetimeMs = 10'000;

/** A state in which a gateway sends a replica fewer requests or none. */
struct AvoidedState
{
    std::string name;
    std::function<void(ReplicaSet &set)> enter; ///< at 0 ms
    std::uint32_t runningOfOthers = 0; ///< in the reports after that
    int maxMs = 0; ///< stated time until the replica gets a request again
};

ReplicaLoad load(std::uint32_t running)
{
    ReplicaLoad load;
    load.running = running;
    load.weightsVersion = 1;
    return load;
}

void refuse(ReplicaSet &set, std::uint32_t runningOfOthers)
{
    set.report("10.0.0.1:1", load(runningOfOthers), at(0));
    set.began("r1", false, at(0));
    set.applyNotice("r1", 0, {false, Milliseconds(sMaxRestMs), {}}, at(0));
    set.ended("r1", ReplicaOutcome::Refused, at(0));
}

void failOften(ReplicaSet &set)
{
    for (int count = 0; count < 20; ++count) {
        set.began("r1", false, at(0));
        set.ended("r1", ReplicaOutcome::Broken, at(0));
    }
}

void answerSlowly(ReplicaSet &set)
{
    for (int count = 0; count < 20; ++count) {
        set.began("r1", false, at(0));
        set.answerStarted("r1", false, std::chrono::seconds(10));
        set.ended("r1", ReplicaOutcome::Answered, at(0));
    }
}

void limitRate(ReplicaSet &set)
{
    set.noteNamedLimit("r1", 0.5, at(0));
    set.setRateLimitedUntil("r1", at(2'000));
}

const std::vector<AvoidedState> sStates{
    {"rest of an idle replica", [](ReplicaSet &set) { refuse(set, 0); }, 4, sMaxRestMs},
    {"rest of a replica with one request", [](ReplicaSet &set) { refuse(set, 1); }, 1, sMaxRestMs},
    {"rest of a replica below half its slots", [](ReplicaSet &set) { refuse(set, 7); }, 7,
     sMaxRestMs},
    {"rest of a half full replica", [](ReplicaSet &set) { refuse(set, 8); }, 8,
     sMaxRestMs + sLimitLifetimeMs},
    {"rest of a full replica", [](ReplicaSet &set) { refuse(set, sSlots); }, 4, sMaxRestMs},
    {"consecutive failures", failOften, 4, sMaxBackoffMs},
    {"slow answers", answerSlowly, 4, sReportIntervalMs},
    {"rate limit", limitRate, 4, 2'000},
    {"lost agent", [](ReplicaSet &set) { set.reportLost("10.0.0.1:1"); }, 4, sReportIntervalMs},
};

} // namespace

// Guards against states that only a success of this gateway ends, while the state keeps it
// from sending anything. Other gateways use the replica throughout.
BOOST_AUTO_TEST_CASE(each_avoided_state_ends_in_its_stated_time_whatever_others_send)
{
    EngineProfile figures;
    figures.slots = sSlots;
    figures.stepMs = 7;
    figures.prefillTokensPerMs = 30;
    figures.stepsPerPass = 6;
    figures.meanPromptTokens = 900;
    figures.meanAnswerTokens = 120;
    ReplicaRecord record;
    record.id = "r1";
    record.service = "scorer";
    record.address = "10.0.0.1:1";
    record.slots = sSlots;
    record.weightsVersion = 1;
    ReplicaQuery query;
    query.service = "scorer";
    query.engine = &figures;
    query.goal = Milliseconds(1'000);
    query.promptTokens = 900;
    query.minVersion = 1;
    for (const AvoidedState &state : sStates) {
        ReplicaSet set(Milliseconds(2'000));
        set.put(record, at(0));
        set.report(record.address, load(0), at(0));
        state.enter(set);
        set.report(record.address, load(state.runningOfOthers), at(state.maxMs));
        const ReplicaChoice choice = set.choose(query, at(state.maxMs));
        BOOST_TEST(std::holds_alternative<ChosenReplica>(choice), state.name);
    }
}
