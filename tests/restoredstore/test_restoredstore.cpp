/*
 * test_restoredstore.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE restoredstore
#include <boost/test/unit_test.hpp>

#include "feedprocess.h"
#include "fleetgateway.h"
#include "gatewayfixture.h"
#include "peerconnection.h"

using namespace Loom;

namespace {

std::string replicaRecord(std::string_view address, std::string_view state)
{
    return R"({"service":"plain","address":")" + std::string(address)
        + R"(","zone":"z1","slots":4,"state":")" + std::string(state) + "\"}";
}

ScriptedReplica::Answer answerTo(const std::string &head)
{
    return {"HTTP/1.1 200 X\r\nLoomjunction-Request-Id: " + requestIdOf(head)
            + "\r\nLoomjunction-Response-Signature: s\r\nContent-Length: 5\r\n\r\nwhole"};
}

/** Writes versions 2 and 3 after the copy, so that the restored log is shorter. */
awaitable<void> loseTwoConfigurations(RelayFixture &fixture)
{
    writeConfig(fixture.reader, 1);
    co_await fixture.waitFor([&] { return fixture.follower.hasConfig(1); });
    fixture.reader.store.copy();
    writeConfig(fixture.reader, 2);
    writeConfig(fixture.reader, 3);
    co_await fixture.waitFor([&] { return fixture.follower.hasConfig(3); });
}

bool hasValue(FeedProcess &process, std::string_view key, std::string_view value)
{
    const FeedRecord *record = process.feeds().table(Feed::Replicas).find(key);
    return record != nullptr && record->value == value;
}

bool isUsable(GatewayFixture &fixture, std::string_view id)
{
    const Replica *replica = fixture.replicas().replicas().find(id);
    return replica != nullptr && replica->unavailableReason(now()) == UnavailableReason::Nothing;
}

} // namespace

// Guards against comparing offsets of a restored log with those of the lost one: configurations
// were ignored until the log was as long as before.
BOOST_AUTO_TEST_CASE(configuration_written_after_a_restore_is_in_force)
{
    RelayFixture().run([](RelayFixture &fixture) -> awaitable<void> {
        co_await loseTwoConfigurations(fixture);
        fixture.reader.store.restore();
        writeConfig(fixture.reader, 4);
        co_await fixture.waitFor([&] { return fixture.reader.hasConfig(4); });
        co_await fixture.waitFor([&] { return fixture.follower.hasConfig(4); });
    });
}

// A log that has grown past the known end again refuses no read.
BOOST_AUTO_TEST_CASE(configuration_in_a_log_that_has_grown_again_is_in_force)
{
    RelayFixture().run([](RelayFixture &fixture) -> awaitable<void> {
        co_await loseTwoConfigurations(fixture);
        MemoryStore &store = fixture.reader.store;
        store.isUnreachable = true;
        store.write(Feed::Operators, "wakes the read", "{}");
        co_await fixture.waitFor(
            [&] { return !fixture.reader.feeds().isStoreReached(Feed::Operators); });
        store.restore();
        writeConfig(fixture.reader, 4);
        for (int i = 0; i < 5; ++i) {
            store.write(Feed::Operators, "other-" + std::to_string(i), "{}");
        }
        store.isUnreachable = false;
        co_await fixture.waitFor([&] { return fixture.reader.hasConfig(4); });
        co_await fixture.waitFor([&] { return fixture.follower.hasConfig(4); });
    });
}

// Guards against a cursor that stays beyond the end of the log: each read was refused and
// followed by a full read, without a pause.
BOOST_AUTO_TEST_CASE(restored_log_is_read_in_full_once)
{
    RelayFixture().run([](RelayFixture &fixture) -> awaitable<void> {
        co_await loseTwoConfigurations(fixture);
        MemoryStore &store = fixture.reader.store;
        const int before = store.fullReadCountByFeed[0];
        store.restore();
        co_await fixture.waitFor([&] { return store.fullReadCountByFeed[0] > before; });
        const int reads = store.readCount;
        co_await sleepFor(std::chrono::milliseconds(500));
        BOOST_TEST(store.fullReadCountByFeed[0] == before + 1);
        BOOST_TEST(store.readCount < reads + 20);
    });
}

