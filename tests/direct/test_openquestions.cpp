/*
 * test_openquestions.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "openquestions.h"

using namespace Loom;

BOOST_AUTO_TEST_CASE(an_answer_is_as_old_as_its_own_question)
{
    OpenQuestions questions(at(0));
    questions.ask(at(300));
    questions.ask(at(600));
    BOOST_TEST((questions.answered() == at(0)));
    BOOST_TEST((questions.answered() == at(300)));
    BOOST_TEST((questions.answered() == at(600)));
}

// What comes unasked may be of any time since the last question that was answered.
BOOST_AUTO_TEST_CASE(what_comes_unasked_is_as_old_as_the_last_question_that_was_heard)
{
    OpenQuestions questions(at(10));
    questions.ask(at(300));
    BOOST_TEST((questions.heard() == at(10)));
    questions.answered();
    BOOST_TEST((questions.heard() == at(10)));
    questions.answered();
    BOOST_TEST((questions.heard() == at(300)));
}

// Without a question nothing is known to be fresh.
BOOST_AUTO_TEST_CASE(an_answer_to_no_question_says_nothing_of_its_age)
{
    OpenQuestions questions(at(0));
    BOOST_TEST(questions.answered().has_value());
    BOOST_TEST(!questions.answered().has_value());
    BOOST_TEST((questions.heard() == at(0)));
}
