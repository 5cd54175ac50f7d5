/*
 * test_versionswitch.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE weights
#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "versionswitch.h"

#include <array>

using namespace Loom;

namespace {

const VersionTarget sOne{"v1", "d1"};
const VersionTarget sTwo{"v2", "d2"};

template <class T> bool hasAction(const std::vector<SwitchAction> &actions)
{
    return std::ranges::any_of(
        actions, [](const SwitchAction &action) { return std::holds_alternative<T>(action); });
}

/** A switch that serves v1. */
VersionSwitch servingOne()
{
    VersionSwitch made;
    made.setTargets(sOne, std::nullopt);
    made.next(at(0), true);
    made.markFetched("v1", "d1");
    made.next(at(1), true);
    const std::array loaded{LoadedVersion{"v1", "d1"}};
    made.setEngineReport(loaded, at(2));
    made.orderEnded("v1", true, at(2));
    return made;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_version_is_loaded_only_after_complete_verification)
{
    VersionSwitch one;
    one.setTargets(sOne, std::nullopt);
    const auto first = one.next(at(0), true);
    BOOST_TEST(hasAction<StartFetch>(first));
    BOOST_TEST(!hasAction<OrderLoad>(first));
    one.markFetched("v1", "another digest");
    BOOST_TEST(!hasAction<OrderLoad>(one.next(at(1), true)));
    one.markFetched("v1", "d1");
    BOOST_TEST(hasAction<OrderLoad>(one.next(at(2), true)));
}

BOOST_AUTO_TEST_CASE(a_version_is_not_loaded_from_another_manifest)
{
    VersionSwitch one;
    one.setTargets(sOne, std::nullopt);
    one.next(at(0), true);
    one.markFetched("v1", "d1");
    one.setTargets(VersionTarget{"v1", "d1-anew"}, std::nullopt);
    const auto actions = one.next(at(1), true);
    BOOST_TEST(!hasAction<OrderLoad>(actions));
    BOOST_TEST(hasAction<StartFetch>(actions));
}

BOOST_AUTO_TEST_CASE(a_version_is_announced_only_with_the_digest_that_the_engine_reports)
{
    VersionSwitch one = servingOne();
    BOOST_TEST(one.serves("v1"));
    // The same name with other weights is another version.
    const std::array mixed{LoadedVersion{"v1", "other"}};
    one.setEngineReport(mixed, at(3));
    BOOST_TEST(!one.serves("v1"));
    BOOST_TEST(one.announced().empty());
}

BOOST_AUTO_TEST_CASE(an_accepted_load_order_alone_announces_nothing)
{
    VersionSwitch one;
    one.setTargets(sOne, std::nullopt);
    one.next(at(0), true);
    one.markFetched("v1", "d1");
    one.next(at(1), true);
    one.orderEnded("v1", true, at(2));
    BOOST_TEST(one.announced().empty());
}

BOOST_AUTO_TEST_CASE(a_superseded_fetch_is_stopped_and_its_completion_ignored)
{
    VersionSwitch one = servingOne();
    one.setTargets(sOne, sTwo);
    BOOST_TEST(hasAction<StartFetch>(one.next(at(3), true)));
    one.setTargets(sOne, VersionTarget{"v3", "d3"});
    const auto actions = one.next(at(4), true);
    BOOST_TEST(hasAction<StopFetch>(actions));
    BOOST_TEST(hasAction<StartFetch>(actions));
    one.markFetched("v2", "d2"); // its last chunk came late
    BOOST_TEST(!hasAction<OrderLoad>(one.next(at(5), true)));
}

BOOST_AUTO_TEST_CASE(the_old_version_serves_until_the_new_one_is_loaded)
{
    VersionSwitch one = servingOne();
    one.setTargets(sTwo, std::nullopt);
    one.next(at(3), true);
    BOOST_TEST(one.serves("v1"));
    one.markFetched("v2", "d2");
    BOOST_TEST(!hasAction<OrderUnload>(one.next(at(4), true)));
    const std::array both{LoadedVersion{"v1", "d1"}, LoadedVersion{"v2", "d2"}};
    one.setEngineReport(both, at(5));
    one.orderEnded("v2", true, at(5));
    BOOST_TEST(one.serves("v2"));
    BOOST_TEST(hasAction<OrderUnload>(one.next(at(6), true)));
    BOOST_TEST(!one.serves("v1"));
}

BOOST_AUTO_TEST_CASE(an_engine_restart_clears_announcements_and_triggers_a_reload)
{
    VersionSwitch one = servingOne();
    one.clearEngineReport();
    BOOST_TEST(one.announced().empty());
    BOOST_TEST(hasAction<OrderLoad>(one.next(at(9), true)));
}

BOOST_AUTO_TEST_CASE(a_load_order_waits_for_permission)
{
    VersionSwitch one = servingOne();
    one.setTargets(sOne, sTwo);
    one.next(at(3), false);
    one.markFetched("v2", "d2");
    BOOST_TEST(!hasAction<OrderLoad>(one.next(at(4), false)));
    BOOST_TEST(one.waitingToLoad().value_or("") == "v2");
    BOOST_TEST(hasAction<OrderLoad>(one.next(at(5), true)));
}

BOOST_AUTO_TEST_CASE(a_failed_load_order_is_retried_after_a_delay)
{
    VersionSwitch one = servingOne();
    one.setTargets(sOne, sTwo);
    one.next(at(3), true);
    one.markFetched("v2", "d2");
    BOOST_TEST(hasAction<OrderLoad>(one.next(at(4), true)));
    BOOST_TEST(!hasAction<OrderLoad>(one.next(at(5), true)));
    one.orderEnded("v2", false, at(6));
    BOOST_TEST(!hasAction<OrderLoad>(one.next(at(7), true)));
    BOOST_TEST(hasAction<OrderLoad>(one.next(at(2'000), true)));
}
