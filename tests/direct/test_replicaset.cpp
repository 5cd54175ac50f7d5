/*
 * test_replicaset.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "replicaset.h"
#include "weightversiontracker.h"

using namespace Loom;

namespace {

EngineProfile engine()
{
    EngineProfile figures;
    figures.slots = 16;
    figures.stepMs = 7.4;
    figures.perSequenceMs = 0.0387;
    figures.contextMsPer1kTokens = 0.0203;
    figures.prefillTokensPerMs = 31.9;
    figures.stepsPerPass = 6;
    figures.meanPromptTokens = 973;
    figures.meanAnswerTokens = 106;
    return figures;
}

const EngineProfile sEngine = engine();
constexpr Milliseconds sDrainTime{2'000};

ReplicaRecord record(std::string id, std::string dataCentre, std::uint64_t version = 1)
{
    ReplicaRecord record;
    record.id = id;
    record.service = "scorer";
    record.address = "10.0.0.1:" + id.substr(1);
    record.dataCentre = std::move(dataCentre);
    record.slots = 16;
    record.weightsVersion = version;
    return record;
}

ReplicaQuery query()
{
    ReplicaQuery query;
    query.service = "scorer";
    query.dataCentre = "here";
    query.engine = &sEngine;
    query.goal = Milliseconds(400);
    query.minVersion = 1;
    return query;
}

std::string chosen(const ReplicaSet &set, const ReplicaQuery &request, Instant now)
{
    const ReplicaChoice choice = set.choose(request, now);
    const auto *replica = std::get_if<ChosenReplica>(&choice);
    return replica == nullptr ? "" : replica->id;
}

} // namespace

BOOST_AUTO_TEST_CASE(draining_removed_and_unloaded_replicas_get_no_requests)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here"), at(0));
    BOOST_TEST(chosen(set, query(), at(0)) == "r1");
    ReplicaRecord draining = record("r1", "here");
    draining.isDraining = true;
    set.put(draining, at(0));
    BOOST_TEST(chosen(set, query(), at(0)) == "");
    // A late record of the same incarnation does not make the replica available again.
    set.put(record("r1", "here"), at(0));
    BOOST_TEST(chosen(set, query(), at(0)) == "");
    set.put(record("r2", "here", 0), at(0));
    BOOST_TEST(chosen(set, query(), at(0)) == "");
    set.put(record("r3", "here"), at(0));
    set.remove("r3", true, Microseconds(0), at(10));
    BOOST_TEST(chosen(set, query(), at(10)) == "");
}

BOOST_AUTO_TEST_CASE(untrusted_removal_keeps_the_replica_for_a_grace_period)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here"), at(0));
    set.remove("r1", false, Microseconds(0), at(0));
    BOOST_TEST(chosen(set, query(), at(1'400)) == "r1");
    // The replica may have left for good, so its use ends before the drain time does.
    BOOST_TEST(chosen(set, query(), at(1'600)) == "");
    set.put(record("r1", "here"), at(0));
    BOOST_TEST(chosen(set, query(), at(2'700)) == "r1");
}

// A replica drained, stopped and started again with the same id. Its new incarnation was still
// treated as draining and was never used again:
//   replica-state  replica=r1 draining=true  weights=2
//   replica-state  replica=r1 draining=false weights=1
//   call           outcome=refused reason="no replica can take it"
BOOST_AUTO_TEST_CASE(restart_with_the_same_id_discards_the_earlier_state)
{
    ReplicaSet set(sDrainTime);
    ReplicaRecord first = record("r1", "here", 2);
    first.born = 1'000;
    set.put(first, at(0));
    ReplicaLoad full;
    full.running = 16;
    full.waiting = 100;
    full.weightsVersion = 2;
    set.report(first.address, full, at(0));
    set.began("r1", false, at(0));
    set.ended("r1", ReplicaOutcome::Broken, at(0));
    first.isDraining = true;
    set.put(first, at(1));
    BOOST_TEST(chosen(set, query(), at(1)) == "");
    ReplicaRecord second = record("r1", "here", 1);
    second.born = 9'000;
    set.put(second, at(2));
    BOOST_TEST(chosen(set, query(), at(2)) == "r1");
    BOOST_TEST(set.find("r1")->weightsVersion() == 1U);
    BOOST_TEST(set.find("r1")->inFlight == 0U);
    BOOST_TEST(!set.find("r1")->load.has_value());
}

BOOST_AUTO_TEST_CASE(restart_discards_the_earlier_weights_version)
{
    ReplicaSet set(sDrainTime);
    ReplicaRecord first = record("r1", "here", 3);
    first.born = 1'000;
    set.put(first, at(0));
    ReplicaRecord second = record("r1", "here", 0);
    second.born = 500; // its clock was set back in between
    set.put(second, at(2));
    BOOST_TEST(set.find("r1")->weightsVersion() == 0U);
    BOOST_TEST(chosen(set, query(), at(2)) == "");
}

BOOST_AUTO_TEST_CASE(first_known_start_time_is_not_a_restart)
{
    ReplicaSet set(sDrainTime);
    ReplicaRecord draining = record("r1", "here");
    draining.isDraining = true;
    set.put(draining, at(0));
    ReplicaRecord told = record("r1", "here");
    told.born = 1'000;
    set.put(told, at(1));
    BOOST_TEST(chosen(set, query(), at(1)) == "");
}

BOOST_AUTO_TEST_CASE(record_with_another_start_time_differs)
{
    ReplicaRecord first = record("r1", "here");
    first.born = 1'000;
    ReplicaRecord second = first;
    BOOST_TEST(first.hasSameContent(second));
    second.born = 2'000;
    BOOST_TEST(!first.hasSameContent(second));
}

BOOST_AUTO_TEST_CASE(unreadable_record_disables_the_replica_until_the_next_record)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here"), at(0));
    set.put(record("r2", "elsewhere"), at(0));
    set.unreadable("r1", at(1));
    BOOST_TEST(chosen(set, query(), at(1)) == "r2");
    BOOST_TEST(set.find("r1") != nullptr);
    set.unreadable("r3", at(1)); // an unknown replica
    BOOST_TEST(set.find("r3") == nullptr);
    set.put(record("r1", "here"), at(2));
    BOOST_TEST(chosen(set, query(), at(2)) == "r1");
}

// A load of new weights may interrupt running streams, and each of them counts as a failure.
// The replica would be avoided for up to 4 s after the load. Found by reading the code; it
// was not seen in a log.
BOOST_AUTO_TEST_CASE(new_weights_clear_the_failures_that_their_load_caused)
{
    ReplicaSet set(sDrainTime);
    const ReplicaRecord replica = record("r1", "here", 1);
    set.put(replica, at(0));
    ReplicaLoad load;
    load.weightsVersion = 1;
    set.report(replica.address, load, at(0));
    for (int stream = 0; stream < 4; ++stream) {
        set.began("r1", false, at(0));
    }
    for (int stream = 0; stream < 4; ++stream) {
        set.ended("r1", ReplicaOutcome::Broken, at(100));
    }
    set.report(replica.address, load, at(400));
    BOOST_TEST(chosen(set, query(), at(400)) == "");
    load.weightsVersion = 2;
    set.report(replica.address, load, at(450));
    BOOST_TEST(chosen(set, query(), at(450)) == "r1");
    BOOST_TEST(set.find("r1")->failures == 0U);
}

BOOST_AUTO_TEST_CASE(trusted_removal_ends_the_grace_period_of_an_untrusted_one)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here"), at(0));
    set.remove("r1", false, Microseconds(0), at(0));
    BOOST_TEST(chosen(set, query(), at(300)) == "r1");
    set.remove("r1", true, Microseconds(0), at(400));
    BOOST_TEST(chosen(set, query(), at(400)) == "");
    // A later untrusted removal changes nothing.
    set.remove("r1", false, Microseconds(0), at(500));
    BOOST_TEST(chosen(set, query(), at(500)) == "");
}

BOOST_AUTO_TEST_CASE(grace_period_starts_when_the_record_was_removed)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here"), at(0));
    set.remove("r1", false, Milliseconds(1'300), at(1'300));
    BOOST_TEST(chosen(set, query(), at(1'400)) == "r1");
    BOOST_TEST(chosen(set, query(), at(1'600)) == "");
    set.put(record("r2", "here"), at(0));
    set.remove("r2", false, std::chrono::hours(24), at(5'000));
    BOOST_TEST(chosen(set, query(), at(5'000)) == "");
    set.put(record("r3", "here"), at(0));
    set.remove("r3", false, std::nullopt, at(5'000));
    BOOST_TEST(chosen(set, query(), at(5'000)) == "");
}

BOOST_AUTO_TEST_CASE(replicas_with_outdated_or_loading_weights_get_no_requests)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here", 1), at(0));
    ReplicaQuery request = query();
    request.minVersion = 2;
    BOOST_TEST(chosen(set, request, at(0)) == "");
    // The agent of its box reports new weights sooner than the store.
    ReplicaLoad load;
    load.weightsVersion = 2;
    set.report("10.0.0.1:1", load, at(0));
    BOOST_TEST(chosen(set, request, at(0)) == "r1");
    load.isAccepting = false;
    set.report("10.0.0.1:1", load, at(10));
    BOOST_TEST(chosen(set, request, at(10)) == "");
}

BOOST_AUTO_TEST_CASE(least_loaded_replica_is_chosen_and_the_local_one_on_a_tie)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "there"), at(0));
    set.put(record("r2", "here"), at(0));
    BOOST_TEST(chosen(set, query(), at(0)) == "r2");
    ReplicaLoad busy;
    busy.weightsVersion = 1;
    busy.waiting = 4;
    set.report("10.0.0.1:2", busy, at(0));
    BOOST_TEST(chosen(set, query(), at(0)) == "r1");
    // Requests that this gateway sent after the report are added to it.
    for (int i = 0; i < 6; ++i) {
        set.began("r1", false, at(0));
    }
    BOOST_TEST(chosen(set, query(), at(0)) == "r2");
}

BOOST_AUTO_TEST_CASE(consecutive_failures_double_the_backoff)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here"), at(0));
    set.began("r1", false, at(0));
    set.ended("r1", ReplicaOutcome::Broken, at(0));
    BOOST_TEST(chosen(set, query(), at(200)) == "");
    BOOST_TEST(chosen(set, query(), at(300)) == "r1");
    set.began("r1", false, at(0));
    set.ended("r1", ReplicaOutcome::Broken, at(300));
    BOOST_TEST(chosen(set, query(), at(700)) == "");
    BOOST_TEST(chosen(set, query(), at(900)) == "r1");
    set.began("r1", false, at(0));
    set.ended("r1", ReplicaOutcome::Answered, at(900));
    BOOST_TEST(set.find("r1")->failures == 0U);
}

BOOST_AUTO_TEST_CASE(patient_requests_do_not_delay_requests_that_meet_their_goal)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here"), at(0));
    ReplicaLoad full;
    full.weightsVersion = 1;
    full.running = 16;
    full.waiting = 6;
    set.report("10.0.0.1:1", full, at(0));
    BOOST_TEST(chosen(set, query(), at(0)) == "");
    // Five of the same six yield to new requests.
    full.waitingPatient = 5;
    set.report("10.0.0.1:1", full, at(10));
    const ReplicaChoice prompt = set.choose(query(), at(10));
    BOOST_TEST(!std::get<ChosenReplica>(prompt).isPatient);
}

BOOST_AUTO_TEST_CASE(requests_past_their_goal_only_use_slots_that_would_stay_free)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here"), at(0));
    ReplicaQuery late = query();
    late.waited = late.goal + Milliseconds(200);
    ReplicaLoad load;
    load.weightsVersion = 1;
    load.running = 15;
    set.report("10.0.0.1:1", load, at(0));
    const ReplicaChoice choice = set.choose(late, at(0));
    BOOST_REQUIRE(std::holds_alternative<ChosenReplica>(choice));
    BOOST_TEST(std::get<ChosenReplica>(choice).isPatient);
    // The last slot is needed for calls that can still meet their goal.
    for (int call = 0; call < 40; ++call) {
        set.noteCall("scorer", query().goal, at(0));
    }
    BOOST_TEST(std::holds_alternative<AllBusy>(set.choose(late, at(0))));
    BOOST_TEST(chosen(set, query(), at(0)) == "r1");
    load.running = 16;
    set.report("10.0.0.1:1", load, at(60'000));
    BOOST_TEST(std::holds_alternative<AllBusy>(set.choose(late, at(60'000))));
}

BOOST_AUTO_TEST_CASE(goal_counts_from_the_first_attempt)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here"), at(0));
    ReplicaLoad load;
    load.weightsVersion = 1;
    load.running = 16;
    load.waiting = 1;
    set.report("10.0.0.1:1", load, at(0));
    ReplicaQuery request = query();
    BOOST_TEST(chosen(set, request, at(0)) == "r1");
    request.waited = Milliseconds(200);
    BOOST_TEST(chosen(set, request, at(0)) == "");
}

BOOST_AUTO_TEST_CASE(resumed_stream_is_queued_rather_than_refused)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here"), at(0));
    ReplicaLoad full;
    full.weightsVersion = 1;
    full.running = 16;
    full.waiting = 4;
    set.report("10.0.0.1:1", full, at(0));
    ReplicaQuery request = query();
    BOOST_TEST(chosen(set, request, at(0)) == "");
    request.isResumed = true;
    BOOST_TEST(chosen(set, request, at(0)) == "r1");
    full.waiting = 10;
    set.report("10.0.0.1:1", full, at(10));
    BOOST_TEST(chosen(set, request, at(10)) == "");
}

BOOST_AUTO_TEST_CASE(capacity_of_one_replica_is_shared_among_all_gateways)
{
    // Eleven of twelve replicas are full, and one has capacity for a few requests. Twenty
    // gateways know it and get 2,000 calls per second.
    ReplicaSet set(sDrainTime);
    for (int index = 1; index <= 12; ++index) {
        set.put(record("r" + std::to_string(index), "here"), at(0));
        ReplicaLoad load;
        load.weightsVersion = 1;
        load.running = 16;
        load.waiting = index == 1 ? 0 : 8;
        set.report("10.0.0.1:" + std::to_string(index), load, at(10'000));
    }
    for (int call = 0; call < 1'000; ++call) {
        set.noteCall("scorer", query().goal, at(call * 10));
    }
    int sent = 0;
    constexpr int calls = 2'000;
    for (std::uint64_t random = 1; random <= calls; ++random) {
        ReplicaQuery request = query();
        request.gatewayCount = 20;
        request.random = random * 0x9e3779b97f4a7c15ULL;
        sent += chosen(set, request, at(10'000)).empty() ? 0 : 1;
    }
    // 200 calls arrive until the next report, 100 ms later. All of them together would fill
    // that replica's queue for seconds.
    const double perReport = 200.0 * sent / calls;
    BOOST_TEST(perReport > 1);
    BOOST_TEST(perReport < 6);
}

BOOST_AUTO_TEST_CASE(requests_with_longer_goals_do_not_take_all_capacity)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here"), at(0));
    ReplicaLoad load;
    load.weightsVersion = 1;
    load.running = 15;
    set.report("10.0.0.1:1", load, at(0));
    const auto shareSent = [&](Milliseconds goal) {
        int sent = 0;
        for (std::uint64_t random = 1; random <= 1'000; ++random) {
            ReplicaQuery request = query();
            request.goal = goal;
            request.random = random * 0x9e3779b97f4a7c15ULL;
            sent += chosen(set, request, at(10)).empty() ? 0 : 1;
        }
        return sent;
    };
    for (int call = 0; call < 200; ++call) {
        set.noteCall("scorer", Milliseconds(call % 2 == 0 ? 300 : 1'500), at(0));
    }
    const int shortGoal = shareSent(Milliseconds(300));
    const int longGoal = shareSent(Milliseconds(1'500));
    BOOST_TEST(shortGoal > 0);
    BOOST_TEST(std::abs(shortGoal - longGoal) < 100);
}

BOOST_AUTO_TEST_CASE(gateways_with_the_same_reports_spread_their_choices)
{
    // One of twenty replicas is idle, and the others have a few free slots.
    ReplicaSet set(sDrainTime);
    for (int index = 1; index <= 20; ++index) {
        const std::string id = "r" + std::to_string(index);
        set.put(record(id, "here"), at(0));
        ReplicaLoad load;
        load.weightsVersion = 1;
        load.running = index == 1 ? 0 : 12;
        set.report("10.0.0.1:" + std::to_string(index), load, at(10'000));
    }
    const auto shareOfEmpty = [&] {
        int empty = 0;
        for (std::uint64_t random = 1; random <= 1'000; ++random) {
            ReplicaQuery request = query();
            request.random = random * 0x9e3779b97f4a7c15ULL;
            request.gatewayCount = 3;
            empty += chosen(set, request, at(10'050)) == "r1" ? 1 : 0;
        }
        return empty;
    };
    // Without other calls, a request takes the best of the replicas that it examines.
    BOOST_TEST(shareOfEmpty() > 600);
    // At 800 calls per second, the idle replica gets little more than its share until the next
    // report.
    for (int call = 0; call < 400; ++call) {
        set.noteCall("scorer", query().goal, at(10'000 + call / 10));
    }
    BOOST_TEST(shareOfEmpty() < 150);
    BOOST_TEST(shareOfEmpty() > 40);
}

BOOST_AUTO_TEST_CASE(replica_with_a_silent_agent_is_a_last_resort)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here"), at(0));
    set.put(record("r2", "there"), at(0));
    ReplicaLoad load;
    load.weightsVersion = 1;
    set.report("10.0.0.1:1", load, at(0));
    load.running = 10;
    set.report("10.0.0.1:2", load, at(400));
    BOOST_TEST(chosen(set, query(), at(300)) == "r1");
    BOOST_TEST(chosen(set, query(), at(400)) == "r2");
    set.remove("r2", true, Microseconds(0), at(410));
    BOOST_TEST(chosen(set, query(), at(420)) == "r1");
}

BOOST_AUTO_TEST_CASE(expiring_weights_only_take_requests_that_start_at_once)
{
    WeightVersionTracker goal(Milliseconds(8'000));
    goal.name("m", 2, at(-7'000)); // version 1 may start requests until 1 s
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here", 1), at(0));
    ReplicaLoad load;
    load.weightsVersion = 1;
    load.running = 3;
    load.roundTrip = Milliseconds(5);
    ReplicaQuery request = query();
    request.weights = &goal;
    request.model = "m";
    const std::vector<std::string> answered{"r1"};
    request.answered = answered;
    BOOST_TEST(chosen(set, request, at(0)) == ""); // there is no report of it
    set.report("10.0.0.1:1", load, at(0));
    BOOST_TEST(chosen(set, request, at(100)) == "r1");
    BOOST_TEST(chosen(set, request, at(200)) == ""); // the report is too old
    load.isLinkSlow = true;
    set.report("10.0.0.1:1", load, at(250));
    BOOST_TEST(chosen(set, request, at(260)) == "");
    load.isLinkSlow = false;
    load.waiting = 8;
    set.report("10.0.0.1:1", load, at(300));
    BOOST_TEST(chosen(set, request, at(310)) == "");
    load.waiting = 0;
    set.report("10.0.0.1:1", load, at(400));
    set.began("r1", false, at(400));
    set.ended("r1", ReplicaOutcome::Failed, at(400));
    BOOST_TEST(chosen(set, request, at(410)) == "r1");
}

BOOST_AUTO_TEST_CASE(weights_with_time_left_take_requests_that_start_well_before_expiry)
{
    WeightVersionTracker goal(Milliseconds(8'000));
    goal.name("m", 2, at(-6'000)); // version 1 may begin requests until 2 s
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here", 1), at(0));
    ReplicaQuery request = query();
    request.weights = &goal;
    request.model = "m";
    request.goal = Milliseconds(5'000);
    const std::vector<std::string> answered{"r1"};
    request.answered = answered;
    ReplicaLoad load;
    load.weightsVersion = 1;
    load.roundTrip = Milliseconds(5);
    load.running = 16;
    load.waiting = 2;
    set.report("10.0.0.1:1", load, at(0));
    BOOST_TEST(chosen(set, request, at(200)) == "r1");
    BOOST_TEST(chosen(set, request, at(400)) == ""); // its agent is silent for too long
    load.waiting = 10; // a wait of more than a second is too uncertain
    set.report("10.0.0.1:1", load, at(500));
    BOOST_TEST(chosen(set, request, at(500)) == "");
    // With newer weights the replica accepts any request.
    load.weightsVersion = 2;
    set.report("10.0.0.1:1", load, at(600));
    BOOST_TEST(chosen(set, request, at(600)) == "r1");
}

// A gateway sent two requests to replicas in another data centre 1.58 s and 1.52 s before the
// expiry of their weights; sending stopped 1.3 s before it. The link between the data centres
// was congested and queued the requests for 1.50 s, so that both started 22 and 29 ms too
// late. At the time, a report of up to 350 ms before was taken as proof of a fast link, and a
// replica with a silent agent was used when there was no other.
BOOST_AUTO_TEST_CASE(expiring_weights_require_a_recent_fast_probe)
{
    WeightVersionTracker goal(Milliseconds(8'000));
    goal.name("m", 2, at(-6'000)); // version 1 may begin requests until 2 s
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here", 1), at(0));
    ReplicaQuery request = query();
    request.weights = &goal;
    request.model = "m";
    ReplicaLoad load;
    load.weightsVersion = 1;
    load.roundTrip = Milliseconds(5);
    set.report("10.0.0.1:1", load, at(0));
    BOOST_TEST(chosen(set, request, at(20)) == ""); // no agent answered a probe
    const std::vector<std::string> answered{"r1"};
    request.answered = answered;
    BOOST_TEST(chosen(set, request, at(20)) == "r1");
    load.roundTrip = Milliseconds(200); // an answer to an earlier probe, or a congested link
    set.report("10.0.0.1:1", load, at(30));
    BOOST_TEST(chosen(set, request, at(40)) == "");
    load.roundTrip = Microseconds(0); // an unsolicited report says nothing about the link
    set.report("10.0.0.1:1", load, at(50));
    BOOST_TEST(chosen(set, request, at(60)) == "");
    // Replicas with newer weights may be used anywhere, also without a probe.
    set.put(record("r2", "there", 2), at(60));
    request.answered = {};
    BOOST_TEST(chosen(set, request, at(60)) == "r2");
}

// A gateway determines the lowest usable version before it probes agents, and the weights may
// expire before these have answered.
BOOST_AUTO_TEST_CASE(weights_that_expire_during_probing_get_no_requests)
{
    WeightVersionTracker goal(Milliseconds(8'000));
    goal.name("m", 2, at(-6'000)); // version 1 may begin requests until 2 s
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here", 1), at(0));
    ReplicaQuery request = query();
    request.weights = &goal;
    request.model = "m";
    const std::vector<std::string> answered{"r1"};
    request.answered = answered;
    ReplicaLoad load;
    load.weightsVersion = 1;
    load.roundTrip = Milliseconds(5);
    for (const int time : {1'700, 2'000, 2'500}) {
        set.report("10.0.0.1:1", load, at(time));
        BOOST_TEST(chosen(set, request, at(time)) == "");
    }
}

// In the incident of expiring_weights_require_a_recent_fast_probe, the agents had answered at
// once, and the link became congested right after. On a congested link, a reset cannot
// overtake its request.
BOOST_AUTO_TEST_CASE(expiring_weights_in_another_data_centre_get_no_requests)
{
    WeightVersionTracker goal(Milliseconds(8'000));
    goal.name("m", 2, at(-4'000)); // version 1 may begin requests until 4 s
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "there", 1), at(0));
    ReplicaQuery request = query();
    request.weights = &goal;
    request.model = "m";
    const std::vector<std::string> answered{"r1"};
    request.answered = answered;
    ReplicaLoad load;
    load.weightsVersion = 1;
    load.roundTrip = Milliseconds(5);
    set.report("10.0.0.1:1", load, at(1'200));
    BOOST_TEST(chosen(set, request, at(1'200)) == "r1");
    set.report("10.0.0.1:1", load, at(2'400));
    BOOST_TEST(chosen(set, request, at(2'400)) == "");
    load.weightsVersion = 2;
    set.report("10.0.0.1:1", load, at(2'410));
    BOOST_TEST(chosen(set, request, at(2'410)) == "r1");
}

BOOST_AUTO_TEST_CASE(new_replica_at_an_address_replaces_the_earlier_one)
{
    ReplicaRecord earlier = record("r1", "here");
    earlier.position.offset = 5;
    ReplicaRecord later = record("r2", "here");
    later.position.offset = 9;
    later.address = earlier.address;
    for (const bool isLaterFirst : {false, true}) {
        ReplicaSet set(sDrainTime);
        set.put(isLaterFirst ? later : earlier, at(0));
        set.put(isLaterFirst ? earlier : later, at(1));
        BOOST_TEST(chosen(set, query(), at(2)) == "r2");
        set.replaced("r2", "", at(3));
        BOOST_TEST(chosen(set, query(), at(4)) == "");
    }
}

namespace {

constexpr Milliseconds sTwoHeartbeats{2'400};
constexpr Milliseconds sLapseTime{3'600}; // three heartbeats

/** A record of @p service under another id with the address of @p running, written later. */
ReplicaRecord recordAtAddressOf(const ReplicaRecord &running, std::string service)
{
    ReplicaRecord other = running;
    other.id = "x" + running.id;
    other.service = std::move(service);
    other.position.offset = running.position.offset + 1;
    return other;
}

} // namespace

