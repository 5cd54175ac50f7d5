/*
 * test_capacitywait.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "capacitywait.h"
#include "fakelog.h"

using namespace Loom;

// A fleet that loads newer weights breaks off hundreds of streams at once. If each of them looked
// for a replica all the time, the gateways would be busy with that alone.
BOOST_AUTO_TEST_CASE(of_many_broken_streams_only_the_one_with_the_least_time_looks_for_a_replica)
{
    CapacityWait waiting;
    const auto later = waiting.add(at(900));
    const auto first = waiting.add(at(300));
    const auto second = waiting.add(at(600));
    BOOST_REQUIRE(later && first && second);
    BOOST_TEST(waiting.isFirst(*first));
    BOOST_TEST(!waiting.isFirst(*second));
    BOOST_TEST(!waiting.isFirst(*later));
    waiting.remove(*first);
    BOOST_TEST(waiting.isFirst(*second));
    waiting.remove(*second);
    waiting.remove(*second);
    BOOST_TEST(waiting.isFirst(*later));
    BOOST_TEST(waiting.size() == 1);
}

// Waiting calls hold their requests and connections, so that their number has to be bounded.
BOOST_AUTO_TEST_CASE(more_broken_streams_than_a_gateway_can_hold_are_not_added)
{
    CapacityWait waiting;
    std::size_t added = 0;
    while (added < 10'000 && waiting.add(at(100))) {
        ++added;
    }
    BOOST_TEST(added == 256);
    BOOST_TEST(waiting.size() == added);
}

// A stream that is continued after its caller has left is work for nothing.
BOOST_AUTO_TEST_CASE(resumed_stream_is_due_before_its_caller_gives_up)
{
    Route route;
    BOOST_TEST((resumeDeadline(route, at(1'000)) == at(1'000 + 2'000 - 400)));
    route.goal = Milliseconds(1'000);
    BOOST_TEST((resumeDeadline(route, at(1'000)) == at(1'000 + 4'000 - 400)));
    route.pauseGoal = Milliseconds(600);
    BOOST_TEST((resumeDeadline(route, at(1'000)) == at(1'000 + 4'800 - 400)));
}
