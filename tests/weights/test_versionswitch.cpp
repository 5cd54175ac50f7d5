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

/** Returns a switch that serves v1. */
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
    VersionSwitch versions;
    versions.setTargets(sOne, std::nullopt);
    const auto first = versions.next(at(0), true);
    BOOST_TEST(hasAction<StartFetch>(first));
    BOOST_TEST(!hasAction<OrderLoad>(first));
    versions.markFetched("v1", "another digest");
    BOOST_TEST(!hasAction<OrderLoad>(versions.next(at(1), true)));
    versions.markFetched("v1", "d1");
    BOOST_TEST(hasAction<OrderLoad>(versions.next(at(2), true)));
}

BOOST_AUTO_TEST_CASE(a_version_is_not_loaded_from_another_manifest)
{
    VersionSwitch versions;
    versions.setTargets(sOne, std::nullopt);
    versions.next(at(0), true);
    versions.markFetched("v1", "d1");
    versions.setTargets(VersionTarget{"v1", "d1-anew"}, std::nullopt);
    const auto actions = versions.next(at(1), true);
    BOOST_TEST(!hasAction<OrderLoad>(actions));
    BOOST_TEST(hasAction<StartFetch>(actions));
}

BOOST_AUTO_TEST_CASE(a_version_is_announced_only_with_the_digest_that_the_engine_reports)
{
    VersionSwitch versions = servingOne();
    BOOST_TEST(versions.serves("v1"));
    // The same version name with another digest does not match the target.
    const std::array mixed{LoadedVersion{"v1", "other"}};
    versions.setEngineReport(mixed, at(3));
    BOOST_TEST(!versions.serves("v1"));
    BOOST_TEST(versions.announced().empty());
}

BOOST_AUTO_TEST_CASE(an_accepted_load_order_alone_announces_nothing)
{
    VersionSwitch versions;
    versions.setTargets(sOne, std::nullopt);
    versions.next(at(0), true);
    versions.markFetched("v1", "d1");
    versions.next(at(1), true);
    versions.orderEnded("v1", true, at(2));
    BOOST_TEST(versions.announced().empty());
}

BOOST_AUTO_TEST_CASE(a_superseded_fetch_is_stopped_and_its_completion_ignored)
{
    VersionSwitch versions = servingOne();
    versions.setTargets(sOne, sTwo);
    BOOST_TEST(hasAction<StartFetch>(versions.next(at(3), true)));
    versions.setTargets(sOne, VersionTarget{"v3", "d3"});
    const auto actions = versions.next(at(4), true);
    BOOST_TEST(hasAction<StopFetch>(actions));
    BOOST_TEST(hasAction<StartFetch>(actions));
    versions.markFetched("v2", "d2"); // the last chunk of the superseded fetch arrives late
    BOOST_TEST(!hasAction<OrderLoad>(versions.next(at(5), true)));
}

BOOST_AUTO_TEST_CASE(the_old_version_serves_until_the_new_one_is_loaded)
{
    VersionSwitch versions = servingOne();
    versions.setTargets(sTwo, std::nullopt);
    versions.next(at(3), true);
    BOOST_TEST(versions.serves("v1"));
    versions.markFetched("v2", "d2");
    BOOST_TEST(!hasAction<OrderUnload>(versions.next(at(4), true)));
    const std::array both{LoadedVersion{"v1", "d1"}, LoadedVersion{"v2", "d2"}};
    versions.setEngineReport(both, at(5));
    versions.orderEnded("v2", true, at(5));
    BOOST_TEST(versions.serves("v2"));
    BOOST_TEST(hasAction<OrderUnload>(versions.next(at(6), true)));
    BOOST_TEST(!versions.serves("v1"));
}

BOOST_AUTO_TEST_CASE(an_engine_restart_clears_announcements_and_triggers_a_reload)
{
    VersionSwitch versions = servingOne();
    versions.clearEngineReport();
    BOOST_TEST(versions.announced().empty());
    BOOST_TEST(hasAction<OrderLoad>(versions.next(at(9), true)));
}

BOOST_AUTO_TEST_CASE(a_load_order_waits_for_permission)
{
    VersionSwitch versions = servingOne();
    versions.setTargets(sOne, sTwo);
    versions.next(at(3), false);
    versions.markFetched("v2", "d2");
    BOOST_TEST(!hasAction<OrderLoad>(versions.next(at(4), false)));
    BOOST_TEST(versions.waitingToLoad().value_or("") == "v2");
    BOOST_TEST(hasAction<OrderLoad>(versions.next(at(5), true)));
}

BOOST_AUTO_TEST_CASE(a_failed_load_order_is_retried_after_a_delay)
{
    VersionSwitch versions = servingOne();
    versions.setTargets(sOne, sTwo);
    versions.next(at(3), true);
    versions.markFetched("v2", "d2");
    BOOST_TEST(hasAction<OrderLoad>(versions.next(at(4), true)));
    BOOST_TEST(!hasAction<OrderLoad>(versions.next(at(5), true)));
    versions.orderEnded("v2", false, at(6));
    BOOST_TEST(!hasAction<OrderLoad>(versions.next(at(7), true)));
    BOOST_TEST(hasAction<OrderLoad>(versions.next(at(2'000), true)));
}
