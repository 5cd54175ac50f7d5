/*
 * test_orderlease.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE leases
#include <boost/test/unit_test.hpp>

#include "fakelog.h"
#include "orderlease.h"

#include <random>

using namespace Loom;

namespace {

OrderLease::Options options(bool engineChecksFence)
{
    OrderLease::Options made;
    made.engineChecksFence = engineChecksFence;
    return made;
}

/** Appends claims and reads the log until the lease is held or @p until is reached. */
std::optional<Instant> acquire(OrderLease &lease, FakeLog &log, Instant from, Instant until)
{
    for (Instant now = from; now < until; now += Milliseconds(50)) {
        lease.feed(log.read(lease.nextOffset(), now), now);
        if (lease.fencingNumber(now)) {
            return now;
        }
        if (const auto claim = lease.claimIfDue(now)) {
            log.append(claim->SerializeAsString(), now);
        }
    }
    return std::nullopt;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_uncontended_lease_is_granted_immediately)
{
    FakeLog log;
    OrderLease lease("box", 1, options(false));
    const auto got = acquire(lease, log, at(0), at(1'000));
    BOOST_REQUIRE(got.has_value());
    BOOST_TEST((*got < at(200)));
}

BOOST_AUTO_TEST_CASE(a_successor_waits_until_the_holders_lease_has_expired)
{
    FakeLog log;
    OrderLease holder("box", 1, options(false));
    OrderLease successor("box", 2, options(false));
    BOOST_REQUIRE(acquire(holder, log, at(0), at(1'000)));
    const auto taken = acquire(successor, log, at(2'000), at(60'000));
    BOOST_REQUIRE(taken.has_value());
    // The holder was suspended and has not read the successor's claim.
    const OrderLease::Options defaults;
    BOOST_TEST(!holder.fencingNumber(*taken - defaults.maxOrderDelay).has_value());
    BOOST_TEST(!holder.fencingNumber(*taken).has_value());
}

BOOST_AUTO_TEST_CASE(the_later_of_two_concurrent_claims_waits)
{
    FakeLog log;
    OrderLease first("box", 1, options(false));
    OrderLease second("box", 2, options(false));
    log.append(first.claimIfDue(at(0))->SerializeAsString(), at(10));
    log.append(second.claimIfDue(at(5))->SerializeAsString(), at(20));
    second.feed(log.read(0, at(30)), at(30));
    // The first agent is suspended after reading only its own claim.
    const auto own = log.read(0, at(30));
    first.feed({own.data(), 1}, at(30));
    BOOST_TEST(first.fencingNumber(at(40)).has_value());
    BOOST_TEST(!second.fencingNumber(at(40)).has_value());
}

BOOST_AUTO_TEST_CASE(a_holder_suspended_past_its_lease_sends_no_order)
{
    FakeLog log;
    OrderLease holder("box", 1, options(false));
    BOOST_REQUIRE(acquire(holder, log, at(0), at(1'000)));
    BOOST_TEST(holder.fencingNumber(at(10'000)).has_value());
    BOOST_TEST(!holder.fencingNumber(at(18'000)).has_value());
}

BOOST_AUTO_TEST_CASE(an_engine_that_checks_fencing_needs_no_waiting_time)
{
    FakeLog log;
    OrderLease holder("box", 1, options(true));
    OrderLease successor("box", 2, options(true));
    BOOST_REQUIRE(acquire(holder, log, at(0), at(1'000)));
    const auto taken = acquire(successor, log, at(2'000), at(60'000));
    BOOST_REQUIRE(taken.has_value());
    BOOST_TEST((*taken < at(2'500)));
    BOOST_TEST(*successor.fencingNumber(*taken) > *holder.fencingNumber(*taken));
}

BOOST_AUTO_TEST_CASE(a_lost_renewal_does_not_extend_the_lease)
{
    // The holder sends two claims, and only the first reaches the log. Measuring
    // the lease from the second would extend it into the term of a successor.
    FakeLog log;
    OrderLease holder("box", 1, options(false));
    const auto first = holder.claimIfDue(at(0));
    BOOST_REQUIRE(first.has_value());
    log.append(first->SerializeAsString(), at(10));
    BOOST_REQUIRE(holder.claimIfDue(at(5'000)).has_value()); // never reaches the log
    holder.feed(log.read(0, at(5'100)), at(5'100));
    BOOST_TEST(holder.fencingNumber(at(17'900)).has_value());
    BOOST_TEST(!holder.fencingNumber(at(18'000)).has_value());
}

BOOST_AUTO_TEST_CASE(a_late_renewal_does_not_revive_a_lost_term)
{
    FakeLog log;
    OrderLease suspended("box", 1, options(false));
    OrderLease successor("box", 2, options(false));
    BOOST_REQUIRE(acquire(suspended, log, at(0), at(1'000)));
    const auto renewal = suspended.claimIfDue(at(15'000)); // in flight while the box is suspended
    BOOST_REQUIRE(renewal.has_value());
    const auto taken = acquire(successor, log, at(15'100), at(100'000));
    BOOST_REQUIRE(taken.has_value());
    log.append(renewal->SerializeAsString(), *taken);
    suspended.feed(log.read(suspended.nextOffset(), *taken), *taken);
    BOOST_TEST(!suspended.fencingNumber(*taken).has_value());
    successor.feed(log.read(successor.nextOffset(), *taken), *taken);
    BOOST_TEST(!(suspended.fencingNumber(*taken + Milliseconds(1))
                 && successor.fencingNumber(*taken + Milliseconds(1))));
}

BOOST_AUTO_TEST_CASE(random_schedules_never_allow_two_holders_at_once)
{
    // Three incarnations on one box are suspended, resume, lose appends and read late.
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 random(seed);
        FakeLog log;
        std::vector<OrderLease> lives;
        for (std::uint64_t life = 1; life <= 3; ++life) {
            lives.emplace_back("box", life, options(false));
        }
        std::vector<Instant> frozenUntil(lives.size());
        struct UnderWay
        {
            std::string data;
            Instant lands;
        };
        std::vector<UnderWay> underWay;
        for (Instant now = at(0); now < at(150'000); now += Milliseconds(100)) {
            std::erase_if(underWay, [&](const UnderWay &claim) {
                const bool lands = claim.lands <= now;
                if (lands) {
                    log.append(claim.data, now);
                }
                return lands;
            });
            int holders = 0;
            for (std::size_t i = 0; i < lives.size(); ++i) {
                holders += lives[i].fencingNumber(now) ? 1 : 0;
                if (now < frozenUntil[i]) {
                    continue;
                }
                if (random() % 100 == 0) {
                    frozenUntil[i] = now + Milliseconds(random() % 40'000);
                    continue;
                }
                if (random() % 4 != 0) {
                    lives[i].feed(log.read(lives[i].nextOffset(), now), now);
                }
                const auto claim = lives[i].claimIfDue(now);
                if (claim && random() % 5 != 0) {
                    underWay.push_back({claim->SerializeAsString(),
                                        now + Milliseconds(random() % 4 == 0 ? 6'000 : 100)});
                }
            }
            BOOST_REQUIRE_MESSAGE(holders <= 1,
                                  "seed " << seed << " at " << now.time_since_epoch().count());
        }
    }
}
