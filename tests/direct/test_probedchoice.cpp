/*
 * test_probedchoice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "probedchoice.h"
#include "replicaset.h"

using namespace Loom;

// Guards against a crash of the gateway: a choice waits for agents, and the call that it is made
// for adds replicas to those that it has tried meanwhile, so that a view of them dangles.
BOOST_AUTO_TEST_CASE(choice_keeps_the_tried_replicas_while_it_waits)
{
    const EngineProfile engine{.slots = 4, .stepMs = 5, .prefillTokensPerMs = 100};
    ReplicaSet replicas{Milliseconds(2'000)};
    ReplicaRecord record;
    record.id = "tried";
    record.service = "scorer";
    record.address = "10.0.0.1:1";
    record.weightsVersion = 1;
    replicas.put(record, at(0));
    ReplicaQuery query;
    query.service = "scorer";
    query.engine = &engine;
    query.goal = Milliseconds(1'000);
    query.minVersion = 1;
    std::vector<std::string> tried{"tried"};
    query.excluded = tried;
    ProbedChoice choice(replicas, query, {});
    tried.front() = "other";
    while (!choice.isDone()) {
        choice.replicasToProbe(at(1));
        choice.decide({"tried"}, Microseconds(0), at(1));
    }
    BOOST_TEST(std::holds_alternative<NoneUsable>(choice.choice()));
}
