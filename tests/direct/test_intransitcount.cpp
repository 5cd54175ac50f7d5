/*
 * test_intransitcount.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "intransitcount.h"

using namespace Loom;

BOOST_AUTO_TEST_CASE(request_counts_until_an_engine_report_can_include_it)
{
    InTransitCount inTransit;
    BOOST_TEST(inTransit.notVisibleAt(at(0)) == 0U);
    inTransit.note(at(100));
    inTransit.note(at(103));
    // The report was taken before the requests or while they were in transit.
    BOOST_TEST(inTransit.notVisibleAt(at(95)) == 2U);
    BOOST_TEST(inTransit.notVisibleAt(at(101)) == 2U);
    BOOST_TEST(inTransit.notVisibleAt(at(107)) == 1U);
    BOOST_TEST(inTransit.notVisibleAt(at(120)) == 0U);
    BOOST_TEST(inTransit.notVisibleAt(at(121)) == 0U);
}
