/*
 * test_quarantine.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "quarantine.h"
#include "quarantinerecord.h"

#include <random>

using namespace Loom;

namespace {

const RequestDigest sRequest = RequestDigest::of("account", "/path", "body");

Instant at(std::int64_t ms)
{
    return Instant(std::chrono::hours(1) + Milliseconds(ms));
}

RequestDigest numbered(int number)
{
    return RequestDigest::of("account", "/path", std::to_string(number));
}

void noteThreeCrashes(Quarantine &quarantine, const RequestDigest &digest, Instant now)
{
    for (const std::string incarnation : {"a@1", "b@1", "c@1"}) {
        quarantine.noteCrash(digest, "account", incarnation, now);
    }
}

/** Merges all entries of @p from into @p to; returns true if that changed any. */
bool mergeAll(const Quarantine &from, Quarantine &to, Instant now)
{
    bool hasChanges = false;
    std::uint64_t revision = 0;
    for (const QuarantineEntry &entry : from.changedSince(revision, 1'000)) {
        hasChanges = to.merge(entry, now) != QuarantineNews::Nothing || hasChanges;
    }
    return hasChanges;
}

} // namespace

BOOST_AUTO_TEST_CASE(digest_depends_on_account_path_and_body)
{
    BOOST_TEST((RequestDigest::of("account", "/path", "body") == sRequest));
    BOOST_TEST((RequestDigest::of("account", "/path", "bodY") != sRequest));
    BOOST_TEST((RequestDigest::of("account", "/path?a", "body") != sRequest));
    BOOST_TEST((RequestDigest::of("other", "/path", "body") != sRequest));
    BOOST_TEST((RequestDigest::of("account", "/pathb", "ody") != sRequest));
    BOOST_TEST(RequestDigest::parse(sRequest.text()).has_value());
    BOOST_TEST(!RequestDigest::parse("0123").has_value());
    BOOST_TEST(!RequestDigest::parse(std::string(32, 'X')).has_value());
}

