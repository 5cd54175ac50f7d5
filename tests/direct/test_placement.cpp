/*
 * test_placement.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "evacuationtable.h"
#include "fakelog.h"
#include "replicaset.h"

#include <array>
#include <set>

using namespace Loom;

namespace {

using Regions = std::vector<std::string>;

const Regions sWest{"west"};
const Regions sEast{"east"};
const Regions sBoth{"west", "east"};
constexpr std::size_t sSeedCount = 200;
constexpr Milliseconds sDrainTime{2'000};

EngineProfile engine()
{
    EngineProfile figures;
    figures.slots = 12;
    figures.stepMs = 7.4;
    figures.perSequenceMs = 0.0387;
    figures.prefillTokensPerMs = 31.9;
    figures.stepsPerPass = 6;
    figures.meanPromptTokens = 973;
    figures.meanAnswerTokens = 106;
    return figures;
}

const EngineProfile sEngine = engine();

ReplicaRecord record(const std::string &id, const std::string &dataCentre)
{
    ReplicaRecord record;
    record.id = id;
    record.service = "s";
    record.address = "10.0.0.1:" + id;
    record.dataCentre = dataCentre;
    record.slots = 12;
    record.weightsVersion = 1;
    return record;
}

/** Three replicas in each of the data centres w1 and e1, and one in x1 of an unknown region. */
ReplicaSet fleet()
{
    ReplicaSet set(sDrainTime, "gateway");
    set.setRegions({{"w1", "west"}, {"e1", "east"}});
    for (const char *id : {"11", "12", "13"}) {
        set.put(record(id, "w1"), at(0));
    }
    for (const char *id : {"21", "22", "23"}) {
        set.put(record(id, "e1"), at(0));
    }
    set.put(record("31", "x1"), at(0));
    return set;
}

ReplicaQuery query(const EngineProfile *profile = nullptr)
{
    ReplicaQuery query;
    query.service = "s";
    query.dataCentre = "w1";
    query.engine = profile;
    query.goal = Milliseconds(400);
    return query;
}

/** Data centres of the replicas that are chosen with many seeds; "" if none is chosen. */
std::set<std::string> chosenDataCentres(const ReplicaSet &set, ReplicaQuery query,
                                        Instant now = at(1))
{
    std::set<std::string> dataCentres;
    for (std::size_t seed = 0; seed < sSeedCount; ++seed) {
        query.random = seed * 7'919;
        const ReplicaChoice choice = set.choose(query, now);
        const auto *chosen = std::get_if<ChosenReplica>(&choice);
        dataCentres.insert(chosen == nullptr ? "" : set.find(chosen->id)->record.dataCentre);
    }
    return dataCentres;
}

bool areAllIn(std::span<const Replica *const> replicas, std::string_view dataCentre)
{
    return std::ranges::all_of(
        replicas, [&](const Replica *replica) { return replica->record.dataCentre == dataCentre; });
}

/** The number of requests, out of sSeedCount, for which a replica is found. */
std::size_t admittedCount(const ReplicaSet &set, ReplicaQuery query, Instant now)
{
    std::size_t count = 0;
    for (std::size_t seed = 0; seed < sSeedCount; ++seed) {
        query.random = seed * 7'919;
        const ReplicaChoice choice = set.choose(query, now);
        count += std::holds_alternative<ChosenReplica>(choice) ? 1 : 0;
    }
    return count;
}

