/*
 * test_fold.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE config
#include <boost/test/unit_test.hpp>

#include "configstate.h"
#include "fakelog.h"

using namespace Loom;

namespace {

constexpr std::string_view sKey = "calls.deadlineMs";

ConfigState stateWithService()
{
    ConfigState state;
    BOOST_REQUIRE(state.apply(createAccount("a", "center"), 0).accepted);
    BOOST_REQUIRE(state.apply(createService("s", "scorer", "center", "texas"), 1).accepted);
    return state;
}

} // namespace

BOOST_AUTO_TEST_CASE(values_are_inherited_and_overridden)
{
    ConfigState state = stateWithService();
    BOOST_TEST(state.explain("scorer", sKey).scope == "");
    state.apply(setChange("1", 1, "/", "calls.deadlineMs", "1000"), 2);
    BOOST_TEST(state.integer("scorer", sKey) == 1000);
    state.apply(setChange("2", 2, "/region/texas", "calls.deadlineMs", "2000"), 3);
    BOOST_TEST(state.integer("scorer", sKey) == 2000);
    // The client account takes precedence over the region.
    state.apply(setChange("3", 3, "/account/center", "calls.deadlineMs", "3000"), 4);
    BOOST_TEST(state.explain("scorer", sKey).scope == "/account/center");
    state.apply(setChange("4", 4, "/service/scorer", "calls.deadlineMs", "4000"), 5);
    BOOST_TEST(state.integer("scorer", sKey) == 4000);
}

BOOST_AUTO_TEST_CASE(the_later_of_two_conflicting_changes_is_rejected)
{
    ConfigState state = stateWithService();
    const auto first = setChange("first", 1, "/service/scorer", "calls.deadlineMs", "100");
    const auto second = setChange("second", 1, "/service/scorer", "calls.deadlineMs", "200");
    BOOST_TEST(state.apply(first, 2).accepted);
    const ChangeResult lost = state.apply(second, 3);
    BOOST_TEST(!lost.accepted);
    BOOST_TEST(lost.reason.starts_with("race"));
    BOOST_TEST(state.integer("scorer", sKey) == 100);
    // A change based on the accepted one is accepted.
    BOOST_TEST(state.apply(setChange("third", 3, "/service/scorer", "calls.deadlineMs", "200"), 4)
                   .accepted);
}

BOOST_AUTO_TEST_CASE(a_change_that_conflicts_with_a_removal_is_rejected)
{
    ConfigState state = stateWithService();
    state.apply(setChange("1", 1, "/", "calls.deadlineMs", "100"), 2);
    wire::ConfigChange unset;
    unset.set_change_id("unset");
    unset.set_base(2);
    unset.add_operations()->mutable_unset_value()->set_scope("/");
    unset.mutable_operations(0)->mutable_unset_value()->set_key("calls.deadlineMs");
    BOOST_TEST(state.apply(unset, 3).accepted);
    BOOST_TEST(!state.apply(setChange("2", 2, "/", "calls.deadlineMs", "300"), 4).accepted);
}

BOOST_AUTO_TEST_CASE(a_repeated_change_id_is_not_applied_again)
{
    ConfigState state = stateWithService();
    const auto change = setChange("x", 1, "/", "calls.deadlineMs", "100");
    state.apply(change, 2);
    state.apply(setChange("y", 2, "/", "calls.deadlineMs", "200"), 3);
    const ChangeResult again = state.apply(change, 4);
    BOOST_TEST(again.accepted);
    BOOST_TEST(again.offset == 2u);
    BOOST_TEST(state.integer("scorer", sKey) == 200);
}

BOOST_AUTO_TEST_CASE(invalid_values_are_rejected_with_the_field_name)
{
    ConfigState state = stateWithService();
    const auto refusal
        = [&](const std::string &scope, const std::string &key, const std::string &value) {
              static int sNumber = 0;
              const auto change = setChange("bad" + std::to_string(++sNumber), state.lastOffset(),
                                            scope, key, value);
              const ChangeResult result = state.apply(change, state.lastOffset() + 1);
              BOOST_TEST(!result.accepted);
              return result.reason;
          };
    BOOST_TEST(refusal("/", "no.such", "1").find("no.such") != std::string::npos);
    BOOST_TEST(refusal("/", "calls.deadlineMs", "true").find("calls.deadlineMs")
               != std::string::npos);
    BOOST_TEST(refusal("/", "calls.deadlineMs", "0").find("found 0") != std::string::npos);
    BOOST_TEST(refusal("/nowhere", "calls.deadlineMs", "1").find("/nowhere") != std::string::npos);
    BOOST_TEST(refusal("/service/none", "calls.deadlineMs", "1").find("none") != std::string::npos);
    BOOST_TEST(refusal("/service/scorer", "model.version", "\"v9\"").find("v9")
               != std::string::npos);
    BOOST_TEST(refusal("/", "model.version", "\"v9\"").find("service") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_change_is_applied_atomically)
{
    ConfigState state = stateWithService();
    wire::ConfigChange change = setChange("both", 1, "/", "calls.deadlineMs", "100");
    *change.add_operations() = setChange("", 1, "/", "no.such", "1").operations(0);
    BOOST_TEST(!state.apply(change, 2).accepted);
    BOOST_TEST(state.explain("scorer", sKey).scope == "");
}

BOOST_AUTO_TEST_CASE(later_operations_see_the_effects_of_earlier_ones)
{
    ConfigState state;
    wire::ConfigChange change = createAccount("all", "center");
    change.set_base(ConfigState::sNoOffset);
    *change.add_operations() = createService("", "scorer", "center", "").operations(0);
    const auto set = [&](const std::string &value) {
        *change.add_operations()
            = setChange("", 0, "/service/scorer", "calls.deadlineMs", value).operations(0);
    };
    set("100");
    set("200");
    BOOST_TEST(state.apply(change, 0).accepted);
    BOOST_TEST(state.integer("scorer", sKey) == 200);
}

BOOST_AUTO_TEST_CASE(a_rejected_change_leaves_the_state_unchanged)
{
    ConfigState state = stateWithService();
    state.apply(setChange("1", 1, "/", "calls.deadlineMs", "100"), 2);
    const auto parts = [](const ConfigState &from) {
        wire::ConfigSnapshot snapshot = from.snapshot();
        snapshot.clear_fates();
        snapshot.clear_as_of();
        return snapshot.SerializeAsString();
    };
    const std::string before = parts(state);
    wire::ConfigChange change = createAccount("broken", "another");
    change.set_base(2);
    *change.add_operations() = setChange("", 2, "/", "calls.deadlineMs", "300").operations(0);
    wire::UnsetValue &unset = *change.add_operations()->mutable_unset_value();
    unset.set_scope("/");
    unset.set_key("calls.deadlineMs");
    *change.add_operations() = setChange("", 2, "/", "no.such", "1").operations(0);
    BOOST_TEST(!state.apply(change, 3).accepted);
    BOOST_TEST(parts(state) == before);
}

BOOST_AUTO_TEST_CASE(a_version_cannot_be_published_twice)
{
    ConfigState state = stateWithService();
    wire::ConfigChange change;
    change.set_change_id("p1");
    wire::PublishVersion &publish = *change.add_operations()->mutable_publish_version();
    publish.set_service("scorer");
    publish.set_version("v1");
    publish.set_manifest_digest(std::string(64, 'a'));
    publish.set_size_bytes(10);
    publish.set_chunk_bytes(4096);
    BOOST_TEST(state.apply(change, 2).accepted);
    change.set_change_id("p2");
    change.mutable_operations(0)->mutable_publish_version()->set_manifest_digest(
        std::string(64, 'b'));
    BOOST_TEST(!state.apply(change, 3).accepted);
}

BOOST_AUTO_TEST_CASE(a_snapshot_restores_the_complete_state)
{
    ConfigState state = stateWithService();
    state.apply(setChange("1", 1, "/account/center", "calls.deadlineMs", "77"), 2);
    const ConfigState copy = ConfigState::fromSnapshot(state.snapshot());
    BOOST_TEST(copy.lastOffset() == state.lastOffset());
    BOOST_TEST(copy.snapshot().SerializeAsString() == state.snapshot().SerializeAsString());
    BOOST_TEST(copy.fate("1").has_value());
}

BOOST_AUTO_TEST_CASE(previously_served_versions_are_listed_newest_first)
{
    ConfigState state = stateWithService();
    const auto serve = [&](const std::string &version) {
        wire::ConfigChange publish;
        publish.set_change_id("publish " + version + std::to_string(state.lastOffset()));
        wire::PublishVersion &one = *publish.add_operations()->mutable_publish_version();
        one.set_service("scorer");
        one.set_version(version);
        one.set_manifest_digest(std::string(64, 'a'));
        one.set_size_bytes(10);
        one.set_chunk_bytes(4096);
        state.apply(publish, state.lastOffset() + 1);
        const auto change
            = setChange("serve " + std::to_string(state.lastOffset()), state.lastOffset(),
                        "/service/scorer", "model.version", "\"" + version + "\"");
        BOOST_TEST(state.apply(change, state.lastOffset() + 1).accepted);
    };
    for (const char *version : {"v1", "v2", "v3", "v2"}) {
        serve(version);
    }
    const auto &before = state.service("scorer")->served_before();
    const std::vector<std::string> expected{"v3", "v1"};
    BOOST_TEST(std::vector<std::string>(before.begin(), before.end()) == expected,
               boost::test_tools::per_element());
}
