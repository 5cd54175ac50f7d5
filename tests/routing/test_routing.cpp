/*
 * test_routing.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE routing
#include <boost/test/unit_test.hpp>

#include "admission.h"
#include "burnreport.h"
#include "fakelog.h"
#include "rendezvous.h"
#include "retrybudget.h"
#include "upstreamtable.h"

#include <map>

using namespace Loom;

namespace {

UpstreamReport report(std::uint64_t incarnation = 1)
{
    UpstreamReport made;
    made.incarnation = incarnation;
    made.versions = {"v1"};
    made.capacity = 10;
    made.isUpstreamAlive = true;
    return made;
}

UpstreamTable tableOf(int count)
{
    UpstreamTable table;
    for (int i = 0; i < count; ++i) {
        const std::string box = "box-" + std::to_string(i);
        table.updateListed(box, "dc-a", "scorer", false);
        table.report(box, report(), at(0));
    }
    return table;
}

RouteQuery query(std::uint64_t random = 0)
{
    RouteQuery made;
    made.service = "scorer";
    made.version = "v1";
    made.dataCentre = "dc-a";
    made.random = random;
    return made;
}

} // namespace

BOOST_AUTO_TEST_CASE(leaving_upstream_gets_no_new_requests)
{
    UpstreamTable table = tableOf(1);
    BOOST_TEST(table.choose(query(), at(1)).has_value());
    UpstreamReport leaving = report();
    leaving.isLeaving = true;
    table.report("box-0", leaving, at(2));
    BOOST_TEST(!table.choose(query(), at(2)).has_value());
    // A late older report does not make the same incarnation available again.
    table.report("box-0", report(), at(3));
    BOOST_TEST(!table.choose(query(), at(3)).has_value());
    table.report("box-0", report(2), at(4));
    BOOST_TEST(table.choose(query(), at(4)).has_value());
    table.updateListed("box-0", "dc-a", "scorer", true);
    BOOST_TEST(!table.choose(query(), at(5)).has_value());
}

BOOST_AUTO_TEST_CASE(silent_upstream_gets_no_new_requests_after_three_seconds)
{
    UpstreamTable table = tableOf(1);
    BOOST_TEST(table.choose(query(), at(3'000)).has_value());
    BOOST_TEST(!table.choose(query(), at(3'001)).has_value());
}

BOOST_AUTO_TEST_CASE(only_upstreams_with_the_version_are_chosen)
{
    UpstreamTable table = tableOf(2);
    UpstreamReport newer = report();
    newer.versions = {"v1", "v2"};
    table.report("box-1", newer, at(1));
    RouteQuery two = query();
    two.version = "v2";
    for (std::uint64_t random = 0; random < 20; ++random) {
        two.random = random;
        BOOST_TEST(table.choose(two, at(2)).value_or("") == "box-1");
    }
}

BOOST_AUTO_TEST_CASE(stale_reports_are_corrected_by_own_calls)
{
    UpstreamTable table = tableOf(1);
    for (int i = 0; i < 4; ++i) {
        table.callStarted("box-0");
    }
    BOOST_TEST(table.find("box-0")->estimatedInFlight() == 4u);
    UpstreamReport lagging = report();
    lagging.inFlight = 6; // four calls of this gateway and two of another one
    table.report("box-0", lagging, at(1));
    table.callStarted("box-0");
    BOOST_TEST(table.find("box-0")->estimatedInFlight() == 7u);
    for (int i = 0; i < 5; ++i) {
        table.callEnded("box-0");
    }
    BOOST_TEST(table.find("box-0")->estimatedInFlight() == 2u);
}

BOOST_AUTO_TEST_CASE(prefix_affinity_holds_up_to_the_load_bound)
{
    UpstreamTable table = tableOf(8);
    RouteQuery one = query();
    one.prefix = "essay";
    const auto preferred = table.choose(one, at(1));
    BOOST_REQUIRE(preferred.has_value());
    BOOST_TEST(table.choose(one, at(1)).value() == *preferred);
    std::map<std::string, int> spread;
    for (int i = 0; i < 80; ++i) {
        const auto box = table.choose(one, at(1));
        table.callStarted(*box);
        ++spread[*box];
    }
    // A single frequent prefix must not overload its preferred upstream.
    BOOST_TEST(spread[*preferred] <= 14);
}

BOOST_AUTO_TEST_CASE(bursting_account_leaves_other_accounts_their_share)
{
    Admission admission(20);
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        admitted += admission.admit("large", 1, at(1)) ? 0 : 1;
    }
    BOOST_TEST(admitted == 16);
    // Other accounts are admitted while the large one holds its share.
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST(!admission.admit("small", 1, at(1)).has_value());
    }
    const auto refusal = admission.admit("large", 1, at(1));
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST(refusal->retryAfter.count() > 0);
}

BOOST_AUTO_TEST_CASE(admission_limit_follows_upstream_refusals)
{
    Admission admission(100);
    for (int i = 0; i < 50; ++i) {
        BOOST_TEST(!admission.admit("a", 1, at(0)).has_value());
    }
    admission.release("a", true, at(1'000));
    BOOST_TEST(admission.limit() < 50u);
    const std::uint32_t low = admission.limit();
    for (int i = 0; i < 49; ++i) {
        admission.release("a", false, at(1'100));
    }
    for (int i = 0; i < 200; ++i) {
        admission.admit("a", 1, at(2'000));
        admission.release("a", false, at(2'000));
    }
    BOOST_TEST(admission.limit() > low);
}

BOOST_AUTO_TEST_CASE(retry_budgets_bound_retries)
{
    RetryBudget budget(20);
    int taken = 0;
    while (budget.take()) {
        ++taken;
    }
    BOOST_TEST(taken == 20);
    for (int i = 0; i < 100; ++i) {
        budget.noteRequest();
        taken += budget.take() ? 1 : 0;
    }
    BOOST_TEST(taken == 40);
    RetryBudget none(0);
    BOOST_TEST(!none.take());
}

BOOST_AUTO_TEST_CASE(burn_counters_sum_windows_and_report_coverage)
{
    BurnCounters counters(at(0));
    const BurnSeries series{"scorer", "center"};
    const Instant later = at(0) + std::chrono::minutes(20);
    counters.note(series, {100, 10, 0, 0}, at(0));
    counters.note(series, {100, 0, 0, 0}, later);
    BOOST_TEST(counters.counts(series, std::chrono::minutes(5), later).total == 100u);
    BOOST_TEST(counters.counts(series, std::chrono::minutes(30), later).total == 200u);
    BOOST_TEST(counters.coverage(std::chrono::minutes(5), later) == 1.0);
    BOOST_TEST(counters.coverage(std::chrono::minutes(60), later) < 0.34);
    BOOST_TEST(burnRate({100, 10, 0, 0}, 950) == 2.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(burnAlert(20, 15) == "page");
    BOOST_TEST(burnAlert(20, 1) == "ok");
}

BOOST_AUTO_TEST_CASE(removed_node_moves_only_its_own_keys)
{
    std::vector<std::string> nodes;
    for (int i = 0; i < 10; ++i) {
        nodes.push_back("node-" + std::to_string(i));
    }
    std::vector<std::string> fewer(nodes.begin(), nodes.end() - 1);
    int moved = 0;
    for (int key = 0; key < 1'000; ++key) {
        const std::string text = std::to_string(key);
        const std::string before = nodes[rendezvousOrder(text, nodes, 1)[0]];
        const std::string after = fewer[rendezvousOrder(text, fewer, 1)[0]];
        const bool mustMove = before == nodes.back();
        BOOST_TEST((mustMove || before == after));
        moved += mustMove ? 1 : 0;
    }
    BOOST_TEST(moved > 50);
    BOOST_TEST(moved < 170);
}
