/*
 * test_claims.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "claimbatcher.h"
#include "claimtable.h"
#include "fakelog.h"
#include "idempotencykey.h"

using namespace Loom;

namespace {

constexpr WallMilliseconds sWall{1'700'000'000'000};

std::string claim(const std::string &key, const std::string &box)
{
    wire::ClaimBatch batch;
    wire::KeyClaim &one = *batch.add_claims();
    one.set_key(key);
    one.set_service("exam-app");
    one.set_home_box(box);
    one.set_home_incarnation(1);
    return batch.SerializeAsString();
}

void feed(ClaimTable &table, const FakeLog &log, Instant now)
{
    table.feed(log.read(table.nextOffset(), now), log.first(), sWall, now);
}

} // namespace

BOOST_AUTO_TEST_CASE(the_claim_with_the_lowest_offset_wins_on_every_entry)
{
    FakeLog log;
    log.append(claim("k", "exam-1"), at(0));
    log.append(claim("k", "exam-2"), at(1));
    ClaimTable one;
    ClaimTable two;
    feed(one, log, at(2));
    log.append(claim("k", "exam-3"), at(3));
    feed(one, log, at(4));
    feed(two, log, at(4));
    BOOST_TEST(one.home("k")->box == "exam-1");
    BOOST_TEST(two.home("k")->box == "exam-1");
}

BOOST_AUTO_TEST_CASE(a_key_created_before_the_retained_claims_is_not_covered)
{
    FakeLog log;
    log.append(claim("old", "exam-1"), at(0));
    log.append(claim("x", "exam-1"), at(100'000));
    log.trimTo(1); // a new table cannot read the first claim of "old"
    ClaimTable table;
    feed(table, log, at(200'000));
    log.append(claim("old", "exam-2"), at(200'000));
    feed(table, log, at(200'001));
    BOOST_TEST(!table.coversKeysSince(sWall - Milliseconds(200'000)));
    BOOST_TEST(table.coversKeysSince(sWall - Milliseconds(100'000) + sMaxClockSkew));
}

BOOST_AUTO_TEST_CASE(a_table_that_missed_claims_no_longer_covers_older_keys)
{
    FakeLog log;
    log.append(claim("a", "exam-1"), at(0));
    ClaimTable table;
    feed(table, log, at(1));
    BOOST_TEST(table.coversKeysSince(sWall - Milliseconds(1'000'000)));
    for (int i = 0; i < 5; ++i) {
        log.append(claim("b" + std::to_string(i), "exam-1"), at(1'000));
    }
    log.trimTo(4); // the log was trimmed past the next offset of the table
    feed(table, log, at(2'000));
    BOOST_TEST(!table.coversKeysSince(sWall - Milliseconds(5'000)));
}

BOOST_AUTO_TEST_CASE(claims_are_batched_up_to_the_maximum)
{
    ClaimBatcher batcher;
    for (int i = 0; i < 600; ++i) {
        wire::KeyClaim one;
        one.set_key(std::to_string(i));
        batcher.add(one);
    }
    BOOST_TEST(batcher.takeBatch("e", sWall).claims_size()
               == static_cast<int>(ClaimBatcher::sMaxClaimsPerBatch));
    BOOST_TEST(batcher.takeBatch("e", sWall).claims_size()
               == 600 - static_cast<int>(ClaimBatcher::sMaxClaimsPerBatch));
    BOOST_TEST(batcher.isEmpty());
}

BOOST_AUTO_TEST_CASE(keys_round_trip_through_their_text_form)
{
    const IssuedKey issued{makeUuid7(sWall, 0x1234, 0x5678), "exam-1", 99, sWall + sKeyLifetime};
    const auto parsed = parseIdempotencyKey(issued.text());
    BOOST_REQUIRE(parsed.has_value());
    const auto &key = std::get<IssuedKey>(*parsed);
    BOOST_TEST(key.homeBox == "exam-1");
    BOOST_TEST(key.homeIncarnation == 99u);
    BOOST_TEST((key.expires == issued.expires));
    const auto own = parseIdempotencyKey(issued.uuid);
    BOOST_REQUIRE(own.has_value());
    BOOST_TEST((std::get<CallerKey>(*own).createdAt == sWall));
    for (const char *wrong : {"", "lk1:x", "lk1:a:b:c:d", "00000000-0000-4000-8000-000000000000",
                              "0000000000000000000000000000000000zz"}) {
        BOOST_TEST(!parseIdempotencyKey(wrong).has_value(), wrong);
    }
}