// Guards against ignoring that a replica leaves: requests reached it for seconds.
BOOST_AUTO_TEST_CASE(replica_that_leaves_after_a_restore_gets_no_requests)
{
    GatewayFixture fixture;
    fixture.writeConfig(1);
    ScriptedReplica &leaving = fixture.addReplica("leaving", "plain", answerTo);
    fixture.addReplica("other", "plain", answerTo);
    fixture.store.copy();
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitFor([&] { return isUsable(fixture, "leaving"); });
        fixture.store.write(Feed::Replicas, "leaving", replicaRecord(leaving.address(), "ready"));
        fixture.store.write(Feed::Replicas, "short-lived", replicaRecord("127.0.0.1:1", "ready"));
        co_await fixture.waitFor([&] { return isUsable(fixture, "short-lived"); });
        fixture.store.restore();
        fixture.store.write(Feed::Replicas, "leaving",
                            replicaRecord(leaving.address(), "draining"));
        co_await fixture.waitFor([&] { return !isUsable(fixture, "leaving"); });
        BOOST_TEST(isUsable(fixture, "other"));
    });
}

// Guards against followers that compare the positions of a restored log with those that they
// know: a follower received nothing more.
BOOST_AUTO_TEST_CASE(follower_receives_a_record_at_a_lower_offset_after_a_restore)
{
    RelayFixture().run([](RelayFixture &fixture) -> awaitable<void> {
        co_await fixture.waitUntilFollowing();
        MemoryStore &store = fixture.reader.store;
        store.copy();
        store.write(Feed::Replicas, "r", "lost");
        store.write(Feed::Replicas, "r", "lost too");
        co_await fixture.waitFor([&] { return hasValue(fixture.follower, "r", "lost too"); });
        store.restore();
        store.write(Feed::Replicas, "r", "new");
        co_await fixture.waitFor([&] { return hasValue(fixture.reader, "r", "new"); });
        co_await fixture.waitFor([&] { return hasValue(fixture.follower, "r", "new"); });
    });
}

// Guards against a configuration that goes back: the copy holds an older one until the
// operators have written the newest again.
BOOST_AUTO_TEST_CASE(configuration_of_the_copy_does_not_reach_a_process_that_starts)
{
    RelayFixture fixture;
    FeedProcess last(fixture.context);
    last.feeds().setReaders([&] { return FeedReaders{false, true, {fixture.reader.address}}; });
    fixture.run([&](RelayFixture &fixture) -> awaitable<void> {
        co_await loseTwoConfigurations(fixture);
        const int before = fixture.reader.store.fullReadCountByFeed[0];
        fixture.reader.store.restore();
        co_await fixture.waitFor(
            [&] { return fixture.reader.store.fullReadCountByFeed[0] > before; });
        last.start();
        co_await fixture.waitFor([&] { return last.hasConfig(3); });
        BOOST_TEST(fixture.reader.hasConfig(3));
        BOOST_TEST(fixture.follower.hasConfig(3));
        last.stop();
    });
}

// Guards against records of the system's own that a copy lacks and nobody writes again.
BOOST_AUTO_TEST_CASE(lost_membership_record_is_written_again)
{
    GatewayFixture fixture;
    fixture.writeConfig(1);
    fixture.store.copy();
    fixture.run([&]() -> awaitable<void> {
        const std::string &key = fixture.members().key();
        const auto isRecorded = [&] { return fixture.store.value(Feed::Members, key).has_value(); };
        co_await fixture.waitFor(isRecorded);
        co_await fixture.waitFor(
            [&] { return fixture.feeds().table(Feed::Members).nextOffset() > 0; });
        fixture.store.restore();
        BOOST_TEST(!isRecorded());
        co_await fixture.waitFor(isRecorded);
        // Once more, before and after it was read back.
        fixture.store.restore();
        co_await fixture.waitFor(isRecorded);
        fixture.store.restore();
        co_await fixture.waitFor(isRecorded);
    });
}

