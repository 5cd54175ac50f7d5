/*
 * test_coldreplicas.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "replicapermits.h"
#include "replicaset.h"

#include <map>
#include <vector>

using namespace Loom;

namespace {

constexpr Milliseconds sCold{10'000};

Instant at(int ms)
{
    return Instant(Milliseconds(10'000 + ms));
}

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

ReplicaRecord record(std::string id, Milliseconds coldLeft = Milliseconds(0))
{
    ReplicaRecord record;
    record.id = std::move(id);
    record.born = 1;
    record.service = "scorer";
    record.address = "10.0.0.1:" + record.id.substr(1);
    record.dataCentre = "here";
    record.slots = 16;
    record.weightsVersion = 1;
    record.coldLeft = coldLeft;
    return record;
}

ReplicaQuery query(std::uint64_t random = 0)
{
    ReplicaQuery query;
    query.service = "scorer";
    query.dataCentre = "here";
    query.engine = &sEngine;
    query.goal = Milliseconds(400);
    query.minVersion = 1;
    query.random = random;
    return query;
}

std::string chosen(const ReplicaSet &set, const ReplicaQuery &query, Instant now)
{
    const ReplicaChoice choice = set.choose(query, now);
    const auto *replica = std::get_if<ChosenReplica>(&choice);
    return replica == nullptr ? "" : replica->id;
}

/** A set with one cold replica of a service with a rate of 14 a second. */
struct ColdSet
{
    ColdSet()
    {
        set.setColdRates({{"scorer", 14}});
        set.put(record("r1", sCold), at(0));
    }

    std::optional<double> rate(int ms) const { return set.find("r1")->ratePerSecond(at(ms)); }

