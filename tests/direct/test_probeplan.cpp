/*
 * test_probeplan.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "probeplan.h"
#include "weightversiontracker.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

using namespace Loom;

namespace {

/** Replicas that are spread over data centres, as known to one gateway. */
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
    query.minVersion = 1;
    query.random = random;
    return query;
}

} // namespace

BOOST_AUTO_TEST_CASE(subset_size_is_bounded_in_a_large_fleet)
{
    const ReplicaQuery request = query();
    for (const std::size_t count : {1U, 12U, 16U, 45U, 120U, 1'800U}) {
        const Fleet fleet(count, 5);
        const auto subset = ProbePlan("g1", request, at(0)).subset(fleet.usable);
        BOOST_TEST(subset.size() == std::min<std::size_t>(count, 16));
    }
    const Fleet large(120, 5);
    const auto subset = ProbePlan("g1", request, at(0)).subset(large.usable);
    const auto localCount = std::ranges::count_if(
        subset, [](const Replica *replica) { return replica->record.dataCentre == "z0"; });
    BOOST_TEST(localCount == 12);
}

BOOST_AUTO_TEST_CASE(subsets_cover_every_replica_of_a_large_fleet_evenly)
{
    const Fleet fleet(120, 5);
    std::map<std::string, int> users;
    for (int gateway = 0; gateway < 149; ++gateway) {
        ReplicaQuery request = query();
        const std::string dataCentre = "z" + std::to_string(gateway % 5);
        request.dataCentre = dataCentre;
        const std::string key = "gateway-" + std::to_string(gateway);
        for (const Replica *replica : ProbePlan(key, request, at(0)).subset(fleet.usable)) {
            ++users[replica->record.id];
        }
    }
    BOOST_TEST(users.size() == 120U);
    for (const auto &[id, count] : users) {
        BOOST_TEST(count >= 8, id << " has " << count);
        BOOST_TEST(count <= 36, id << " has " << count);
    }
}

BOOST_AUTO_TEST_CASE(first_round_probes_the_local_data_centre_and_later_rounds_probe_others)
{
    const Fleet fleet(120, 5);
    const ReplicaQuery request = query(7);
    const ProbePlan plan("g1", request, at(0));
    std::vector<std::string> ids;
    for (const Replica *replica : plan.choose(ProbeRound::Local, fleet.usable, ids)) {
        BOOST_TEST(replica->record.dataCentre == "z0");
        ids.push_back(replica->record.id);
    }
    BOOST_TEST(ids.size() == 4U);
    const auto more = plan.choose(ProbeRound::Subset, fleet.usable, ids);
    BOOST_TEST(more.size() == 6U);
    for (const Replica *replica : more) {
        BOOST_TEST((std::ranges::find(ids, replica->record.id) == ids.end()));
    }
    BOOST_TEST(plan.choose(ProbeRound::Any, fleet.usable, ids).size() == 6U);
}

BOOST_AUTO_TEST_CASE(only_one_probed_replica_has_outdated_weights)
{
    Fleet fleet(12, 1);
    for (std::size_t index = 0; index < 6; ++index) {
        fleet.replicas[index].record.weightsVersion = 2;
    }
    ReplicaQuery request = query(3);
    request.minVersion = 2;
    std::set<std::string> outdated;
    for (std::uint64_t random = 0; random < 50; ++random) {
        request.random = random * 7'919;
        const ProbePlan plan("g1", request, at(0));
        int promising = 0;
        for (const Replica *replica : plan.choose(ProbeRound::Local, fleet.usable, {})) {
            const bool isNew = replica->record.weightsVersion == 2;
            promising += isNew ? 1 : 0;
            if (!isNew) {
                outdated.insert(replica->record.id);
            }
        }
        BOOST_TEST(promising == 3);
    }
    // Over time every replica with outdated weights is probed.
    BOOST_TEST(outdated.size() == 6U);
}

BOOST_AUTO_TEST_CASE(remote_replicas_with_expiring_weights_are_probed_like_outdated_ones)
{
    Fleet fleet(12, 2);
    for (std::size_t index = 0; index < 6; ++index) {
        fleet.replicas[index].record.weightsVersion = 2;
    }
    WeightVersionTracker goal(Milliseconds(8'000));
    goal.name("m", 2, at(-6'000));
    ReplicaQuery request = query();
    request.weights = &goal;
    request.model = "m";
    for (std::uint64_t random = 0; random < 50; ++random) {
        request.random = random * 7'919;
        const auto plan = ProbePlan("g1", request, at(0));
        const auto chosen = plan.choose(ProbeRound::Any, fleet.usable, {});
        const auto outdatedRemote = std::ranges::count_if(chosen, [](const Replica *replica) {
            return replica->record.dataCentre != "z0" && replica->record.weightsVersion == 1;
        });
        BOOST_TEST(outdatedRemote == 1);
    }
}

BOOST_AUTO_TEST_CASE(replica_that_loads_weights_is_probed_less_until_the_load_may_be_over)
{
    Fleet fleet(5, 1);
    ReplicaLoad loading;
    loading.isAccepting = false;
    loading.weightsVersion = 1;
    for (std::size_t index = 0; index < 2; ++index) {
        fleet.replicas[index].load = loading;
        fleet.replicas[index].loadAt = at(1'000);
    }
    const auto countLoading = [&](Instant now) {
        const ReplicaQuery request = query(11);
        int count = 0;
        for (const Replica *replica :
             ProbePlan("g1", request, now).choose(ProbeRound::Local, fleet.usable, {})) {
            count += replica->load ? 1 : 0;
        }
        return count;
    };
    BOOST_TEST(countLoading(at(1'010)) == 1);
    BOOST_TEST(countLoading(at(1'300)) >= 1);
}

// Without local excess, the second round probes mostly the local replicas that remain, and the
// subset has four remote members. In a data centre with more calls than others, the local ones
// were full while replicas elsewhere had free slots.
BOOST_AUTO_TEST_CASE(local_excess_probes_remote_replicas_in_the_second_round)
{
    const Fleet fleet(45, 3);
    const auto isRemote = [](const Replica *replica) { return replica->record.dataCentre != "z0"; };
    for (std::uint64_t random = 0; random < 50; ++random) {
        const ReplicaQuery request = query(random * 1'000'003);
        const ProbePlan plan("g1", request, at(0), true);
        const auto subset = plan.subset(fleet.usable);
        BOOST_TEST(subset.size() == 20U);
        BOOST_TEST(std::ranges::count_if(subset, isRemote) == 8);
        std::vector<std::string> ids;
        for (const Replica *replica : plan.choose(ProbeRound::Local, fleet.usable, ids)) {
            BOOST_TEST(!isRemote(replica));
            ids.push_back(replica->record.id);
        }
        BOOST_TEST(ids.size() == 4U);
        const auto more = plan.choose(ProbeRound::Subset, fleet.usable, ids);
        BOOST_TEST(more.size() == 6U);
        BOOST_TEST(std::ranges::count_if(more, isRemote) == 6);
    }
}

// The remote members of the usual subset stay in the wider one, so that a change of the demand
// closes no connection.
BOOST_AUTO_TEST_CASE(local_excess_only_adds_members_to_the_subset)
{
    const Fleet fleet(45, 3);
    const ReplicaQuery request = query();
    const auto usual = ProbePlan("g1", request, at(0)).subset(fleet.usable);
    const auto wider = ProbePlan("g1", request, at(0), true).subset(fleet.usable);
    for (const Replica *replica : usual) {
        BOOST_TEST((std::ranges::find(wider, replica) != wider.end()));
    }
}
