/*
 * test_settings.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE settings
#include <boost/test/unit_test.hpp>

#include "changejson.h"
#include "jsonhttp.h"
#include "settingschema.h"
#include "settingsfile.h"

using namespace Loom;

BOOST_AUTO_TEST_CASE(errors_name_file_field_expected_and_found_value)
{
    const auto object
        = jsonObject(R"({"box": 5, "inner": {"port": "x", "odd": 1}, "extra": true})");
    std::vector<std::string> problems;
    SettingsReader reader("a.json", "", object, problems);
    reader.text("box");
    SettingsReader inner = reader.child("inner");
    inner.endpoint("port");
    inner.integer("count", 1, 5, 3);
    inner.refuseUnknown();
    reader.refuseUnknown();
    BOOST_REQUIRE(problems.size() == 4u);
    BOOST_TEST(problems[0] == "a.json: field 'box': expected text, found 5");
    BOOST_TEST(problems[1] == "a.json: field 'inner.port': expected IP:PORT, found \"x\"");
    BOOST_TEST(problems[2] == "a.json: field 'inner.odd': expected no such field, found 1");
    BOOST_TEST(problems[3] == "a.json: field 'extra': expected no such field, found true");
}

BOOST_AUTO_TEST_CASE(every_default_value_is_valid)
{
    for (const SettingSpec &spec : settingSpecs()) {
        BOOST_TEST(!settingError(spec.key, spec.defaultJson).has_value(), spec.key);
    }
}

BOOST_AUTO_TEST_CASE(errors_in_changes_name_the_field)
{
    const auto problem = [](std::string_view text) {
        const auto change = changeFromJson(jsonObject(text));
        return change ? std::string() : change.error();
    };
    BOOST_TEST(problem("{}").find("changeId") != std::string::npos);
    BOOST_TEST(problem(R"({"changeId":"x"})").find("operations") != std::string::npos);
    BOOST_TEST(problem(R"({"changeId":"x","operations":[{"op":"fly"}]})").find("operations[0].op")
               != std::string::npos);
    BOOST_TEST(problem(R"({"changeId":"x","operations":[{"op":"set","scope":"/","key":"k"}]})")
                   .find("operations[0].value")
               != std::string::npos);
    BOOST_TEST(problem(R"({"changeId":"x","base":-1,"operations":[]})").find("base")
               != std::string::npos);
    BOOST_TEST(
        problem(R"({"changeId":"x","operations":[{"op":"createAccount","name":"a"}]})").empty());
}