// Guards against taking a replica that started after the restore for the earlier one at its
// address, whose record had the higher offset.
BOOST_AUTO_TEST_CASE(replica_that_started_after_a_restore_replaces_the_one_before_it)
{
    GatewayFixture fixture;
    fixture.writeConfig(1);
    ScriptedReplica &replica = fixture.addReplica("padding", "plain", answerTo);
    fixture.store.copy();
    fixture.run([&]() -> awaitable<void> {
        for (const char *id : {"p1", "p2", "p3"}) {
            fixture.store.write(Feed::Replicas, id, replicaRecord("127.0.0.1:1", "ready"));
        }
        fixture.store.write(Feed::Replicas, "earlier", replicaRecord(replica.address(), "ready"));
        co_await fixture.waitFor([&] { return isUsable(fixture, "earlier"); });
        fixture.store.restore();
        fixture.store.write(Feed::Replicas, "later", replicaRecord(replica.address(), "ready"));
        co_await fixture.waitFor([&] { return isUsable(fixture, "later"); });
        BOOST_TEST(!isUsable(fixture, "earlier"));
    });
}

// Guards against requests to a replica that left and that the copy lists as ready.
BOOST_AUTO_TEST_CASE(copy_does_not_make_a_leaving_replica_usable)
{
    GatewayFixture fixture;
    fixture.writeConfig(1);
    ScriptedReplica &leaving = fixture.addReplica("leaving", "plain", answerTo);
    ScriptedReplica &gone = fixture.addReplica("gone", "plain", answerTo);
    fixture.addReplica("other", "plain", answerTo);
    fixture.store.copy();
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitFor([&] { return isUsable(fixture, "gone"); });
        fixture.store.write(Feed::Replicas, "leaving",
                            replicaRecord(leaving.address(), "draining"));
        fixture.store.write(Feed::Replicas, "gone", std::nullopt);
        co_await fixture.waitFor([&] { return !isUsable(fixture, "leaving"); });
        co_await fixture.waitFor([&] { return !isUsable(fixture, "gone"); });
        const int before = fixture.store.fullReadCount;
        fixture.store.restore();
        co_await fixture.waitFor([&] { return fixture.store.fullReadCount >= before + 3; });
        co_await sleepFor(std::chrono::milliseconds(100));
        BOOST_TEST(!isUsable(fixture, "leaving"));
        for (int i = 0; i < 10; ++i) {
            const auto response
                = co_await fixture.call("POST", "/safe/x", "id" + std::to_string(i));
            BOOST_TEST((response && response->status == 200));
        }
        BOOST_TEST(leaving.requests() == 0);
        BOOST_TEST(gone.requests() == 0);
    });
}

// Guards against dropping replicas at once that started after the copy and will write again.
BOOST_AUTO_TEST_CASE(replica_that_the_copy_lacks_is_used_until_it_had_time_to_write_again)
{
    GatewayFixture fixture;
    fixture.writeConfig(1);
    fixture.store.copy();
    ScriptedReplica &back = fixture.addReplica("back", "plain", answerTo);
    fixture.addReplica("lost", "plain", answerTo);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitFor([&] { return isUsable(fixture, "lost"); });
        const int before = fixture.store.fullReadCountByFeed[1];
        fixture.store.restore();
        co_await fixture.waitFor([&] { return fixture.store.fullReadCountByFeed[1] > before; });
        BOOST_TEST(isUsable(fixture, "lost"));
        fixture.store.write(Feed::Replicas, "back", replicaRecord(back.address(), "ready"));
        co_await fixture.waitFor([&] { return !isUsable(fixture, "lost"); });
        BOOST_TEST(isUsable(fixture, "back"));
    });
}

