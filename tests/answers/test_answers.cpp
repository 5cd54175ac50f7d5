/*
 * test_answers.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE answers
#include <boost/test/unit_test.hpp>
