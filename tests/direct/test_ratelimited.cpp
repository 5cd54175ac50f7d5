/*
 * test_ratelimited.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "replicaset.h"

using namespace Loom;

namespace {

Instant at(int ms)
{
    return Instant(Milliseconds(10'000 + ms));
}

/** A set with one replica of a plain service. */
struct RateLimitLab
{
    RateLimitLab()
    {
        ReplicaRecord record;
        record.id = "r1";
        record.service = "plain";
        record.address = "10.0.0.1:1";
        record.slots = 4;
        set.put(record, at(0));
        query.service = "plain";
        query.goal = Milliseconds(400);
        incarnation = record.incarnation();
    }

    bool isRateLimited(int ms) const { return set.find("r1")->isRateLimited(at(ms)); }

    ReplicaSet set{Milliseconds(2'000)};
    ReplicaQuery query;
    std::string incarnation;
};

} // namespace

BOOST_AUTO_TEST_CASE(raised_limit_takes_effect_at_once)
{
    RateLimitLab lab;
    lab.set.applyLimit({lab.incarnation, 0.3, at(1), Milliseconds(3'000)}, at(1));
    BOOST_TEST(lab.isRateLimited(100));
    lab.set.applyLimit({lab.incarnation, 50.0, at(100), Microseconds(0)}, at(100));
    BOOST_TEST(!lab.isRateLimited(100));
}

BOOST_AUTO_TEST_CASE(limit_of_another_incarnation_is_ignored)
{
    RateLimitLab lab;
    lab.set.applyLimit({"r1@7", 0.3, at(1), Milliseconds(3'000)}, at(1));
    BOOST_TEST(!lab.isRateLimited(100));
    BOOST_TEST(!lab.set.find("r1")->limit.perSecond().has_value());
}

BOOST_AUTO_TEST_CASE(callers_are_told_to_retry_when_the_next_send_is_permitted)
{
    RateLimitLab lab;
    lab.set.noteNamedLimit("r1", 1.0, at(0));
    lab.set.setRateLimitedUntil("r1", at(600));
    const ReplicaChoice choice = lab.set.choose(lab.query, at(0));
    const auto *busy = std::get_if<AllBusy>(&choice);
    BOOST_REQUIRE(busy != nullptr);
    BOOST_TEST(busy->retryAfter.count() >= 600);
    BOOST_TEST(std::holds_alternative<ChosenReplica>(lab.set.choose(lab.query, at(600))));
}