BOOST_AUTO_TEST_CASE(request_is_refused_after_crashing_three_replicas)
{
    Quarantine quarantine;
    BOOST_TEST((quarantine.noteCrash(sRequest, "a", "r1@1", at(0)) == QuarantineNews::Known));
    BOOST_TEST((quarantine.noteCrash(sRequest, "a", "r1@1", at(1)) == QuarantineNews::Nothing));
    BOOST_TEST(!quarantine.isRetryForbidden(sRequest));
    // A restarted replica counts as another one.
    BOOST_TEST((quarantine.noteCrash(sRequest, "a", "r1@2", at(2)) == QuarantineNews::Known));
    BOOST_TEST(quarantine.isRetryForbidden(sRequest));
    BOOST_TEST(!quarantine.refusedFor(sRequest, true, at(3)).has_value());
    BOOST_TEST((quarantine.noteCrash(sRequest, "a", "r2@1", at(4)) == QuarantineNews::Refused));
    BOOST_TEST((quarantine.refusedFor(sRequest, true, at(4)) == Milliseconds(60'000)));
    BOOST_TEST(!quarantine.refusedFor(numbered(1), true, at(4)).has_value());
}

BOOST_AUTO_TEST_CASE(home_gateway_gives_one_trial_at_a_time_at_growing_intervals)
{
    Quarantine quarantine;
    noteThreeCrashes(quarantine, sRequest, at(0));
    const Instant expiry = at(60'000);
    BOOST_TEST(quarantine.refusedFor(sRequest, false, expiry).has_value());
    BOOST_TEST(!quarantine.refusedFor(sRequest, true, expiry).has_value());
    quarantine.noteSent(sRequest, expiry);
    BOOST_TEST(quarantine.refusedFor(sRequest, true, expiry).has_value());
    BOOST_TEST((quarantine.noteCrash(sRequest, "a", "d@1", expiry) == QuarantineNews::Refused));
    BOOST_TEST((quarantine.refusedFor(sRequest, true, expiry) == Milliseconds(600'000)));
}

BOOST_AUTO_TEST_CASE(successful_run_clears_crashes_that_others_still_report)
{
    Quarantine local;
    Quarantine remote;
    noteThreeCrashes(local, sRequest, at(0));
    mergeAll(local, remote, at(0));
    BOOST_TEST(remote.refusedFor(sRequest, true, at(1)).has_value());
    BOOST_TEST(local.noteSuccess(sRequest, at(2)));
    BOOST_TEST(!local.refusedFor(sRequest, true, at(2)).has_value());
    mergeAll(remote, local, at(3)); // entries from before the successful run
    BOOST_TEST(!local.refusedFor(sRequest, true, at(3)).has_value());
    mergeAll(local, remote, at(4));
    BOOST_TEST(!remote.refusedFor(sRequest, true, at(4)).has_value());
}

// Gateways that learn of crashes and successful runs in any order, repeatedly and through
// each other, converge to the same entries and then have no changes left to send.
BOOST_AUTO_TEST_CASE(all_gateways_converge_in_any_order_of_reports)
{
    for (std::uint32_t seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        std::vector<Quarantine> gateways(4);
        const auto any = [&]() -> Quarantine & { return gateways[random() % gateways.size()]; };
        for (int step = 0; step < 60; ++step) {
            const RequestDigest digest = numbered(static_cast<int>(random() % 3));
            const std::uint32_t action = random() % 10;
            if (action < 5) {
                any().noteCrash(digest, "a", std::to_string(random() % 8), at(step));
            } else if (action == 5) {
                any().noteSuccess(digest, at(step));
            } else {
                mergeAll(any(), any(), at(step));
            }
        }
        bool hasChanges = true;
        for (int round = 0; hasChanges && round < 10; ++round) {
            hasChanges = false;
            for (const Quarantine &from : gateways) {
                for (Quarantine &to : gateways) {
                    hasChanges = mergeAll(from, to, at(100)) || hasChanges;
                }
            }
        }
        BOOST_TEST(!hasChanges);
        for (int number = 0; number < 3; ++number) {
            const QuarantineEntry *first = gateways.front().find(numbered(number));
            for (const Quarantine &gateway : gateways) {
                const QuarantineEntry *entry = gateway.find(numbered(number));
                const bool isSame = (entry == nullptr) == (first == nullptr)
                    && (entry == nullptr
                        || (entry->epoch == first->epoch && entry->lives == first->lives));
                BOOST_TEST(isSame, "seed " << seed);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(flooding_account_evicts_its_own_entries)
{
    QuarantineLimits limits;
    limits.maxEntries = 100;
    Quarantine quarantine(limits);
    noteThreeCrashes(quarantine, sRequest, at(0));
    // The oldest entry with the fewest crashes belongs to another account.
    const RequestDigest suspected = numbered(-2);
    quarantine.noteCrash(suspected, "account", "x@1", at(0));
    for (int number = 0; number < 1'000; ++number) {
        quarantine.noteCrash(numbered(number), "flooder", "x@1", at(number));
    }
    BOOST_TEST(quarantine.size() == limits.maxEntries);
    BOOST_TEST(quarantine.refusedFor(sRequest, true, at(1'000)).has_value());
    BOOST_TEST((quarantine.find(suspected) != nullptr));
    quarantine.noteCrash(numbered(-1), "other", "x@1", at(1'000));
    BOOST_TEST((quarantine.find(numbered(-1)) != nullptr));
}

BOOST_AUTO_TEST_CASE(too_few_crashes_expire)
{
    Quarantine quarantine;
    quarantine.noteCrash(sRequest, "a", "r1@1", at(0));
    BOOST_TEST(quarantine.sweep(at(599'999)).empty());
    BOOST_TEST(quarantine.sweep(at(600'000)).size() == 1U);
    BOOST_TEST(quarantine.isEmpty());
    std::uint64_t revision = 0;
    BOOST_TEST(quarantine.changedSince(revision, 10).empty());
    BOOST_TEST(revision == quarantine.revision());
}

BOOST_AUTO_TEST_CASE(changes_are_returned_in_batches_without_gaps)
{
    Quarantine quarantine;
    for (int number = 0; number < 25; ++number) {
        quarantine.noteCrash(numbered(number), "a", "r@1", at(number));
    }
    std::uint64_t revision = 0;
    std::size_t changeCount = 0;
    while (revision != quarantine.revision()) {
        const auto batch = quarantine.changedSince(revision, 10);
        BOOST_TEST_REQUIRE(!batch.empty());
        changeCount += batch.size();
    }
    BOOST_TEST(changeCount == 25U);
}

BOOST_AUTO_TEST_CASE(stored_record_round_trips)
{
    Quarantine quarantine;
    noteThreeCrashes(quarantine, sRequest, at(0));
    const WallMilliseconds wall(1'000'000);
    const std::string value = quarantineRecord(*quarantine.find(sRequest), at(10'000), wall);
    const auto read
        = readQuarantineRecord(sRequest.text(), value, at(30'000), wall + Milliseconds(20'000));
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST((read->lives == quarantine.find(sRequest)->lives));
    BOOST_TEST((read->lastEventAt == at(0)));
}

BOOST_AUTO_TEST_CASE(invalid_record_is_rejected_with_its_field)
{
    const std::string key = sRequest.text();
    const WallMilliseconds wall(1'000'000);
    const auto problem = [&](std::string_view digest, std::string_view value) {
        const auto read = readQuarantineRecord(digest, value, at(0), wall);
        return read ? std::string() : read.error().substr(0, read.error().find(':'));
    };
    const std::string good = R"({"account":"a","epoch":0,"crashes":["x@1"],"at":900000})";
    BOOST_TEST(problem(key, good).empty());
    BOOST_TEST(problem("short", good) == "key");
    BOOST_TEST(problem(key, "no object") == "at");
    BOOST_TEST(problem(key, R"({"epoch":0,"crashes":["x@1"],"at":"soon"})") == "at");
    BOOST_TEST(problem(key, R"({"epoch":0,"crashes":["x@1"],"at":9000000})") == "at");
    BOOST_TEST(problem(key, R"({"epoch":-1,"crashes":["x@1"],"at":1})") == "epoch");
    BOOST_TEST(problem(key, R"({"epoch":0,"crashes":[],"at":1})") == "crashes");
    BOOST_TEST(problem(key, R"({"epoch":0,"crashes":[1],"at":1})") == "crashes");
    BOOST_TEST(problem(key, R"({"epoch":0,"crashes":"x@1","at":1})") == "crashes");
}
