/*
 * test_compression.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "compression.h"

using namespace Loom;

BOOST_AUTO_TEST_CASE(compressed_text_round_trips)
{
    for (const std::string &text : {std::string(), std::string("a"), std::string(100'000, 'x')}) {
        const auto back = decompressed(compressed(text), 1'000'000);
        BOOST_REQUIRE(back.has_value());
        BOOST_TEST((*back == text));
    }
    BOOST_TEST(compressed(std::string(100'000, 'x')).size() < 1'000U);
}

BOOST_AUTO_TEST_CASE(damaged_foreign_or_oversized_input_is_rejected)
{
    const std::string good = compressed(std::string(100'000, 'x'));
    BOOST_TEST(!decompressed("no frame at all", 1'000'000).has_value());
    BOOST_TEST(!decompressed("", 1'000'000).has_value());
    BOOST_TEST(!decompressed(good.substr(0, good.size() - 3), 1'000'000).has_value());
    const auto tooLong = decompressed(good, 99'999);
    BOOST_REQUIRE(!tooLong.has_value());
    BOOST_TEST(tooLong.error().find("99999") != std::string::npos);
}
