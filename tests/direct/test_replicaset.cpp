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
#include "weightsgoal.h"

using namespace Loom;

namespace {

EngineFigures engine()
{
    EngineFigures figures;
    figures.slots = 16;
    figures.stepMs = 7.4;
    figures.perSequenceMs = 0.0387;
    figures.contextMsPerK = 0.0203;
    figures.readTokensPerMs = 31.9;
    figures.stepsPerPass = 6;
    figures.usualPrompt = 973;
    figures.usualAnswer = 106;
    return figures;
}

const EngineFigures sEngine = engine();
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

std::string chosen(const ReplicaSet &set, const ReplicaQuery &asked, Instant now)
{
    const ReplicaChoice choice = set.choose(asked, now);
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
    // A late record of the same life does not bring it back.
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
    // It may have left for good: its use ends before the draining time does.
    BOOST_TEST(chosen(set, query(), at(1'600)) == "");
    set.put(record("r1", "here"), at(0));
    BOOST_TEST(chosen(set, query(), at(2'700)) == "r1");
}

// A replica drained, ended and started again with the id that it had. It kept the word
// of its earlier life, that it leaves, and was never used again:
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
    second.born = 500; // its clock was set back meanwhile
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
    set.unreadable("r3", at(1)); // one that nobody knew
    BOOST_TEST(set.find("r3") == nullptr);
    set.put(record("r1", "here"), at(2));
    BOOST_TEST(chosen(set, query(), at(2)) == "r1");
}

// A load of new weights may cut the streams that run, and each of them counts as a failure:
// the replica would be avoided for up to 4 s after it had loaded. Found by reading the code;
// no log shows it.
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
    // A doubtful one after it changes nothing.
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
}

BOOST_AUTO_TEST_CASE(replicas_with_outdated_or_loading_weights_get_no_requests)
{
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here", 1), at(0));
    ReplicaQuery asked = query();
    asked.minVersion = 2;
    BOOST_TEST(chosen(set, asked, at(0)) == "");
    // The stager of its box knows sooner than the store.
    ReplicaLoad load;
    load.weightsVersion = 2;
    set.report("10.0.0.1:1", load, at(0));
    BOOST_TEST(chosen(set, asked, at(0)) == "r1");
    load.isAccepting = false;
    set.report("10.0.0.1:1", load, at(10));
    BOOST_TEST(chosen(set, asked, at(10)) == "");
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
    // What this gateway sent since the report counts on top of it.
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
    // Of the same six, five stand behind whoever comes now.
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
    // Callers come for whom the last place is needed.
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
    ReplicaQuery asked = query();
    BOOST_TEST(chosen(set, asked, at(0)) == "r1");
    asked.waited = Milliseconds(200);
    BOOST_TEST(chosen(set, asked, at(0)) == "");
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
    ReplicaQuery asked = query();
    BOOST_TEST(chosen(set, asked, at(0)) == "");
    asked.isResumed = true;
    BOOST_TEST(chosen(set, asked, at(0)) == "r1");
    full.waiting = 10;
    set.report("10.0.0.1:1", full, at(10));
    BOOST_TEST(chosen(set, asked, at(10)) == "");
}

BOOST_AUTO_TEST_CASE(capacity_of_one_replica_is_shared_among_all_gateways)
{
    // Twelve replicas are full but one, which has room for a few requests.
    // Twenty gateways hear of it, and 2,000 calls a second come to them.
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
        ReplicaQuery asked = query();
        asked.gatewayCount = 20;
        asked.random = random * 0x9e3779b97f4a7c15ULL;
        sent += chosen(set, asked, at(10'000)).empty() ? 0 : 1;
    }
    // Until the next report, 100 ms later, 200 calls come: all of them at once
    // would fill that replica's queue for seconds.
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
            ReplicaQuery asked = query();
            asked.goal = goal;
            asked.random = random * 0x9e3779b97f4a7c15ULL;
            sent += chosen(set, asked, at(10)).empty() ? 0 : 1;
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
    // Twenty replicas, one of them empty, the others with a few places left.
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
            ReplicaQuery asked = query();
            asked.random = random * 0x9e3779b97f4a7c15ULL;
            asked.gatewayCount = 3;
            empty += chosen(set, asked, at(10'050)) == "r1" ? 1 : 0;
        }
        return empty;
    };
    // Nobody calls: whoever comes takes the best of those that it looks at.
    BOOST_TEST(shareOfEmpty() > 600);
    // 800 calls a second: it gets little more than its share until it is heard of again.
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
    WeightsGoal goal(Milliseconds(8'000));
    goal.name("m", 2, at(-7'000)); // version 1 may begin requests until 1 s
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here", 1), at(0));
    ReplicaLoad load;
    load.weightsVersion = 1;
    load.running = 3;
    load.roundTrip = Milliseconds(5);
    ReplicaQuery asked = query();
    asked.weights = &goal;
    asked.model = "m";
    const std::vector<std::string> answered{"r1"};
    asked.answered = answered;
    BOOST_TEST(chosen(set, asked, at(0)) == ""); // nothing is known of it
    set.report("10.0.0.1:1", load, at(0));
    BOOST_TEST(chosen(set, asked, at(100)) == "r1");
    BOOST_TEST(chosen(set, asked, at(200)) == ""); // known, but a while ago
    load.isLinkSlow = true;
    set.report("10.0.0.1:1", load, at(250));
    BOOST_TEST(chosen(set, asked, at(260)) == "");
    load.isLinkSlow = false;
    load.waiting = 8;
    set.report("10.0.0.1:1", load, at(300));
    BOOST_TEST(chosen(set, asked, at(310)) == "");
    load.waiting = 0;
    set.report("10.0.0.1:1", load, at(400));
    set.began("r1", false, at(400));
    set.ended("r1", ReplicaOutcome::Failed, at(400));
    BOOST_TEST(chosen(set, asked, at(410)) == "r1");
}

BOOST_AUTO_TEST_CASE(weights_with_time_left_take_requests_that_start_well_before_expiry)
{
    WeightsGoal goal(Milliseconds(8'000));
    goal.name("m", 2, at(-6'000)); // version 1 may begin requests until 2 s
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here", 1), at(0));
    ReplicaQuery asked = query();
    asked.weights = &goal;
    asked.model = "m";
    asked.goal = Milliseconds(5'000);
    const std::vector<std::string> answered{"r1"};
    asked.answered = answered;
    ReplicaLoad load;
    load.weightsVersion = 1;
    load.roundTrip = Milliseconds(5);
    load.running = 16;
    load.waiting = 2;
    set.report("10.0.0.1:1", load, at(0));
    BOOST_TEST(chosen(set, asked, at(200)) == "r1");
    BOOST_TEST(chosen(set, asked, at(400)) == ""); // silent for too long
    load.waiting = 10; // a second and more: too long to be sure of
    set.report("10.0.0.1:1", load, at(500));
    BOOST_TEST(chosen(set, asked, at(500)) == "");
    // With newer weights it takes anything.
    load.weightsVersion = 2;
    set.report("10.0.0.1:1", load, at(600));
    BOOST_TEST(chosen(set, asked, at(600)) == "r1");
}

// A gateway sent requests on older weights to replicas in another data centre 1.58 s
// and 1.52 s before their end. Sending stopped 1.3 s before it. The link between the
// data centres stood full, the requests lay on it for 1.50 s, and both began after the
// end: 22 and 29 ms late. What had been heard of a replica up to 350 ms before counted as
// knowledge of the way there, and a replica with a silent agent was used when no
// other was.
BOOST_AUTO_TEST_CASE(expiring_weights_require_a_recent_fast_probe)
{
    WeightsGoal goal(Milliseconds(8'000));
    goal.name("m", 2, at(-6'000)); // version 1 may begin requests until 2 s
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here", 1), at(0));
    ReplicaQuery asked = query();
    asked.weights = &goal;
    asked.model = "m";
    ReplicaLoad load;
    load.weightsVersion = 1;
    load.roundTrip = Milliseconds(5);
    set.report("10.0.0.1:1", load, at(0));
    BOOST_TEST(chosen(set, asked, at(20)) == ""); // no agent answered when it was asked
    const std::vector<std::string> answered{"r1"};
    asked.answered = answered;
    BOOST_TEST(chosen(set, asked, at(20)) == "r1");
    load.roundTrip = Milliseconds(200); // it answered an earlier question, or the link is full
    set.report("10.0.0.1:1", load, at(30));
    BOOST_TEST(chosen(set, asked, at(40)) == "");
    load.roundTrip = Microseconds(0); // it spoke unasked: nothing is known of the way there
    set.report("10.0.0.1:1", load, at(50));
    BOOST_TEST(chosen(set, asked, at(60)) == "");
    // Newer weights may be taken wherever they are, and however little is heard.
    set.put(record("r2", "there", 2), at(60));
    asked.answered = {};
    BOOST_TEST(chosen(set, asked, at(60)) == "r2");
}

// A gateway decides from when on weights are too old before it asks agents, and may stand
// still until they have answered.
BOOST_AUTO_TEST_CASE(weights_that_expire_during_probing_get_no_requests)
{
    WeightsGoal goal(Milliseconds(8'000));
    goal.name("m", 2, at(-6'000)); // version 1 may begin requests until 2 s
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "here", 1), at(0));
    ReplicaQuery asked = query();
    asked.weights = &goal;
    asked.model = "m";
    const std::vector<std::string> answered{"r1"};
    asked.answered = answered;
    ReplicaLoad load;
    load.weightsVersion = 1;
    load.roundTrip = Milliseconds(5);
    for (const int time : {1'700, 2'000, 2'500}) {
        set.report("10.0.0.1:1", load, at(time));
        BOOST_TEST(chosen(set, asked, at(time)) == "");
    }
}

// The agents of those replicas had answered at once: the link filled up right after,
// and a request's reset cannot overtake it on a full link.
BOOST_AUTO_TEST_CASE(expiring_weights_in_another_data_centre_get_no_requests)
{
    WeightsGoal goal(Milliseconds(8'000));
    goal.name("m", 2, at(-4'000)); // version 1 may begin requests until 4 s
    ReplicaSet set(sDrainTime);
    set.put(record("r1", "there", 1), at(0));
    ReplicaQuery asked = query();
    asked.weights = &goal;
    asked.model = "m";
    const std::vector<std::string> answered{"r1"};
    asked.answered = answered;
    ReplicaLoad load;
    load.weightsVersion = 1;
    load.roundTrip = Milliseconds(5);
    set.report("10.0.0.1:1", load, at(1'200));
    BOOST_TEST(chosen(set, asked, at(1'200)) == "r1");
    set.report("10.0.0.1:1", load, at(2'400));
    BOOST_TEST(chosen(set, asked, at(2'400)) == "");
    load.weightsVersion = 2;
    set.report("10.0.0.1:1", load, at(2'410));
    BOOST_TEST(chosen(set, asked, at(2'410)) == "r1");
}

BOOST_AUTO_TEST_CASE(new_replica_at_an_address_replaces_the_earlier_one)
{
    ReplicaRecord earlier = record("r1", "here");
    earlier.offset = 5;
    ReplicaRecord later = record("r2", "here");
    later.offset = 9;
    later.address = earlier.address;
    for (const bool isLaterFirst : {false, true}) {
        ReplicaSet set(sDrainTime);
        set.put(isLaterFirst ? later : earlier, at(0));
        set.put(isLaterFirst ? earlier : later, at(1));
        BOOST_TEST(chosen(set, query(), at(2)) == "r2");
        set.replaced("r2", at(3));
        BOOST_TEST(chosen(set, query(), at(4)) == "");
    }
}