// Guards against positions of the new era that are relayed only with the next change: followers
// refused all that their reader sent.
BOOST_AUTO_TEST_CASE(follower_keeps_following_after_a_restore_that_changed_nothing)
{
    RelayFixture().run([](RelayFixture &fixture) -> awaitable<void> {
        co_await fixture.waitUntilFollowing();
        fixture.reader.store.copy();
        const int reads = fixture.follower.store.readCount;
        fixture.reader.store.restore();
        co_await fixture.waitFor([&] {
            return fixture.follower.feeds().table(Feed::Replicas).next() == LogPosition{2, 1};
        });
        fixture.reader.store.write(Feed::Replicas, "second", "value");
        co_await fixture.waitFor([&] { return fixture.follower.hasReceived("second"); });
        BOOST_TEST(fixture.follower.store.readCount == reads);
        BOOST_TEST(std::ranges::count(fixture.follower.changedKeys, "first") == 1);
    });
}

// Guards against sending every follower all values again, over the links that callers use.
BOOST_AUTO_TEST_CASE(follower_is_sent_only_changed_values_after_a_restore)
{
    RelayFixture().run([](RelayFixture &fixture) -> awaitable<void> {
        co_await fixture.waitUntilFollowing();
        // Shorter than what is compressed.
        const std::string value(4'000, 'x');
        for (int i = 0; i < 100; ++i) {
            fixture.reader.store.write(Feed::Replicas, "r" + std::to_string(i), value);
        }
        co_await fixture.waitFor([&] { return fixture.follower.hasReceived("r99"); });
        fixture.reader.store.copy();
        const std::uint64_t before = PeerConnection::totalBytes();
        fixture.reader.store.restore();
        fixture.reader.store.write(Feed::Replicas, "last", "value");
        co_await fixture.waitFor([&] { return fixture.follower.hasReceived("last"); });
        // The bytes are counted at both ends.
        BOOST_TEST(PeerConnection::totalBytes() - before < 100 * value.size() / 4);
    });
}

// Guards against a follower that considers a record lost although its reader has read it again with
// the same value: an evacuation ended there after five seconds.
BOOST_AUTO_TEST_CASE(follower_learns_that_a_lost_record_was_written_again)
{
    RelayFixture().run([](RelayFixture &fixture) -> awaitable<void> {
        writeConfig(fixture.reader, 1);
        co_await fixture.waitFor([&] { return fixture.follower.hasConfig(1); });
        MemoryStore &store = fixture.reader.store;
        store.copy();
        store.write(Feed::Operators, "evacuate/z2", "{}");
        const auto isMissing = [](FeedProcess &process) {
            return process.feeds().table(Feed::Operators).missing().contains("evacuate/z2");
        };
        const auto isKnown = [](FeedProcess &process) {
            return process.feeds().table(Feed::Operators).find("evacuate/z2") != nullptr;
        };
        co_await fixture.waitFor([&] { return isKnown(fixture.follower); });
        store.restore();
        co_await fixture.waitFor([&] { return isMissing(fixture.follower); });
        BOOST_TEST(isMissing(fixture.reader));
        store.write(Feed::Operators, "evacuate/z2", "{}");
        co_await fixture.waitFor([&] { return !isMissing(fixture.reader); });
        co_await fixture.waitFor([&] { return !isMissing(fixture.follower); });
        store.write(Feed::Operators, "evacuate/z2", std::nullopt);
        co_await fixture.waitFor([&] { return !isKnown(fixture.follower); });
    });
}

// Guards against full reads by every gateway at once, which saturate the links to the store.
BOOST_AUTO_TEST_CASE(planned_readers_read_a_restored_log_for_the_others)
{
    constexpr std::size_t gatewayCount = 8;
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    store.write(Feed::Replicas, "first", replicaRecord("127.0.0.1:1", "ready"));
    std::vector<std::unique_ptr<FleetGateway>> gateways;
    for (std::size_t i = 0; i < gatewayCount; ++i) {
        gateways.push_back(std::make_unique<FleetGateway>(context, store, "g" + std::to_string(i)));
    }
    const auto test = [&]() -> awaitable<void> {
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        const auto allKnow = [&](std::string_view id) {
            return std::ranges::all_of(gateways, [&](const auto &gateway) {
                return gateway->replicas().replicas().find(id) != nullptr;
            });
        };
        const auto waitUntilAllKnow = [&](std::string_view id) -> awaitable<void> {
            while (!allKnow(id) && std::chrono::steady_clock::now() < until) {
                co_await sleepFor(std::chrono::milliseconds(10));
            }
            BOOST_TEST(allKnow(id));
        };
        for (const auto &gateway : gateways) {
            gateway->start();
        }
        co_await waitUntilAllKnow("first");
        co_await sleepFor(std::chrono::seconds(1)); // until the followers have found their reader
        store.copy();
        store.write(Feed::Replicas, "lost", replicaRecord("127.0.0.1:2", "ready"));
        co_await waitUntilAllKnow("lost");
        store.isUnreachable = true;
        store.write(Feed::Replicas, "wakes the reads", std::nullopt);
        co_await sleepFor(std::chrono::milliseconds(1'500)); // until all read for themselves
        const auto before = store.fullReadCountByFeed;
        store.restore();
        store.isUnreachable = false;
        store.write(Feed::Replicas, "second", replicaRecord("127.0.0.1:3", "ready"));
        co_await waitUntilAllKnow("second");
        co_await sleepFor(std::chrono::seconds(1));
        for (std::size_t feed = 0; feed < sFeedCount; ++feed) {
            BOOST_TEST_CONTEXT("feed " << feed)
            {
                BOOST_TEST(store.fullReadCountByFeed[feed] - before[feed] <= 2);
            }
        }
        for (const auto &gateway : gateways) {
            gateway->kill();
        }
        context.stop();
    };
    asio::co_spawn(context, test(), asio::detached);
    context.run();
}

// Guards against reads that wait at a lost offset until their timeout, although another answer
// has shown the store's return.
BOOST_AUTO_TEST_CASE(first_answer_of_a_new_era_ends_the_reads_of_the_era_before)
{
    GatewayFixture fixture;
    fixture.writeConfig(1);
    fixture.addReplica("first", "plain", answerTo);
    fixture.store.copy();
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitFor([&] { return isUsable(fixture, "first"); });
        co_await fixture.waitFor([&] { return fixture.config().table() != nullptr; });
        co_await sleepFor(std::chrono::milliseconds(500)); // until all feeds wait for records
        fixture.store.leavesReadsPending = {Feed::Operators, Feed::Members};
        fixture.store.restore();
        fixture.writeConfig(2);
        co_await fixture.waitFor([&] { return fixture.config().table()->version() == 2; });
    });
}

// Guards against refusing for good what a configuration allows that the copy lacks and that
// operators are about to write again.
BOOST_AUTO_TEST_CASE(unknown_route_is_refused_for_good_only_after_the_time_to_write_again)
{
    GatewayFixture fixture;
    fixture.writeConfig(1);
    fixture.addReplica("first", "plain", answerTo);
    fixture.store.copy();
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitFor([&] { return isUsable(fixture, "first"); });
        co_await fixture.waitFor([&] { return fixture.config().table() != nullptr; });
        auto response = co_await fixture.call("GET", "/unknown/x", "id0");
        BOOST_TEST((response && response->status == 404));
        const int before = fixture.store.fullReadCountByFeed[0];
        fixture.store.restore();
        co_await fixture.waitFor([&] { return fixture.store.fullReadCountByFeed[0] > before; });
        co_await sleepFor(std::chrono::milliseconds(50)); // until the full read was applied
        response = co_await fixture.call("GET", "/unknown/x", "id1");
        BOOST_TEST((response && response->status == 503));
        for (int i = 2; response && response->status == 503 && i < 500; ++i) {
            co_await sleepFor(std::chrono::milliseconds(20));
            response = co_await fixture.call("GET", "/unknown/x", "id" + std::to_string(i));
        }
        BOOST_TEST((response && response->status == 404));
    });
}
