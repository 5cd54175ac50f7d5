/*
 * test_places.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "probedchoice.h"
#include "replicaset.h"
#include "retryadvice.h"

using namespace Loom;

namespace {

constexpr double sMeanTokens = 950;
constexpr double sLargeTokens = 6'000; // misses the goal even at an idle engine

EngineProfile figures()
{
    return {.slots = 12,
            .stepMs = 8.9,
            .perSequenceMs = 0.03,
            .contextMsPer1kTokens = 0.01,
            .prefillTokensPerMs = 19.1,
            .stepsPerPass = 5,
            .meanPromptTokens = sMeanTokens,
            .meanAnswerTokens = 98};
}

/** A gateway that knows replicas with the same load. */
struct Gateway
{
    EngineProfile engine = figures();
    ReplicaSet replicas{Milliseconds(2'000)};

    explicit Gateway(std::uint32_t running)
    {
        for (int index = 0; index < 4; ++index) {
            ReplicaRecord record;
            record.id = "r" + std::to_string(index);
            record.service = "scorer";
            record.address = "10.0.0.1:" + std::to_string(index + 1);
            record.slots = engine.slots;
            record.weightsVersion = 1;
            replicas.put(record, at(0));
            ReplicaLoad load;
            load.running = running;
            load.weightsVersion = 1;
            replicas.report(record.address, load, at(0));
        }
    }

    ReplicaQuery query(double promptTokens) const
    {
        ReplicaQuery query;
        query.service = "scorer";
        query.engine = &engine;
        query.goal = Milliseconds(400);
        query.timeLeft = Milliseconds(6'000);
        query.promptTokens = promptTokens;
        query.minVersion = 1;
        return query;
    }
};

/** A request at engines whose slots are all in use, but soon free enough for one of mean size. */
Gateway busyGateway()
{
    return Gateway(12);
}

} // namespace

// Guards against refusing all large requests while smaller ones are sent to the same replicas.
BOOST_AUTO_TEST_CASE(large_requests_take_their_share_of_the_places_late)
{
    Gateway gateway = busyGateway();
    const ReplicaQuery large = gateway.query(sLargeTokens);
    const ReplicaChoice mean = gateway.replicas.choose(gateway.query(sMeanTokens), at(1));
    BOOST_REQUIRE(std::holds_alternative<ChosenReplica>(mean));
    BOOST_TEST(!std::get<ChosenReplica>(mean).isLateForSize);
    int late = 0;
    int refused = 0;
    for (int call = 0; call < 100; ++call) {
        const ReplicaChoice choice = gateway.replicas.choose(large, at(1));
        gateway.replicas.noteChoice(large, choice, at(1));
        if (const auto *chosen = std::get_if<ChosenReplica>(&choice)) {
            BOOST_TEST(chosen->isLateForSize);
            BOOST_TEST(!chosen->isPatient); // others must not overtake it in the engine
            ++late;
        } else {
            BOOST_TEST(std::get<AllBusy>(choice).isForSize);
            ++refused;
        }
    }
    BOOST_TEST(late >= 70);
    BOOST_TEST(refused > 0);
}

BOOST_AUTO_TEST_CASE(no_request_takes_a_place_where_one_of_mean_size_has_none)
{
    Gateway gateway(24);
    for (const double tokens : {0.0, sMeanTokens, sLargeTokens}) {
        const ReplicaQuery query = gateway.query(tokens);
        const ReplicaChoice choice = gateway.replicas.choose(query, at(1));
        BOOST_REQUIRE(std::holds_alternative<AllBusy>(choice));
        BOOST_TEST(!std::get<AllBusy>(choice).isForSize);
    }
}

// Guards against a place that is passed up in the first round of probes and gone in the second.
BOOST_AUTO_TEST_CASE(search_ends_at_a_place_that_is_due_to_a_large_request)
{
    Gateway gateway = busyGateway();
    ProbedChoice choice(gateway.replicas, gateway.query(sLargeTokens), {});
    choice.replicasToProbe(at(1));
    choice.decide({choice.asked().begin(), choice.asked().end()}, Microseconds(0), at(1));
    BOOST_TEST(choice.isDone());
    BOOST_TEST(std::get<ChosenReplica>(choice.choice()).isLateForSize);
}

// Guards against callers of large requests that return when the places are taken.
BOOST_AUTO_TEST_CASE(callers_of_large_requests_return_as_early_as_others)
{
    const Gateway gateway = busyGateway();
    for (std::uint64_t random = 0; random < 1'024; random += 31) {
        ReplicaQuery large = gateway.query(sLargeTokens);
        ReplicaQuery mean = gateway.query(sMeanTokens);
        large.random = random;
        mean.random = random;
        for (const bool isOverloaded : {false, true}) {
            BOOST_TEST(RetryAdvice(large).whenBusy(1, isOverloaded).count()
                       == RetryAdvice(mean).whenBusy(1, isOverloaded).count());
        }
    }
}

// Guards against an overload that goes unnoticed while the large requests bear it.
BOOST_AUTO_TEST_CASE(refused_large_requests_count_as_overload)
{
    Gateway gateway(24);
    const ReplicaQuery large = gateway.query(sLargeTokens);
    for (int call = 0; call < 50; ++call) {
        gateway.replicas.noteChoice(large, gateway.replicas.choose(large, at(1)), at(1));
    }
    const ReplicaChoice choice = gateway.replicas.choose(gateway.query(sMeanTokens), at(1));
    BOOST_TEST(std::get<AllBusy>(choice).retryAfter.count() >= 1'000); // as under overload
}