// Another writer added records with the addresses of running replicas. These counted as ended for
// good, since their later heartbeats had the same content and were skipped.
BOOST_AUTO_TEST_CASE(record_of_another_service_does_not_hide_the_replica_at_its_address)
{
    const ReplicaRecord running = record("r1", "here");
    for (const bool isOtherFirst : {false, true}) {
        ReplicaSet set(sDrainTime);
        const ReplicaRecord other = recordAtAddressOf(running, "batch");
        set.put(isOtherFirst ? other : running, at(0));
        set.put(isOtherFirst ? running : other, at(1));
        BOOST_TEST(chosen(set, query(), at(2)) == "r1");
    }
}

BOOST_AUTO_TEST_CASE(draining_record_does_not_hide_the_replica_at_its_address)
{
    const ReplicaRecord running = record("r1", "here");
    ReplicaRecord other = recordAtAddressOf(running, running.service);
    other.isDraining = true;
    ReplicaSet set(sDrainTime);
    set.put(running, at(0));
    set.put(other, at(1));
    BOOST_TEST(chosen(set, query(), at(2)) == "r1");
}

BOOST_AUTO_TEST_CASE(replica_whose_record_outlives_its_lapse_is_used_again)
{
    const ReplicaRecord running = record("r1", "here");
    ReplicaSet set(sDrainTime);
    set.put(running, at(0));
    set.put(recordAtAddressOf(running, running.service), at(1));
    ReplicaQuery request = query();
    const std::vector<std::string> excluded{"xr1"};
    request.excluded = excluded;
    BOOST_TEST(chosen(set, request, at(2)) == "");
    for (int time = 500; time <= 5'000; time += 500) {
        set.sweep(at(time));
    }
    BOOST_TEST(chosen(set, request, at(1) + sLapseTime + Milliseconds(1'000)) == "r1");
}

BOOST_AUTO_TEST_CASE(replica_that_answers_at_its_address_is_used_again_at_once)
{
    const ReplicaRecord running = record("r1", "here");
    ReplicaRecord other = recordAtAddressOf(running, running.service);
    ReplicaSet set(sDrainTime);
    set.put(running, at(0));
    set.put(other, at(1));
    BOOST_TEST(chosen(set, query(), at(2)) == other.id);
    BOOST_TEST(set.pausedByNotices(running.service, at(2)) == "r1 displaced");
    set.replaced(other.id, running.id, at(3));
    BOOST_TEST(chosen(set, query(), at(4)) == running.id);
    // Later records of the other one hide it no more.
    other.position.offset += 1;
    other.slots += 1;
    set.put(other, at(5));
    BOOST_TEST(chosen(set, query(), at(6)) == running.id);
}

// The answering replica may have ended since, and the other one may run at the address again.
BOOST_AUTO_TEST_CASE(replica_that_another_one_answered_for_is_tried_again)
{
    const ReplicaRecord running = record("r1", "here");
    ReplicaSet set(sDrainTime);
    set.put(running, at(0));
    set.replaced("r1", "r9", at(1));
    BOOST_TEST(chosen(set, query(), at(1) + sTwoHeartbeats) == "");
    BOOST_TEST(chosen(set, query(), at(1) + sLapseTime + Milliseconds(1'000)) == "r1");
}

// Guards against ordering incarnations by offsets of different eras of the store.
BOOST_AUTO_TEST_CASE(replica_that_started_after_a_restore_replaces_the_one_at_a_higher_offset)
{
    ReplicaRecord earlier = record("r1", "here");
    earlier.position = {1, 9};
    ReplicaRecord later = record("r2", "here");
    later.position = {2, 5};
    later.address = earlier.address;
    ReplicaSet set(sDrainTime);
    set.put(earlier, at(0));
    set.put(later, at(1));
    BOOST_TEST(chosen(set, query(), at(2)) == "r2");
}

// Guards against taking a record of the copy for a newer incarnation than one that it lacks.
BOOST_AUTO_TEST_CASE(record_of_the_copy_does_not_replace_a_replica_that_started_later)
{
    ReplicaRecord running = record("r2", "here");
    running.position = {1, 9};
    running.born = 200;
    ReplicaRecord copied = record("r1", "here");
    copied.position = {2, 5};
    copied.born = 100;
    copied.address = running.address;
    ReplicaSet set(sDrainTime);
    set.put(running, at(0));
    set.put(copied, at(1));
    BOOST_TEST(chosen(set, query(), at(2)) == "r2");
}

BOOST_AUTO_TEST_CASE(revived_replica_is_used_only_once_it_is_confirmed)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here"), at(0));
    set.awaitConfirmation("r1", at(10));
    BOOST_TEST(chosen(set, query(), at(3'000)) == "");
    BOOST_TEST(chosen(set, query(), at(4'100)) == "r1");
}

BOOST_AUTO_TEST_CASE(newer_record_of_a_replica_is_told_by_its_content)
{
    ReplicaRecord known = record("r1", "here");
    known.born = 100;
    ReplicaRecord draining = known;
    draining.isDraining = true;
    ReplicaRecord loaded = known;
    loaded.weightsVersion = known.weightsVersion + 1;
    ReplicaRecord restarted = known;
    restarted.born = 200;
    for (const ReplicaRecord &newer : {draining, loaded, restarted}) {
        BOOST_TEST(newer.isNewerThan(known));
        BOOST_TEST(!known.isNewerThan(newer));
    }
    BOOST_TEST(!known.isNewerThan(known));
    // An earlier incarnation that drained is older all the same.
    BOOST_TEST(restarted.isNewerThan(draining));
}

// The own rate times the number of gateways is ten times the calls that there are, if the other
// gateways have none. Calls were refused although there was room for all.
BOOST_AUTO_TEST_CASE(calls_are_shared_by_the_mean_of_the_reported_rates)
{
    const auto admittedCount = [](bool hasReports) {
        ReplicaSet set(sDrainTime);
        ReplicaLoad load;
        load.weightsVersion = 1;
        load.running = 14;
        for (const std::string id : {"r1", "r2", "r3"}) {
            set.put(record(id, "here"), at(0));
        }
        for (int time = 0; time < 6'000; time += 10) {
            set.noteCall("scorer", Milliseconds(400), at(time));
        }
        for (const std::string id : {"1", "2", "3"}) {
            set.report("10.0.0.1:" + id, load, at(5'990));
        }
        for (int gateway = 1; hasReports && gateway < 10; ++gateway) {
            set.demand().report("g" + std::to_string(gateway), {"here", {}}, at(5'900));
        }
        ReplicaQuery request = query();
        request.gatewayCount = 10;
        int admitted = 0;
        for (std::uint64_t random = 0; random < 200; ++random) {
            request.random = random * 0x9e3779b97f4a7c15ULL;
            admitted += chosen(set, request, at(6'000)).empty() ? 0 : 1;
        }
        return admitted;
    };
    const int without = admittedCount(false);
    const int with = admittedCount(true);
    BOOST_TEST_MESSAGE("admitted of 200: " << without << " without reports, " << with << " with");
    BOOST_TEST(without < 120);
    BOOST_TEST(with > 160);
}