/** Replicas with engines, nearly full, of a service with many calls: 2 in w1, 18 in e1. */
ReplicaSet busyFleet()
{
    ReplicaSet set(sDrainTime, "gateway");
    set.setRegions({{"w1", "west"}, {"e1", "east"}});
    for (int index = 0; index < 20; ++index) {
        const ReplicaRecord added = record(std::to_string(100 + index), index < 2 ? "w1" : "e1");
        set.put(added, at(0));
        ReplicaLoad load;
        load.running = 11;
        load.weightsVersion = 1;
        set.report(added.address, load, at(2'000));
    }
    for (int call = 0; call < 400; ++call) {
        set.noteCall("s", Milliseconds(400), at(call * 5));
    }
    return set;
}

const std::set<std::string> sNothing{""};

bool isNeverLost(const std::string &)
{
    return false;
}

bool isAlwaysLost(const std::string &)
{
    return true;
}

} // namespace

// Guards against a request that leaves its regions when these are full or remote.
BOOST_AUTO_TEST_CASE(request_bound_to_a_region_goes_nowhere_else)
{
    for (const EngineProfile *profile : {static_cast<const EngineProfile *>(nullptr), &sEngine}) {
        const ReplicaSet set = fleet();
        ReplicaQuery request = query(profile);
        request.regions.route = sEast;
        BOOST_TEST(chosenDataCentres(set, request) == std::set<std::string>{"e1"});
        for (const ProbeRound round : {ProbeRound::Local, ProbeRound::Subset, ProbeRound::Any}) {
            BOOST_TEST(areAllIn(set.replicasToProbe(request, round, {}, at(1)), "e1"));
        }
        BOOST_TEST(areAllIn(set.subset(request, at(1)), "e1"));
        const std::array<std::string, 2> tried{"21", "22"};
        request.excluded = {tried.begin(), tried.end()};
        BOOST_TEST(chosenDataCentres(set, request) == std::set<std::string>{"e1"});
    }
}

BOOST_AUTO_TEST_CASE(lists_of_route_and_account_both_bind)
{
    const ReplicaSet set = fleet();
    ReplicaQuery request = query();
    request.regions = {sBoth, sWest};
    BOOST_TEST(chosenDataCentres(set, request) == std::set<std::string>{"w1"});
    request.regions = {sEast, sBoth};
    BOOST_TEST(chosenDataCentres(set, request) == std::set<std::string>{"e1"});
    request.regions = {sEast, sWest};
    BOOST_TEST(chosenDataCentres(set, request) == sNothing);
    BOOST_TEST(request.regions.isContradictory());
    request.regions = {sEast, sBoth};
    BOOST_TEST(!request.regions.isContradictory());
}

// Guards against requests to a replica whose region nobody stated, also if a list has an empty
// name.
BOOST_AUTO_TEST_CASE(replica_of_an_unknown_region_gets_no_request_that_is_bound_to_regions)
{
    ReplicaSet set(sDrainTime);
    set.put(record("31", "x1"), at(0));
    BOOST_TEST(chosenDataCentres(set, query()) == std::set<std::string>{"x1"});
    ReplicaQuery request = query();
    const Regions unnamed{""};
    for (const Regions &regions : {sBoth, unnamed}) {
        request.regions.route = regions;
        BOOST_TEST(chosenDataCentres(set, request) == sNothing);
    }
    set.setRegions({{"x1", "east"}});
    request.regions.route = sBoth;
    BOOST_TEST(chosenDataCentres(set, request) == std::set<std::string>{"x1"});
}

BOOST_AUTO_TEST_CASE(request_without_a_usable_replica_in_its_regions_is_refused_for_its_regions)
{
    const ReplicaSet set = fleet();
    const Regions elsewhere{"north"};
    ReplicaQuery request = query(&sEngine);
    request.timeLeft = Milliseconds(6'000);
    request.regions.account = elsewhere;
    const ReplicaChoice refused = set.choose(request, at(1));
    BOOST_REQUIRE(std::holds_alternative<NoneUsable>(refused));
    BOOST_TEST(std::get<NoneUsable>(refused).isRegionBound);
    ReplicaQuery unrestricted = query(&sEngine);
    unrestricted.timeLeft = request.timeLeft;
    const ReplicaChoice none = ReplicaSet(sDrainTime).choose(unrestricted, at(1));
    BOOST_TEST(!std::get<NoneUsable>(none).isRegionBound);
    BOOST_TEST((std::get<NoneUsable>(refused).retryAfter == std::get<NoneUsable>(none).retryAfter));
}

// Guards against callers that are told of an overload because others are bound to regions.
BOOST_AUTO_TEST_CASE(refusals_for_regions_do_not_count_as_overload)
{
    ReplicaSet set = busyFleet();
    const Regions elsewhere{"north"};
    ReplicaQuery bound = query(&sEngine);
    bound.regions.route = elsewhere;
    for (int call = 0; call < 100; ++call) {
        set.noteChoice(bound, set.choose(bound, at(2'000)), at(2'000));
    }
    for (int index = 0; index < 20; ++index) {
        ReplicaLoad full;
        full.running = 12;
        full.waiting = 40;
        full.weightsVersion = 1;
        set.report(record(std::to_string(100 + index), "").address, full, at(2'000));
    }
    ReplicaQuery other = query(&sEngine);
    other.timeLeft = Milliseconds(6'000);
    const ReplicaChoice busy = set.choose(other, at(2'000));
    BOOST_REQUIRE(std::holds_alternative<AllBusy>(busy));
    BOOST_TEST(std::get<AllBusy>(busy).retryAfter.count() < 400);
}

// Guards against two faults of a service whose calls are spread over all regions: if the calls that
// are expected at a replica were divided among the allowed replicas only, most of the requests that
// are bound to regions would be refused beside free slots. And after an evacuation, the remaining
// replicas really get all calls.
BOOST_AUTO_TEST_CASE(expected_calls_are_divided_among_all_regions_but_not_evacuated_replicas)
{
    ReplicaSet set = busyFleet();
    ReplicaQuery bound = query(&sEngine);
    bound.gatewayCount = 4;
    bound.regions.route = sWest;
    const Instant now = at(2'001);
    const std::size_t admitted = admittedCount(set, bound, now);
    set.setEvacuated("e1", true);
    const std::size_t admittedInEvacuation = admittedCount(set, bound, now);
    BOOST_TEST(admitted > 2 * admittedInEvacuation);
    ReplicaQuery unrestricted = bound;
    unrestricted.regions = {};
    BOOST_TEST(admittedCount(set, unrestricted, now) == admittedInEvacuation);
}

// Guards against a path to the replicas of an evacuated data centre beside the choice: probes,
// standing connections, and callers that are told when one of its replicas ends its rest.
BOOST_AUTO_TEST_CASE(evacuated_data_centre_gets_nothing)
{
    for (const EngineProfile *profile : {static_cast<const EngineProfile *>(nullptr), &sEngine}) {
        ReplicaSet set = fleet();
        set.setEvacuated("w1", true);
        set.setEvacuated("x1", true);
        BOOST_TEST(chosenDataCentres(set, query(profile)) == std::set<std::string>{"e1"});
        ReplicaQuery resumed = query(profile);
        resumed.isResumed = true;
        BOOST_TEST(chosenDataCentres(set, resumed) == std::set<std::string>{"e1"});
        for (const ProbeRound round : {ProbeRound::Local, ProbeRound::Subset, ProbeRound::Any}) {
            BOOST_TEST(areAllIn(set.replicasToProbe(query(profile), round, {}, at(1)), "e1"));
        }
        BOOST_TEST(areAllIn(set.subset(query(profile), at(1)), "e1"));
        set.setEvacuated("e1", true);
        BOOST_TEST(chosenDataCentres(set, query(profile)) == sNothing);
    }
}

BOOST_AUTO_TEST_CASE(resting_replica_of_an_evacuated_data_centre_promises_no_capacity)
{
    ReplicaSet set(sDrainTime);
    set.put(record("11", "w1"), at(0));
    set.applyNotice("11", 0, {.rest = Milliseconds(500)}, at(0));
    BOOST_TEST(set.retryDelayIfPaused(query(), at(1)).has_value());
    set.setEvacuated("w1", true);
    BOOST_TEST(!set.retryDelayIfPaused(query(), at(1)).has_value());
    BOOST_TEST((set.find("11")->unavailableReason(at(1)) == UnavailableReason::Evacuated));
}

// Guards against replicas that start, or change their data centre, during an evacuation.
BOOST_AUTO_TEST_CASE(replica_that_starts_in_an_evacuated_data_centre_gets_nothing)
{
    ReplicaSet set(sDrainTime);
    set.setEvacuated("w1", true);
    set.put(record("11", "w1"), at(0));
    BOOST_TEST(chosenDataCentres(set, query()) == sNothing);
    ReplicaRecord reborn = record("11", "w1");
    reborn.born = 5;
    set.put(reborn, at(1));
    BOOST_TEST(chosenDataCentres(set, query(), at(2)) == sNothing);
    set.put(record("21", "e1"), at(1));
    BOOST_TEST(chosenDataCentres(set, query(), at(2)) == std::set<std::string>{"e1"});
}

BOOST_AUTO_TEST_CASE(revoked_evacuation_returns_the_requests)
{
    ReplicaSet set = fleet();
    set.setEvacuated("w1", true);
    set.setEvacuated("nowhere", true);
    BOOST_TEST(set.placement().evacuatedCount() == 2U);
    BOOST_TEST(set.replicaCountIn("nowhere") == 0U);
    set.setEvacuated("w1", false);
    set.setEvacuated("w1", false);
    BOOST_TEST(chosenDataCentres(set, query()).contains("w1"));
    BOOST_TEST(set.placement().evacuatedCount() == 1U);
}

BOOST_AUTO_TEST_CASE(evacuation_begins_once_and_ends_with_its_record)
{
    EvacuationTable table;
    const auto begun = table.put("evacuate/w1", "w1", Milliseconds(300), at(1'000));
    BOOST_REQUIRE(begun.has_value());
    BOOST_TEST(begun->isInForce);
    BOOST_TEST(begun->dataCentre == "w1");
    BOOST_TEST((begun->age == Milliseconds(300)));
    BOOST_TEST(!table.put("evacuate/w1", "w1", Milliseconds(0), at(1'500)).has_value());
    BOOST_TEST(table.update(isNeverLost, at(9'000)).empty());
    const auto ended = table.remove("evacuate/w1", at(10'000));
    BOOST_REQUIRE(ended.has_value());
    BOOST_TEST(!ended->isInForce);
    BOOST_TEST(!ended->isLost);
    BOOST_TEST(!table.remove("evacuate/w1", at(10'000)).has_value());
    BOOST_TEST(table.put("evacuate/w1", "w1", Milliseconds(0), at(11'000)).has_value());
}

// Guards against requests to an evacuated data centre as soon as the store returns from a copy that
// lacks the record, before operators have written it again.
BOOST_AUTO_TEST_CASE(evacuation_that_the_store_lost_stays_in_force_for_five_seconds)
{
    EvacuationTable table;
    table.put("evacuate/w1", "w1", Milliseconds(0), at(0));
    BOOST_TEST(table.update(isAlwaysLost, at(1'000)).empty());
    BOOST_TEST(table.update(isAlwaysLost, at(5'999)).empty());
    const auto ended = table.update(isAlwaysLost, at(6'000));
    BOOST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(!ended.front().isInForce);
    BOOST_TEST(ended.front().isLost);
    BOOST_TEST(table.update(isAlwaysLost, at(7'000)).empty());
    BOOST_TEST(!table.remove("evacuate/w1", at(8'000)).has_value());
}

// The feed does not announce a record that was written again with the value that it had.
BOOST_AUTO_TEST_CASE(evacuation_that_was_written_again_stays_in_force_or_is_so_again)
{
    EvacuationTable table;
    table.put("evacuate/w1", "w1", Milliseconds(0), at(0));
    table.update(isAlwaysLost, at(1'000));
    BOOST_TEST(table.update(isNeverLost, at(3'000)).empty());
    // A second return of the store starts a new period.
    BOOST_TEST(table.update(isAlwaysLost, at(5'500)).empty());
    BOOST_TEST(table.update(isAlwaysLost, at(10'400)).empty());
    BOOST_TEST(table.update(isAlwaysLost, at(10'500)).size() == 1U);
    const auto again = table.update(isNeverLost, at(11'000));
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again.front().isInForce);
}
