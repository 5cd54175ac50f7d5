/*
 * test_coldfleet.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Cold replicas behind whole gateways, and agents where the service has an engine.

#include <boost/test/unit_test.hpp>

#include "limitfleet.h"
#include "suspendedclock.h"
#include "wire.pb.h"

using namespace Loom;

namespace {

constexpr double sColdRate = 10;
constexpr int sBound = 20; // half as much again as the rate, and five
constexpr Milliseconds sSecond{1'000};
constexpr Milliseconds sLongCold{60'000};
constexpr std::size_t sGateways = 3;
constexpr std::size_t sReplicas = 2;
// All gateways together: nearly five times what two cold replicas take.
constexpr double sCallsPerSecond = 30;
constexpr std::chrono::milliseconds sUnderLoad{4'000};
// Records are read at least this often, and a permit owner then learns of the cold time.
constexpr Milliseconds sKnown{1'500};

// Gateways that leave take new requests for at least this long.
constexpr std::chrono::milliseconds sAfterLeaving{2'000};

// In which a gateway checks several times which others it hears.
constexpr std::chrono::milliseconds sSeveralChecks{700};

// Enough for each of two gateways to have the highest weight for some.
constexpr int sManyReplicas = 20;

constexpr ColdFields sCold{sColdRate, sLongCold};

int mostAt(LimitFleet &fleet, Instant from)
{
    int most = 0;
    for (std::size_t index = 0; index < sReplicas; ++index) {
        most = std::max(most, fleet.replica(index).mostIn(sSecond, from));
    }
    return most;
}

bool haveAllAtLeast(LimitFleet &fleet, std::size_t arrivals)
{
    bool isEnough = true;
    for (std::size_t index = 0; index < sReplicas; ++index) {
        isEnough = isEnough && fleet.replica(index).arrivals().size() >= arrivals;
    }
    return isEnough;
}

// Whether the gateway grants the permits of the first replica while it is cold.
bool isHome(LimitFleet &fleet, std::size_t gateway)
{
    wire::PermitQuery query;
    query.mutable_limit()->set_replica("i-0@0");
    query.set_address(fleet.replica(0).address());
    query.set_cold_per_second(sColdRate);
    query.set_cold_left_us(1'000'000);
    query.set_asks(true);
    return fleet.gateway(gateway).permits().answer(query).has_limit();
}

std::optional<std::size_t> homeOf(LimitFleet &fleet)
{
    for (std::size_t index = 0; index < sGateways; ++index) {
        if (isHome(fleet, index)) {
            return index;
        }
    }
    return std::nullopt;
}

void coldUnderLoad(LimitFleet::Kind kind)
{
    LimitFleet fleet(kind, sGateways, sReplicas, sCold);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        const Instant begin = now();
        fleet.startCallers(sCallsPerSecond);
        co_await fleet.waitFor([&] { return haveAllAtLeast(fleet, 3 * sColdRate); });
        co_await fleet.stopCallers();
        BOOST_TEST(mostAt(fleet, begin) <= sBound);
        BOOST_TEST(fleet.served() + fleet.refused() == fleet.calls());
    });
}

} // namespace

BOOST_AUTO_TEST_CASE(cold_engine_gets_its_rate_from_all_gateways_together)
{
    coldUnderLoad(LimitFleet::Kind::Engines);
}

BOOST_AUTO_TEST_CASE(cold_replica_without_an_agent_gets_its_rate_from_all_gateways_together)
{
    coldUnderLoad(LimitFleet::Kind::Plain);
}

// Without the rate in the configuration, a cold time has no effect.
BOOST_AUTO_TEST_CASE(cold_replica_of_a_service_without_a_rate_gets_all)
{
    LimitFleet fleet(LimitFleet::Kind::Engines, sGateways, sReplicas, {0, sLongCold});
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        fleet.startCallers(sCallsPerSecond);
        co_await sleepFor(sUnderLoad);
        co_await fleet.stopCallers();
        BOOST_TEST(fleet.served() == fleet.calls());
        BOOST_TEST(fleet.gateway(0).metrics().counter("send_permits", "granted") == 0U);
    });
}

// A replica's record announces a cold time that begins again under load.
BOOST_AUTO_TEST_CASE(replica_that_turns_cold_again_gets_its_rate)
{
    LimitFleet fleet(LimitFleet::Kind::Engines, sGateways, sReplicas, {sColdRate, Milliseconds(0)});
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        fleet.startCallers(sCallsPerSecond);
        co_await sleepFor(std::chrono::milliseconds(1'000));
        BOOST_TEST(fleet.served() > 0);
        for (std::size_t index = 0; index < sReplicas; ++index) {
            fleet.writeRecord(index, sLongCold);
        }
        const Instant turned = now();
        co_await sleepFor(sUnderLoad);
        co_await fleet.stopCallers();
        BOOST_TEST(mostAt(fleet, turned + sKnown) <= sBound);
        for (std::size_t index = 0; index < sReplicas; ++index) {
            BOOST_TEST(fleet.replica(index).arrivedIn(turned + sKnown, now()) > 0);
        }
    });
}

// While the store is away, only answers announce that a replica turned cold.
BOOST_AUTO_TEST_CASE(answers_announce_a_cold_time_while_the_store_is_away)
{
    LimitFleet fleet(LimitFleet::Kind::Engines, sGateways, sReplicas, {sColdRate, Milliseconds(0)});
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        fleet.startCallers(sCallsPerSecond);
        co_await sleepFor(std::chrono::milliseconds(1'000));
        fleet.store.isUnreachable = true;
        for (std::size_t index = 0; index < sReplicas; ++index) {
            fleet.replica(index).stateCold(sLongCold);
        }
        const Instant turned = now();
        co_await sleepFor(sUnderLoad);
        co_await fleet.stopCallers();
        BOOST_TEST(mostAt(fleet, turned + sKnown) <= sBound);
    });
}

// The cold time that a record stated goes on without further records.
BOOST_AUTO_TEST_CASE(cold_time_goes_on_while_the_store_is_away)
{
    LimitFleet fleet(LimitFleet::Kind::Engines, sGateways, sReplicas, sCold);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        fleet.store.isUnreachable = true;
        const Instant begin = now();
        fleet.startCallers(sCallsPerSecond);
        co_await fleet.waitFor([&] { return haveAllAtLeast(fleet, 3 * sColdRate); });
        co_await fleet.stopCallers();
        BOOST_TEST(mostAt(fleet, begin) <= sBound);
    });
}

// New gateways know nothing of the sends of the others.
BOOST_AUTO_TEST_CASE(gateways_that_start_while_replicas_are_cold_send_no_more)
{
    LimitFleet fleet(LimitFleet::Kind::Engines, 2, sReplicas, sCold);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        const Instant begin = now();
        fleet.startCallers(sCallsPerSecond);
        co_await fleet.waitFor([&] { return haveAllAtLeast(fleet, 10); });
        fleet.addGateway();
        fleet.addGateway();
        co_await fleet.waitFor(
            [&] { return fleet.gateway(3).metrics().counter("send_permits", "granted") >= 5; });
        co_await fleet.stopCallers();
        BOOST_TEST(mostAt(fleet, begin) <= sBound);
    });
}

BOOST_AUTO_TEST_CASE(cold_engine_whose_agent_is_gone_gets_nothing)
{
    LimitFleet fleet(LimitFleet::Kind::Engines, 2, sReplicas, sCold);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        const Instant begin = now();
        fleet.startCallers(sCallsPerSecond);
        co_await fleet.waitFor([&] { return haveAllAtLeast(fleet, 4); });
        fleet.killAgent(0);
        co_await sleepFor(std::chrono::milliseconds(1'000));
        const std::size_t before = fleet.replica(0).arrivals().size();
        co_await sleepFor(std::chrono::milliseconds(2'000));
        co_await fleet.stopCallers();
        BOOST_TEST(fleet.replica(0).arrivals().size() == before);
        BOOST_TEST(mostAt(fleet, begin) <= sBound);
    });
}

// Heartbeats with less time left are not announced; one that extends the cold time is, although the
// replica is cold in both.
BOOST_AUTO_TEST_CASE(record_with_a_later_end_extends_the_cold_time)
{
    LimitFleet fleet(LimitFleet::Kind::Plain, 1, 1, {sColdRate, Milliseconds(30'000)});
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        const auto left = [&] {
            return fleet.gateway(0).replicas().replicas().find("i-0")->cold.until - now();
        };
        BOOST_TEST((left() > Milliseconds(1'000)));
        BOOST_TEST((left() < Milliseconds(30'001)));
        fleet.writeRecord(0, Milliseconds(20'000));
        fleet.writeRecord(0, sLongCold);
        co_await fleet.waitFor([&] { return left() > Milliseconds(35'000); });
        // A record with an earlier end does not shorten it.
        fleet.writeRecord(0, Milliseconds(0));
        co_await sleepFor(std::chrono::milliseconds(1'000));
        BOOST_TEST((left() > Milliseconds(30'000)));
    });
}

// A home that is cut off with a minority of the gateways must not grant the rate beside the home of
// the others.
BOOST_AUTO_TEST_CASE(home_that_does_not_hear_most_gateways_grants_nothing_to_cold_replicas)
{
    LimitFleet fleet(LimitFleet::Kind::Plain, sGateways, 1, sCold);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        co_await fleet.waitFor([&] { return homeOf(fleet).has_value(); });
        const std::size_t home = *homeOf(fleet);
        for (std::size_t index = 0; index < sGateways; ++index) {
            if (index != home) {
                fleet.kill(index);
            }
        }
        co_await fleet.waitFor([&] { return !fleet.gateway(home).members().isMajorityHeard(); });
        BOOST_TEST(!isHome(fleet, home));
    });
}

// It may be alive and cut off from only some gateways, which would take another one for the home.
BOOST_AUTO_TEST_CASE(silent_home_has_no_successor_while_it_has_a_record)
{
    LimitFleet fleet(LimitFleet::Kind::Plain, sGateways, 1, sCold);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        co_await fleet.waitFor([&] { return homeOf(fleet).has_value(); });
        const std::size_t home = *homeOf(fleet);
        fleet.kill(home);
        for (std::size_t index = 0; index < sGateways; ++index) {
            if (index == home) {
                continue;
            }
            co_await fleet.waitFor([&] { return !fleet.gateway(index).isReady(1, sGateways - 1); });
            BOOST_TEST(!isHome(fleet, index));
        }
        // Its record is removed in the end, and another gateway takes over.
        co_await fleet.waitFor([&] {
            bool hasSuccessor = false;
            for (std::size_t index = 0; index < sGateways; ++index) {
                hasSuccessor = hasSuccessor || (index != home && isHome(fleet, index));
            }
            return hasSuccessor;
        });
    });
}

// The home before it may not have read its membership record yet.
BOOST_AUTO_TEST_CASE(gateway_that_has_just_started_is_no_home_of_cold_replicas)
{
    LimitFleet fleet(LimitFleet::Kind::Plain, 1, 1, sCold);
    fleet.run([&]() -> awaitable<void> {
        BOOST_TEST(!isHome(fleet, 0));
        co_await fleet.waitFor([&] { return isHome(fleet, 0); });
    });
}

// A gateway that leaves isn't the home while others stay. When all leave together, none of them
// must take the absence of another home for its own election.
BOOST_AUTO_TEST_CASE(gateways_that_leave_together_do_not_each_grant_the_cold_rate)
{
    LimitFleet fleet(LimitFleet::Kind::Plain, sGateways, sReplicas, sCold);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        co_await fleet.waitFor([&] { return homeOf(fleet).has_value(); });
        fleet.startCallers(sCallsPerSecond);
        const Instant begin = now();
        for (std::size_t index = 0; index < sGateways; ++index) {
            fleet.leave(index);
        }
        co_await fleet.waitFor([&] { return fleet.haveAllLeft(); });
        for (std::size_t index = 0; index < sGateways; ++index) {
            BOOST_TEST(!isHome(fleet, index));
        }
        co_await sleepFor(sAfterLeaving);
        co_await fleet.stopCallers();
        BOOST_TEST(mostAt(fleet, begin) <= sBound);
    });
}

// Callers of the last one would otherwise get nothing until it is back.
BOOST_AUTO_TEST_CASE(last_gateway_that_leaves_remains_the_home_of_cold_replicas)
{
    LimitFleet fleet(LimitFleet::Kind::Plain, 2, 1, sCold);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        fleet.leave(0);
        co_await fleet.waitFor([&] { return fleet.gateway(1).members().others().empty(); });
        BOOST_TEST(!isHome(fleet, 0));
        co_await fleet.waitFor([&] { return isHome(fleet, 1); });
        fleet.leave(1);
        co_await fleet.waitFor([&] { return fleet.gateway(0).members().others().empty(); });
        BOOST_TEST(!isHome(fleet, 0));
        BOOST_TEST(isHome(fleet, 1));
        // A gateway that starts doesn't know of it, and becomes the home of all replicas.
        fleet.addGateway();
        co_await fleet.waitFor([&] { return isHome(fleet, 2); });
        for (int replica = 0; replica < sManyReplicas; ++replica) {
            const std::string incarnation = "i-" + std::to_string(replica) + "@0";
            BOOST_TEST(fleet.gateway(2).members().isUndisputedOwnerOf(incarnation));
            BOOST_TEST(!fleet.gateway(1).members().isUndisputedOwnerOf(incarnation));
        }
    });
}

// The others may have removed its record meanwhile and taken over, which it reads only later.
BOOST_AUTO_TEST_CASE(gateway_that_was_suspended_is_no_home_of_cold_replicas_at_once)
{
    SuspendedClock clock;
    LimitFleet fleet(LimitFleet::Kind::Plain, 1, 1, sCold);
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.waitFor([&] { return isHome(fleet, 0); });
        clock.suspend(std::chrono::seconds(1));
        co_await sleepFor(sSeveralChecks);
        BOOST_TEST(isHome(fleet, 0));
        clock.suspend(std::chrono::seconds(6));
        BOOST_TEST(!isHome(fleet, 0));
        co_await sleepFor(sSeveralChecks);
        BOOST_TEST(!isHome(fleet, 0));
        co_await fleet.waitFor([&] { return isHome(fleet, 0); });
    });
}

// A rate that cannot be one must neither reject the configuration nor limit anything.
BOOST_AUTO_TEST_CASE(invalid_cold_rate_is_reported_and_has_no_effect)
{
    LimitFleet fleet(LimitFleet::Kind::Plain, 1, 1, {-1, sLongCold});
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        BOOST_TEST(fleet.gateway(0).metrics().counter("cold_rates_refused") == 1U);
        co_await fleet.call(0);
        BOOST_TEST(fleet.served() == 1);
        BOOST_TEST(fleet.gateway(0).metrics().text().find("loom_cold_replicas 0")
                   != std::string::npos);
    });
}

BOOST_AUTO_TEST_CASE(cold_replicas_are_counted)
{
    LimitFleet fleet(LimitFleet::Kind::Plain, 1, sReplicas, {sColdRate, Milliseconds(1'500)});
    fleet.run([&]() -> awaitable<void> {
        co_await fleet.untilReady();
        const auto shows = [&](std::string_view line) {
            return fleet.gateway(0).metrics().text().find(line) != std::string::npos;
        };
        co_await fleet.waitFor([&] { return shows("loom_cold_replicas 2"); });
        co_await fleet.waitFor([&] { return shows("loom_cold_replicas 0"); });
    });
}