    ReplicaSet set{Milliseconds(2'000)};
};

int grantedWithin(ReplicaPermits &permits, int fromMs, int toMs)
{
    int granted = 0;
    for (int ms = fromMs; ms < toMs; ms += 5) {
        granted += permits.take(at(ms)) ? 1 : 0;
    }
    return granted;
}

} // namespace

BOOST_AUTO_TEST_CASE(cold_rate_applies_until_the_cold_time_is_over)
{
    ColdSet cold;
    BOOST_TEST(cold.rate(9'999).value_or(-1) == 14);
    BOOST_TEST(!cold.rate(10'000).has_value());
}

// An answer without a named limit says nothing about the cold time.
BOOST_AUTO_TEST_CASE(lower_of_the_named_limit_and_the_cold_rate_applies)
{
    ColdSet cold;
    cold.set.noteNamedLimit("r1", 3, at(100));
    BOOST_TEST(cold.rate(200).value_or(-1) == 3);
    cold.set.noteNamedLimit("r1", 30, at(300));
    BOOST_TEST(cold.rate(400).value_or(-1) == 14);
    BOOST_TEST((cold.set.noteNoLimit("r1", at(400), at(500)) == LimitChange::Removed));
    BOOST_TEST(cold.rate(600).value_or(-1) == 14);
    cold.set.noteNamedLimit("r1", 30, at(9'000));
    BOOST_TEST(cold.rate(10'000).value_or(-1) == 30);
}

BOOST_AUTO_TEST_CASE(cold_time_only_gets_longer)
{
    ColdSet cold;
    cold.set.put(record("r1", Milliseconds(500)), at(1'000));
    cold.set.put(record("r1"), at(2'000));
    cold.set.noteCold("r1", 1, Milliseconds(0), at(2'000));
    BOOST_TEST(cold.rate(9'999).has_value());
    cold.set.noteCold("r1", 1, Milliseconds(20'000), at(2'000));
    BOOST_TEST(cold.rate(21'999).has_value());
    BOOST_TEST(!cold.rate(22'000).has_value());
}

BOOST_AUTO_TEST_CASE(restarted_or_removed_replica_starts_over)
{
    ColdSet cold;
    ReplicaRecord restarted = record("r1");
    restarted.born = 2;
    cold.set.put(restarted, at(1'000));
    BOOST_TEST(!cold.rate(1'001).has_value());
    // An answer of the incarnation before says nothing about this one.
    cold.set.noteCold("r1", 1, sCold, at(1'100));
    BOOST_TEST(!cold.rate(1'101).has_value());
    cold.set.noteCold("r1", 2, sCold, at(1'200));
    BOOST_TEST(cold.rate(1'201).has_value());
    cold.set.remove("r1", true, Microseconds(0), at(1'300));
    cold.set.sweep(at(1'400));
    cold.set.put(restarted, at(1'500));
    BOOST_TEST(!cold.rate(1'501).has_value());
}

// The configuration may arrive after the record, and change.
BOOST_AUTO_TEST_CASE(rate_of_a_new_configuration_applies_to_known_replicas)
{
    ColdSet cold;
    cold.set.setColdRates({{"scorer", 5}});
    BOOST_TEST(cold.rate(1).value_or(-1) == 5);
    cold.set.setColdRates({});
    BOOST_TEST(!cold.rate(1).has_value());
    cold.set.setColdRates({{"scorer", 7}});
    BOOST_TEST(cold.rate(1).value_or(-1) == 7);
}

BOOST_AUTO_TEST_CASE(cold_replica_without_a_permit_gets_nothing_until_the_next_one)
{
    ColdSet cold;
    cold.set.setRateLimitedUntil("r1", at(300));
    const ReplicaChoice choice = cold.set.choose(query(), at(0));
    const auto *busy = std::get_if<AllBusy>(&choice);
    BOOST_REQUIRE(busy != nullptr);
    BOOST_TEST(busy->areAllPaused);
    BOOST_TEST(busy->retryAfter.count() >= 300);
    BOOST_TEST(chosen(cold.set, query(), at(300)) == "r1");
}

// The permit owner's report has the wait of a cold replica that names no limit.
BOOST_AUTO_TEST_CASE(reported_wait_of_a_cold_replica_is_kept)
{
    ColdSet cold;
    cold.set.applyLimit({"r1@1", std::nullopt, Instant(), Milliseconds(200)}, at(0));
    BOOST_TEST(cold.set.find("r1")->isRateLimited(at(199)));
    BOOST_TEST(!cold.set.find("r1")->isRateLimited(at(200)));
}

BOOST_AUTO_TEST_CASE(warm_replicas_go_first_while_they_meet_the_goal)
{
    ColdSet cold;
    cold.set.put(record("r2"), at(0));
    for (std::uint64_t random = 0; random < 200; ++random) {
        BOOST_TEST_REQUIRE(chosen(cold.set, query(random), at(1)) == "r2");
    }
    ReplicaLoad full;
    full.running = 16;
    full.waiting = 200;
    full.weightsVersion = 1;
    cold.set.report("10.0.0.1:2", full, at(1));
    BOOST_TEST(chosen(cold.set, query(), at(2)) == "r1");
}

// One request is what a replica in need is offered; a cold one takes its rate in the goal.
BOOST_AUTO_TEST_CASE(cold_replica_offers_what_its_rate_permits_within_the_goal)
{
    ColdSet cold;
    const ReplicaQuery asked = query();
    const ReplicaEstimator estimator(asked, Milliseconds::max(), at(1));
    BOOST_TEST(estimator.estimate(*cold.set.find("r1")).room == 5.6,
               boost::test_tools::tolerance(1e-9));
    cold.set.noteNamedLimit("r1", 30, at(1));
    BOOST_TEST(estimator.estimate(*cold.set.find("r1")).room == 1);
}

// Records state cold times in every deployment; only a configured rate gives them an effect.
BOOST_AUTO_TEST_CASE(without_a_rate_all_decisions_are_as_without_cold_times)
{
    const auto decide = [](Milliseconds coldLeft) {
        std::vector<std::string> decisions;
        ReplicaSet set(Milliseconds(2'000));
        for (const auto *id : {"r1", "r2", "r3"}) {
            set.put(record(id, coldLeft), at(0));
        }
        for (int step = 0; step < 300; ++step) {
            const ReplicaQuery asked = query(static_cast<std::uint64_t>(step) * 7'919);
            set.noteCall("scorer", asked.goal, at(step * 10));
            const std::string id = chosen(set, asked, at(step * 10));
            decisions.push_back(id);
            if (!id.empty()) {
                set.began(id, false, at(step * 10));
            }
            if (step % 3 == 0 && !id.empty()) {
                set.setRateLimitedUntil(id, at(step * 10 + 50));
                set.noteCold(id, 1, coldLeft, at(step * 10));
                set.ended(id, ReplicaOutcome::Answered, at(step * 10));
            }
        }
        return decisions;
    };
    BOOST_TEST(decide(sCold) == decide(Milliseconds(0)), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(heartbeats_of_a_cold_replica_have_the_same_content)
{
    BOOST_TEST(record("r1", Milliseconds(500)).hasSameContent(record("r1", Milliseconds(400))));
    BOOST_TEST(!record("r1", Milliseconds(500)).hasSameContent(record("r1")));
    BOOST_TEST(!record("r1").hasSameContent(record("r1", Milliseconds(500))));
}

BOOST_AUTO_TEST_CASE(permit_owner_keeps_the_latest_end_and_the_newest_rate)
{
    ReplicaPermits permits;
    permits.apply(std::nullopt, Instant(), {10, at(5'000)}, {}, at(0));
    permits.apply(std::nullopt, Instant(), {20, at(2'000)}, {}, at(100));
    BOOST_TEST(permits.perSecond(at(4'999)).value_or(-1) == 20);
    // A gateway for which the cold time is over already changes nothing.
    permits.apply(std::nullopt, Instant(), {}, {}, at(200));
    BOOST_TEST(permits.perSecond(at(4'999)).value_or(-1) == 20);
    BOOST_TEST(!permits.perSecond(at(5'000)).has_value());
    BOOST_TEST(permits.wait(at(5'000)).count() == 0);
    BOOST_TEST(grantedWithin(permits, 5'000, 6'000) == 200);
}

BOOST_AUTO_TEST_CASE(permit_owner_returns_to_the_named_limit_after_the_cold_time)
{
    ReplicaPermits permits;
    permits.apply(40, at(1), {10, at(4'000)}, {}, at(2));
    BOOST_TEST(grantedWithin(permits, 2'000, 4'000) <= 10 * 2 + 3);
    const int granted = grantedWithin(permits, 5'000, 7'000);
    BOOST_TEST(granted >= 70);
    BOOST_TEST(granted <= 40 * 2 + 21);
}

BOOST_AUTO_TEST_CASE(permit_owner_counts_sends_from_before_the_cold_time)
{
    ReplicaPermits permits;
    std::vector<Instant> sends;
    for (int ms = -1'000; ms < 0; ms += 10) {
        sends.push_back(at(ms));
    }
    permits.apply(std::nullopt, Instant(), {10, at(10'000)}, sends, at(0));
    BOOST_TEST(grantedWithin(permits, 0, 2'900) == 0);
    BOOST_TEST(grantedWithin(permits, 2'900, 6'000) > 20);
}

// A new owner grants nothing that the one before it may just have granted.
BOOST_AUTO_TEST_CASE(permit_owner_of_a_cold_replica_starts_without_tokens)
{
    ReplicaPermits permits;
    permits.apply(std::nullopt, Instant(), {2, at(10'000)}, {}, at(0));
    BOOST_TEST(!permits.take(at(490)));
    BOOST_TEST(permits.take(at(500)));
}

BOOST_AUTO_TEST_CASE(unused_permits_of_a_cold_replica_add_up_to_a_fifth_of_a_second)
{
    ReplicaPermits permits;
    permits.apply(std::nullopt, Instant(), {50, at(20'000)}, {}, at(0));
    BOOST_TEST(grantedWithin(permits, 10'000, 10'005) <= 1);
    int atOnce = 0;
    while (permits.take(at(15'000))) {
        ++atOnce;
    }
    BOOST_TEST(atOnce == 11);
}
