/*
 * test_connectionbudget.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "connectionbudget.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

using namespace Loom;

namespace {

constexpr std::size_t sMegabyte = 1'000'000;
constexpr std::size_t sBody = 4 * sMegabyte;
constexpr std::size_t sHead = 1'000;

/** Connections in simulated time. */
class BudgetFixture
{
public:
    ConnectionBudget::Share &add()
    {
        const std::size_t number = shares.size();
        shares.push_back(std::make_unique<ConnectionBudget::Share>(
            budget, [this, number] { cut.push_back(number); }));
        shares.back()->beginRequest(time);
        return *shares.back();
    }

    /** A request that announces a body; false: it was refused. */
    bool announce(std::size_t bytes)
    {
        ConnectionBudget::Share &share = add();
        share.noteArrival(sHead, time);
        const bool isTaken = share.resize(bytes, time);
        if (!isTaken) {
            share.endRequest();
        }
        return isTaken;
    }

    ConnectionBudget budget{ConnectionBounds{16 * sMegabyte}};
    Instant time{std::chrono::seconds(100)};
    std::vector<std::unique_ptr<ConnectionBudget::Share>> shares;
    std::vector<std::size_t> cut;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(connection_budget, BudgetFixture)

BOOST_AUTO_TEST_CASE(as_many_large_requests_as_fit_are_taken_and_the_others_are_refused)
{
    int taken = 0;
    for (int request = 0; request < 10; ++request) {
        taken += announce(sBody) ? 1 : 0;
    }
    BOOST_TEST(taken == 3);
    BOOST_TEST(cut.empty());
    BOOST_TEST(budget.bytes() == 3 * sBody);
}

BOOST_AUTO_TEST_CASE(small_requests_are_taken_while_large_ones_fill_their_part)
{
    while (announce(sBody)) { }
    for (int request = 0; request < 100; ++request) {
        BOOST_TEST(announce(sHead));
    }
    BOOST_TEST(cut.empty());
}

// Guards against clients that stop just short of the end and keep the room for ever.
BOOST_AUTO_TEST_CASE(stalled_request_loses_its_place_to_a_new_one)
{
    while (announce(sBody)) { }
    for (std::size_t request = 0; request < 3; ++request) {
        shares[request]->noteArrival(sBody - 1, time);
    }
    time += std::chrono::seconds(1);
    shares[1]->noteArrival(1, time);
    BOOST_TEST(!announce(sBody));
    time += std::chrono::seconds(4);
    BOOST_TEST(announce(sBody));
    BOOST_TEST(cut.size() == 1U);
    BOOST_TEST(shares[cut[0]]->isCut());
    BOOST_TEST(!shares[cut[0]]->resize(sBody, time));
}

BOOST_AUTO_TEST_CASE(moving_request_keeps_its_place_and_the_slowest_loses_it)
{
    while (announce(sBody)) { }
    for (int step = 0; step < 30; ++step) {
        time += std::chrono::milliseconds(100);
        shares[0]->noteArrival(100'000, time);
        shares[1]->noteArrival(10'000, time);
        shares[2]->noteArrival(100'000, time);
    }
    BOOST_TEST(announce(sBody));
    BOOST_TEST((cut == std::vector<std::size_t>{1}));
    BOOST_TEST(!announce(sBody));
}

BOOST_AUTO_TEST_CASE(whole_request_keeps_its_place_until_its_answer_is_out)
{
    while (announce(sBody)) { }
    for (std::size_t request = 0; request < 3; ++request) {
        shares[request]->beginHandling();
    }
    time += std::chrono::seconds(60);
    BOOST_TEST(!announce(sBody));
    shares[0]->endRequest();
    BOOST_TEST(announce(sBody));
    BOOST_TEST(cut.empty());
}

// Guards against limits of an operator that no request could use.
BOOST_AUTO_TEST_CASE(single_request_is_taken_whatever_its_size)
{
    BOOST_TEST(announce(100 * sMegabyte));
    BOOST_TEST(!announce(sBody));
    shares[0]->endRequest();
    BOOST_TEST(announce(sBody));
}

BOOST_AUTO_TEST_CASE(unfinished_heads_give_way_to_new_requests)
{
    while (announce(16'000)) { }
    time += std::chrono::seconds(5);
    for (int request = 0; request < 100; ++request) {
        BOOST_TEST(announce(16'000));
    }
    BOOST_TEST(cut.size() == 100U);
}

BOOST_AUTO_TEST_CASE(closed_connections_give_everything_back)
{
    while (announce(sBody)) { }
    while (announce(16'000)) { }
    shares[1]->beginHandling();
    shares.clear();
    BOOST_TEST(budget.bytes() == 0U);
    BOOST_TEST(announce(sBody));
}

BOOST_AUTO_TEST_SUITE_END()
