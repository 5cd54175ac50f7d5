/*
 * test_answermemory.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "answermemory.h"

using namespace Loom;

BOOST_AUTO_TEST_CASE(largest_answer_is_given_up_when_the_limit_is_exceeded)
{
    AnswerMemory memory(100);
    int givenUp = 0;
    AnswerMemory::Share large(memory, false, [&] { ++givenUp; });
    AnswerMemory::Share small(memory, false, [] {});
    BOOST_TEST(large.resize(70));
    BOOST_TEST(small.resize(30));
    BOOST_TEST(small.resize(40));
    BOOST_TEST(givenUp == 1);
    BOOST_TEST(large.isGivenUp());
    BOOST_TEST(!large.resize(1));
    BOOST_TEST(memory.bytes() == 40U);
}

// Guards against giving up a large answer that is right for one that never ends.
BOOST_AUTO_TEST_CASE(answer_that_states_its_length_is_given_up_last)
{
    AnswerMemory memory(100);
    AnswerMemory::Share withLength(memory, true, [] {});
    AnswerMemory::Share endless(memory, false, [] {});
    BOOST_TEST(withLength.resize(80));
    BOOST_TEST(endless.resize(10));
    BOOST_TEST(!endless.resize(40));
    BOOST_TEST(!withLength.isGivenUp());
    BOOST_TEST(memory.bytes() == 80U);
    BOOST_TEST(!withLength.resize(101));
}

BOOST_AUTO_TEST_CASE(complete_answer_is_not_given_up)
{
    AnswerMemory memory(100);
    AnswerMemory::Share complete(memory, false, [] { BOOST_ERROR("was complete"); });
    BOOST_TEST(complete.resize(90));
    complete.settle();
    AnswerMemory::Share next(memory, false, [] {});
    BOOST_TEST(!next.resize(20));
    BOOST_TEST(next.isGivenUp());
}

BOOST_AUTO_TEST_CASE(bytes_are_released_with_the_share)
{
    AnswerMemory memory(100);
    {
        AnswerMemory::Share share(memory, false, [] {});
        BOOST_TEST(share.resize(60));
    }
    BOOST_TEST(memory.bytes() == 0U);
}
