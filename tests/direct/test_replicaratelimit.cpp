/*
 * test_replicaratelimit.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "replicaratelimit.h"

using namespace Loom;

namespace {

Instant at(int ms)
{
    return Instant(Milliseconds(1'000 + ms));
}

} // namespace

BOOST_AUTO_TEST_CASE(newest_report_wins_in_any_order)
{
    ReplicaRateLimit limit;
    BOOST_TEST((limit.name(2.0, at(100)) == LimitChange::Started));
    BOOST_TEST((limit.name(2.0, at(200)) == LimitChange::Nothing));
    BOOST_TEST((limit.hear(9.0, at(150)) == LimitChange::Nothing));
    BOOST_TEST((limit.hear(std::nullopt, at(150)) == LimitChange::Nothing));
    BOOST_TEST((limit.hear(3.0, at(300)) == LimitChange::Changed));
    BOOST_TEST(limit.perSecond().value() == 3.0);
    BOOST_TEST((limit.hear(std::nullopt, at(400)) == LimitChange::Removed));
    BOOST_TEST(!limit.perSecond().has_value());
}

BOOST_AUTO_TEST_CASE(answer_to_a_request_sent_before_the_limit_does_not_lift_it)
{
    ReplicaRateLimit limit;
    BOOST_TEST((limit.noteNoLimit(at(0), at(10)) == LimitChange::Nothing));
    limit.name(2.0, at(100));
    BOOST_TEST((limit.noteNoLimit(at(90), at(500)) == LimitChange::Nothing));
    BOOST_TEST(limit.perSecond().has_value());
    BOOST_TEST((limit.noteNoLimit(at(110), at(600)) == LimitChange::Removed));
}

BOOST_AUTO_TEST_CASE(relayed_limit_keeps_its_original_time)
{
    ReplicaRateLimit limit;
    limit.name(2.0, at(100));
    limit.hear(2.0, at(5'000));
    BOOST_TEST((limit.noteNoLimit(at(200), at(6'000)) == LimitChange::Removed));
}
