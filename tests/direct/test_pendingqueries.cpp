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
    PendingQueries questions(at(0));
    questions.ask(at(300));
    questions.ask(at(600));
    BOOST_TEST((questions.answered() == at(0)));
    BOOST_TEST((questions.answered() == at(300)));
    BOOST_TEST((questions.answered() == at(600)));
}

// What comes unasked may be of any time since the last question that was answered.
BOOST_AUTO_TEST_CASE(unsolicited_message_is_no_older_than_the_last_answered_query)
{
    PendingQueries questions(at(10));
    questions.ask(at(300));
    BOOST_TEST((questions.heard() == at(10)));
    questions.answered();
    BOOST_TEST((questions.heard() == at(10)));
    questions.answered();
    BOOST_TEST((questions.heard() == at(300)));
}

// Without a question nothing is known to be fresh.
BOOST_AUTO_TEST_CASE(answer_without_a_query_has_no_known_age)
{
    PendingQueries questions(at(0));
    BOOST_TEST(questions.answered().has_value());
    BOOST_TEST(!questions.answered().has_value());
    BOOST_TEST((questions.heard() == at(0)));
}
