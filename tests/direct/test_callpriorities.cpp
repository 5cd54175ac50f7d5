/*
 * test_callpriorities.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "callpriorities.h"
#include "fakelog.h"
#include "requestdigest.h"

using namespace Loom;

namespace {

constexpr RequestRank sUrgent{5, 0};
constexpr RequestRank sOther{5, 1};

std::uint64_t seedThatIs(bool isExempt)
{
    std::uint64_t seed = 1;
    while (UrgencyDemand::isExempt(seed, UrgencyDemand::sLevelCount - 1) != isExempt) {
        seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
    }
    return seed;
}

CallPriorities prioritiesWithTwoRanks()
{
    CallPriorities priorities;
    for (int call = 0; call < 40; ++call) {
        const RequestRank rank = call % 2 == 0 ? sUrgent : sOther;
        priorities.noteCall("scorer", {rank, "a", 1, 1}, at(call));
    }
    return priorities;
}

ReplicaQuery query(const EngineProfile &engine, RequestRank rank)
{
    ReplicaQuery query;
    query.service = "scorer";
    query.engine = &engine;
    query.standing.rank = rank;
    query.repeatSeed = seedThatIs(false);
    return query;
}

} // namespace

BOOST_AUTO_TEST_CASE(less_urgent_call_leaves_capacity_under_overload_only)
{
    const CallPriorities priorities = prioritiesWithTwoRanks();
    const EngineProfile engine;
    const ReplicaQuery other = query(engine, sOther);
    BOOST_TEST(priorities.precedence(other, true).moreUrgentFraction > 0.4);
    BOOST_TEST(!priorities.precedence(other, true).returnsEarly);
    // Guards against reserves while there is capacity for all.
    BOOST_TEST(priorities.precedence(other, false).moreUrgentFraction == 0);
    BOOST_TEST(priorities.precedence(other, false).competingFraction == 1);
    const ReplicaQuery urgent = query(engine, sUrgent);
    BOOST_TEST(priorities.precedence(urgent, true).moreUrgentFraction == 0);
    BOOST_TEST(priorities.precedence(urgent, true).returnsEarly);
    BOOST_TEST(!priorities.precedence(urgent, false).returnsEarly);
}

// Guards against callers of a single rank that all return before the overload has ended, only
// because a heavy account is over its share. Most of them were refused again.
BOOST_AUTO_TEST_CASE(callers_of_one_rank_do_not_return_early_beside_a_heavy_account)
{
    CallPriorities priorities;
    bool hasOverShare = false;
    const EngineProfile engine;
    ReplicaQuery admitted = query(engine, sUrgent);
    for (int call = 0; call < 400; ++call) {
        const bool isHeavy = call % 4 == 0;
        const std::string account
            = isHeavy ? "heavy" : "light-" + std::to_string(call % 40); // thirty of them
        const auto standing = priorities.noteCall(
            "scorer", {sUrgent, account, 1, static_cast<std::uint64_t>(call)}, at(call * 10));
        hasOverShare = hasOverShare || standing.isOverShare;
        if (call % 5 != 0) {
            admitted.account = account;
            priorities.noteAdmitted(admitted, at(call * 10));
        }
    }
    BOOST_REQUIRE(hasOverShare);
    BOOST_TEST(!priorities.precedence(query(engine, sUrgent), true).returnsEarly);
}

// Guards against cut streams: their callers can't get the remaining events otherwise.
BOOST_AUTO_TEST_CASE(resumed_streams_and_exempt_calls_leave_nothing)
{
    const CallPriorities priorities = prioritiesWithTwoRanks();
    const EngineProfile engine;
    ReplicaQuery resumed = query(engine, sOther);
    resumed.isResumed = true;
    BOOST_TEST(priorities.precedence(resumed, true).moreUrgentFraction == 0);
    ReplicaQuery exempt = query(engine, sOther);
    exempt.repeatSeed = seedThatIs(true);
    BOOST_TEST(priorities.precedence(exempt, true).moreUrgentFraction == 0);
}

BOOST_AUTO_TEST_CASE(plain_and_unknown_services_have_no_order)
{
    const CallPriorities priorities = prioritiesWithTwoRanks();
    const EngineProfile engine;
    ReplicaQuery plain = query(engine, sOther);
    plain.engine = nullptr;
    BOOST_TEST(priorities.precedence(plain, true).moreUrgentFraction == 0);
    ReplicaQuery unknown = query(engine, sOther);
    unknown.service = "another";
    BOOST_TEST(priorities.precedence(unknown, true).moreUrgentFraction == 0);
}

// Guards against a repeat that draws its exemption anew, at this gateway or another one.
BOOST_AUTO_TEST_CASE(equal_requests_have_the_same_seed_within_a_period)
{
    const std::uint64_t seed = RequestDigest::repeatSeed("a", "/score", "body", 7);
    BOOST_TEST(RequestDigest::repeatSeed("a", "/score", "body", 7) == seed);
    BOOST_TEST(RequestDigest::repeatSeed("a", "/score", "body", 8) != seed);
    BOOST_TEST(RequestDigest::repeatSeed("b", "/score", "body", 7) != seed);
    BOOST_TEST(RequestDigest::repeatSeed("a", "/score", "other", 7) != seed);
}
