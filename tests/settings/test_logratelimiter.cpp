/*
 * test_logratelimiter.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "logratelimiter.h"

using namespace Loom;

BOOST_AUTO_TEST_CASE(lines_above_the_limit_are_suppressed_and_counted)
{
    LogRateLimiter limiter(3);
    int written = 0;
    for (int line = 0; line < 10; ++line) {
        written += limiter.allow("call", at(5'000 + line)) ? 1 : 0;
    }
    BOOST_TEST(written == 3);
    BOOST_TEST(limiter.allow("other", at(5'020)));
    BOOST_TEST(!limiter.takeSuppressed(at(5'500)).has_value());
    const auto suppressed = limiter.takeSuppressed(at(6'000));
    BOOST_REQUIRE(suppressed.has_value());
    BOOST_TEST(suppressed->event == "call");
    BOOST_TEST(suppressed->count == 7U);
    BOOST_TEST(!limiter.takeSuppressed(at(6'001)).has_value());
    BOOST_TEST(limiter.allow("call", at(6'002)));
}
