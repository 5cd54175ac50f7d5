/*
 * test_pendingqueries.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "pendingqueries.h"

using namespace Loom;

BOOST_AUTO_TEST_CASE(answer_is_no_older_than_its_query)
{
    PendingQueries queries(at(0));
    queries.ask(at(300));
    queries.ask(at(600));
    BOOST_TEST((queries.answered() == at(0)));
    BOOST_TEST((queries.answered() == at(300)));
    BOOST_TEST((queries.answered() == at(600)));
}

// An unsolicited message may be from any time since the last answered query was sent.
BOOST_AUTO_TEST_CASE(unsolicited_message_is_no_older_than_the_last_answered_query)
{
    PendingQueries queries(at(10));
    queries.ask(at(300));
    BOOST_TEST((queries.heard() == at(10)));
    queries.answered();
    BOOST_TEST((queries.heard() == at(10)));
    queries.answered();
    BOOST_TEST((queries.heard() == at(300)));
}

// Nothing is known about the age of an answer without an open query.
BOOST_AUTO_TEST_CASE(answer_without_a_query_has_no_known_age)
{
    PendingQueries queries(at(0));
    BOOST_TEST(queries.answered().has_value());
    BOOST_TEST(!queries.answered().has_value());
    BOOST_TEST((queries.heard() == at(0)));
}
