/*
 * test_linebudget.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "linebudget.h"

using namespace Loom;

BOOST_AUTO_TEST_CASE(lines_beyond_the_budget_are_left_out_and_counted)
{
    LineBudget budget(3);
    int written = 0;
    for (int line = 0; line < 10; ++line) {
        written += budget.take("call", at(5'000 + line)) ? 1 : 0;
    }
    BOOST_TEST(written == 3);
    BOOST_TEST(budget.take("other", at(5'020)));
    BOOST_TEST(!budget.leftOut(at(5'500)).has_value());
    const auto left = budget.leftOut(at(6'000));
    BOOST_REQUIRE(left.has_value());
    BOOST_TEST(left->event == "call");
    BOOST_TEST(left->count == 7U);
    BOOST_TEST(!budget.leftOut(at(6'001)).has_value());
    BOOST_TEST(budget.take("call", at(6'002)));
}
