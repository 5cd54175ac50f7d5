/*
 * test_lockedout.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE lockedout
#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "replicaset.h"

using namespace Loom;

namespace {

constexpr std::uint32_t sSlots = 16;

EngineProfile engine()
{
    EngineProfile figures;
    figures.slots = sSlots;
    figures.stepMs = 7;
    figures.prefillTokensPerMs = 30;
    figures.stepsPerPass = 6;
    figures.meanPromptTokens = 900;
    figures.meanAnswerTokens = 120;
    return figures;
}

ReplicaLoad load(std::uint32_t running)
{
    ReplicaLoad load;
    load.running = running;
    load.weightsVersion = 1;
    return load;
}

} // namespace

// A replica refused a request of this gateway while it had no others. After its rest, other
// gateways use it again, so that a quarter of its slots is in use at each report.
BOOST_AUTO_TEST_CASE(gateway_returns_to_a_rested_replica_that_others_keep_busy)
{
    const EngineProfile figures = engine();
    ReplicaRecord record;
    record.id = "r1";
    record.service = "scorer";
    record.address = "10.0.0.1:1";
    record.slots = sSlots;
    record.weightsVersion = 1;
    ReplicaSet set(Milliseconds(2'000));
    set.put(record, at(0));
    set.report(record.address, load(0), at(0));
    set.began("r1", false, at(1));
    set.applyNotice("r1", 0, {false, Milliseconds(1'000), {}}, at(5));
    set.ended("r1", ReplicaOutcome::Refused, at(5));
    ReplicaQuery query;
    query.service = "scorer";
    query.engine = &figures;
    query.goal = Milliseconds(1'000);
    query.promptTokens = 900;
    query.minVersion = 1;
    bool isUsed = false;
    for (int time = 1'100; time < 60'000 && !isUsed; time += 100) {
        set.report(record.address, load(sSlots / 4), at(time));
        isUsed = std::holds_alternative<ChosenReplica>(set.choose(query, at(time)));
    }
    BOOST_TEST(isUsed);
}
