/*
 * test_askplan.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "askplan.h"
#include "fakelog.h"
#include "weightversiontracker.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

using namespace Loom;

namespace {

/** Replicas spread over data centres, as one gateway knows them. */
struct Fleet
{
    Fleet(std::size_t count, std::size_t dataCentres)
    {
        for (std::size_t index = 0; index < count; ++index) {
            Replica replica;
            replica.record.id = "r" + std::to_string(index);
            replica.record.service = "scorer";
            replica.record.address = "10.0.0.1:" + std::to_string(index);
            replica.record.dataCentre = "z" + std::to_string(index % dataCentres);
            replica.record.weightsVersion = 1;
            replicas.push_back(replica);
        }
        for (const Replica &replica : replicas) {
            usable.push_back(&replica);
        }
    }

    std::deque<Replica> replicas;
    std::vector<const Replica *> usable;
};

ReplicaQuery query(std::uint64_t random = 0)
{
    ReplicaQuery query;
    query.service = "scorer";
    query.dataCentre = "z0";
    query.leastVersion = 1;
    query.random = random;
    return query;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_gateway_uses_as_many_replicas_of_a_large_fleet_as_of_a_small_one)
{
    const ReplicaQuery asked = query();
    for (const std::size_t count : {1U, 12U, 16U, 45U, 120U, 1'800U}) {
        const Fleet fleet(count, 5);
        const auto neighbours = AskPlan("g1", asked, at(0)).neighbours(fleet.usable);
        BOOST_TEST(neighbours.size() == std::min<std::size_t>(count, 16));
    }
    const Fleet large(120, 5);
    const auto neighbours = AskPlan("g1", asked, at(0)).neighbours(large.usable);
    const auto near = std::ranges::count_if(
        neighbours, [](const Replica *replica) { return replica->record.dataCentre == "z0"; });
    BOOST_TEST(near == 12);
}

BOOST_AUTO_TEST_CASE(every_replica_of_a_large_fleet_is_used_by_some_gateways)
{
    const Fleet fleet(120, 5);
    std::map<std::string, int> users;
    for (int gateway = 0; gateway < 149; ++gateway) {
        ReplicaQuery asked = query();
        const std::string zone = "z" + std::to_string(gateway % 5);
        asked.dataCentre = zone;
        const std::string key = "gateway-" + std::to_string(gateway);
        for (const Replica *replica : AskPlan(key, asked, at(0)).neighbours(fleet.usable)) {
            ++users[replica->record.id];
        }
    }
    BOOST_TEST(users.size() == 120U);
    for (const auto &[id, count] : users) {
        BOOST_TEST(count >= 8, id << " has " << count);
        BOOST_TEST(count <= 36, id << " has " << count);
    }
}

BOOST_AUTO_TEST_CASE(the_first_round_stays_in_the_data_centre_and_the_next_ask_others)
{
    const Fleet fleet(120, 5);
    const ReplicaQuery asked = query(7);
    const AskPlan plan("g1", asked, at(0));
    std::vector<std::string> ids;
    for (const Replica *replica : plan.choose(AskRound::Near, fleet.usable, ids)) {
        BOOST_TEST(replica->record.dataCentre == "z0");
        ids.push_back(replica->record.id);
    }
    BOOST_TEST(ids.size() == 4U);
    const auto more = plan.choose(AskRound::Neighbours, fleet.usable, ids);
    BOOST_TEST(more.size() == 6U);
    for (const Replica *replica : more) {
        BOOST_TEST((std::ranges::find(ids, replica->record.id) == ids.end()));
    }
    BOOST_TEST(plan.choose(AskRound::Anyone, fleet.usable, ids).size() == 6U);
}

BOOST_AUTO_TEST_CASE(only_one_of_those_asked_has_weights_that_are_too_old)
{
    Fleet fleet(12, 1);
    for (std::size_t index = 0; index < 6; ++index) {
        fleet.replicas[index].record.weightsVersion = 2;
    }
    ReplicaQuery asked = query(3);
    asked.leastVersion = 2;
    std::set<std::string> old;
    for (std::uint64_t random = 0; random < 50; ++random) {
        asked.random = random * 7'919;
        const AskPlan plan("g1", asked, at(0));
        int promising = 0;
        for (const Replica *replica : plan.choose(AskRound::Near, fleet.usable, {})) {
            const bool isNew = replica->record.weightsVersion == 2;
            promising += isNew ? 1 : 0;
            if (!isNew) {
                old.insert(replica->record.id);
            }
        }
        BOOST_TEST(promising == 3);
    }
    // Over time each of the others is asked whether it has them by now.
    BOOST_TEST(old.size() == 6U);
}

BOOST_AUTO_TEST_CASE(far_replicas_whose_weights_are_over_soon_are_asked_as_little_as_too_old_ones)
{
    Fleet fleet(12, 2);
    for (std::size_t index = 0; index < 6; ++index) {
        fleet.replicas[index].record.weightsVersion = 2;
    }
    WeightVersionTracker goal(Milliseconds(8'000));
    goal.name("m", 2, at(-6'000));
    ReplicaQuery asked = query();
    asked.weights = &goal;
    asked.model = "m";
    for (std::uint64_t random = 0; random < 50; ++random) {
        asked.random = random * 7'919;
        const auto plan = AskPlan("g1", asked, at(0));
        const auto chosen = plan.choose(AskRound::Anyone, fleet.usable, {});
        const auto wasted = std::ranges::count_if(chosen, [](const Replica *replica) {
            return replica->record.dataCentre != "z0" && replica->record.weightsVersion == 1;
        });
        BOOST_TEST(wasted == 1);
    }
}

BOOST_AUTO_TEST_CASE(a_replica_that_was_away_for_a_load_is_asked_less_until_it_may_be_back)
{
    Fleet fleet(5, 1);
    ReplicaLoad away;
    away.isAccepting = false;
    away.weightsVersion = 1;
    for (std::size_t index = 0; index < 2; ++index) {
        fleet.replicas[index].load = away;
        fleet.replicas[index].loadAt = at(1'000);
    }
    const auto countAway = [&](Instant now) {
        const ReplicaQuery asked = query(11);
        int count = 0;
        for (const Replica *replica :
             AskPlan("g1", asked, now).choose(AskRound::Near, fleet.usable, {})) {
            count += replica->load ? 1 : 0;
        }
        return count;
    };
    BOOST_TEST(countAway(at(1'010)) == 1);
    BOOST_TEST(countAway(at(1'300)) >= 1);
}
