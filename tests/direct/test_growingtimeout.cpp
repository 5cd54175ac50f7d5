/*
 * test_growingtimeout.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "growingtimeout.h"

using namespace Loom;

BOOST_AUTO_TEST_CASE(a_timeout_doubles_up_to_its_bound_and_falls_back_after_success)
{
    GrowingTimeout timeout(Milliseconds(1'500), Milliseconds(4'000));
    BOOST_TEST(timeout.current().count() == 1'500);
    timeout.noteTimedOut();
    BOOST_TEST(timeout.current().count() == 3'000);
    timeout.noteTimedOut();
    timeout.noteTimedOut();
    BOOST_TEST(timeout.current().count() == 4'000);
    timeout.noteDone();
    BOOST_TEST(timeout.current().count() == 1'500);
}
