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
            budget, [this, number](CutReason) { cut.push_back(number); }, time));
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
            share.endRequest(time);
        }
        return isTaken;
    }

    ConnectionBudget budget{ConnectionBounds{16 * sMegabyte, 4'000}};
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
        shares[request]->beginHandling(time);
    }
    time += std::chrono::seconds(60);
    BOOST_TEST(!announce(sBody));
    shares[0]->endRequest(time);
    BOOST_TEST(announce(sBody));
    BOOST_TEST(cut.empty());
}

// Guards against requests sent behind one that is handled, which the system keeps unread.
BOOST_AUTO_TEST_CASE(unread_bytes_count_and_end_their_connection_when_memory_is_short)
{
    ConnectionBudget::Share &share = add();
    share.beginHandling(time);
    BOOST_TEST(share.noteUnread(sMegabyte));
    BOOST_TEST(budget.bytes() == sMegabyte);
    while (announce(sBody)) { }
    while (announce(16'000)) { }
    BOOST_TEST(share.noteUnread(16'000));
    BOOST_TEST(!share.noteUnread(2 * sMegabyte));
    share.endRequest(time);
    BOOST_TEST(announce(16'000));
}

// Guards against limits of an operator that no request could use.
BOOST_AUTO_TEST_CASE(single_request_is_taken_whatever_its_size)
{
    BOOST_TEST(announce(100 * sMegabyte));
    BOOST_TEST(!announce(sBody));
    shares[0]->endRequest(time);
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

// Guards against idle connections that leave no descriptor for ordinary callers.
BOOST_AUTO_TEST_CASE(new_connection_takes_the_place_of_the_one_without_a_request_for_longest)
{
    ConnectionBudget full{ConnectionBounds{16 * sMegabyte, 3}};
    std::vector<std::unique_ptr<ConnectionBudget::Share>> open;
    std::vector<std::size_t> closed;
    const auto connect = [&]() -> ConnectionBudget::Share & {
        const std::size_t number = open.size();
        open.push_back(std::make_unique<ConnectionBudget::Share>(
            full,
            [&closed, number](CutReason reason) {
                BOOST_TEST((reason == CutReason::Connections));
                closed.push_back(number);
            },
            time));
        time += std::chrono::milliseconds(10);
        return *open.back();
    };
    const auto serve = [&](ConnectionBudget::Share &share) {
        share.beginRequest(time);
        share.beginHandling(time);
        share.endRequest(time);
    };
    serve(connect()); // 0: rests after a request
    connect(); // 1: has made none
    connect().beginRequest(time); // 2: has not finished its first one
    time += std::chrono::seconds(5);
    serve(connect()); // 3
    serve(connect()); // 4
    BOOST_TEST((closed == std::vector<std::size_t>{1, 2}));
    connect().beginRequest(time); // 5
    connect(); // 6: those that rest make room for one that may send its request yet
    BOOST_TEST((closed == std::vector<std::size_t>{1, 2, 0, 3}));
    open[4]->beginRequest(time);
    open[4]->beginHandling(time);
    open[5]->beginHandling(time);
    open[6]->beginRequest(time);
    open[6]->beginHandling(time);
    BOOST_TEST(connect().isCut());
    BOOST_TEST(full.connections() == 3U);
    open.clear();
    BOOST_TEST(full.connections() == 0U);
}

BOOST_AUTO_TEST_CASE(bounds_follow_the_machine)
{
    constexpr std::size_t megabyte = std::size_t{1024} * 1024;
    const ConnectionBounds small = connectionBoundsFor({160 * megabyte, 4'100});
    BOOST_TEST(small.heldBytes == 48 * megabyte);
    BOOST_TEST(small.connections == 1'950U);
    const ConnectionBounds agent = connectionBoundsFor({128 * megabyte, 2'048});
    BOOST_TEST(agent.heldBytes < 39 * megabyte);
    BOOST_TEST(agent.connections == 924U);
    const ConnectionBounds large = connectionBoundsFor({64'000 * megabyte, 1'000'000});
    BOOST_TEST(large.heldBytes == 48 * megabyte);
    BOOST_TEST(large.connections == 4'096U);
    BOOST_TEST(connectionBoundsFor({160 * megabyte, 64}).connections > 0U);
}

BOOST_AUTO_TEST_CASE(closed_connections_give_everything_back)
{
    while (announce(sBody)) { }
    while (announce(16'000)) { }
    shares[1]->beginHandling(time);
    shares.clear();
    BOOST_TEST(budget.bytes() == 0U);
    BOOST_TEST(announce(sBody));
}

BOOST_AUTO_TEST_SUITE_END()
