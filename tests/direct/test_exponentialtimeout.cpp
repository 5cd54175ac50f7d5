/*
 * test_exponentialtimeout.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "exponentialtimeout.h"

using namespace Loom;

BOOST_AUTO_TEST_CASE(timeout_doubles_up_to_its_maximum_and_resets_after_success)
{
    ExponentialTimeout timeout(Milliseconds(1'500), Milliseconds(4'000));
    BOOST_TEST(timeout.current().count() == 1'500);
    timeout.noteTimeout();
    BOOST_TEST(timeout.current().count() == 3'000);
    timeout.noteTimeout();
    timeout.noteTimeout();
    BOOST_TEST(timeout.current().count() == 4'000);
    timeout.noteSuccess();
    BOOST_TEST(timeout.current().count() == 1'500);
}
