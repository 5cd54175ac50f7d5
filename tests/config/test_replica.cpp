/*
 * test_replica.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "configreplica.h"
#include "fakelog.h"
#include "snapshotpolicy.h"

using namespace Loom;

namespace {

/** Returns a log with an account and @p changes values for the same key. */
FakeLog makeLog(int changes)
{
    FakeLog log;
    log.append(createAccount("a", "center"), at(0));
    for (int i = 0; i < changes; ++i) {
        log.append(setChange("c" + std::to_string(i), log.next() - 1, "/", "calls.deadlineMs",
                             std::to_string(i + 1)),
                   at(i));
    }
    return log;
}

void writeSnapshot(FakeLog &log, const ConfigReplica &replica, Instant now)
{
    for (const wire::ConfigRecord &record : snapshotRecords(replica.state().snapshot())) {
        log.append(record.SerializeAsString(), now);
    }
}

ApplyResult applyNewRecords(ConfigReplica &replica, const FakeLog &log, Instant now)
{
    return replica.applyLog(log.read(replica.nextReadOffset(), now), log.first(), now);
}

std::int64_t value(const ConfigReplica &replica)
{
    return replica.state().integer("", "calls.deadlineMs");
}

} // namespace

BOOST_AUTO_TEST_CASE(a_replica_applies_the_log)
{
    FakeLog log = makeLog(5);
    ConfigReplica replica;
    BOOST_TEST((applyNewRecords(replica, log, at(10)) == ApplyResult::Applied));
    BOOST_TEST(value(replica) == 5);
    BOOST_TEST(replica.nextOffset() == log.next());
}

BOOST_AUTO_TEST_CASE(records_after_a_gap_are_not_applied)
{
    FakeLog log = makeLog(5);
    log.trimTo(3); // the log has no snapshot
    ConfigReplica replica;
    BOOST_TEST((applyNewRecords(replica, log, at(10)) == ApplyResult::Gap));
    BOOST_TEST(!replica.isReady());
}

BOOST_AUTO_TEST_CASE(a_new_replica_starts_from_the_newest_snapshot)
{
    FakeLog log = makeLog(5);
    ConfigReplica writer;
    applyNewRecords(writer, log, at(10));
    writeSnapshot(log, writer, at(10));
    log.append(setChange("late", log.next(), "/", "calls.deadlineMs", "99"), at(20));
    log.trimTo(6);
    ConfigReplica replica;
    BOOST_TEST((applyNewRecords(replica, log, at(30)) == ApplyResult::Applied));
    BOOST_TEST(value(replica) == 99);
    applyNewRecords(writer, log, at(30));
    BOOST_TEST(replica.state().snapshot().SerializeAsString()
               == writer.state().snapshot().SerializeAsString());
}

BOOST_AUTO_TEST_CASE(a_snapshot_that_leaves_a_gap_before_the_log_start_is_not_used)
{
    FakeLog log = makeLog(3);
    ConfigReplica early;
    applyNewRecords(early, log, at(5));
    const auto old = snapshotRecords(early.state().snapshot());
    for (int i = 0; i < 4; ++i) {
        log.append(setChange("m" + std::to_string(i), log.next() - 1, "/", "calls.deadlineMs",
                             std::to_string(50 + i)),
                   at(6));
    }
    log.trimTo(log.next()); // removes the changes made after the snapshot
    for (const wire::ConfigRecord &record : old) {
        log.append(record.SerializeAsString(), at(7));
    }
    ConfigReplica replica;
    BOOST_TEST((applyNewRecords(replica, log, at(8)) == ApplyResult::Gap));
    BOOST_TEST(!replica.isReady());
}

BOOST_AUTO_TEST_CASE(a_replica_behind_the_log_start_catches_up_from_a_snapshot)
{
    FakeLog log = makeLog(3);
    ConfigReplica frozen;
    ConfigReplica writer;
    applyNewRecords(frozen, log, at(5));
    for (int i = 0; i < 20; ++i) {
        log.append(setChange("n" + std::to_string(i), log.next() - 1, "/", "calls.deadlineMs",
                             std::to_string(100 + i)),
                   at(6));
    }
    applyNewRecords(writer, log, at(7));
    writeSnapshot(log, writer, at(7));
    log.trimTo(15);
    const std::uint64_t before = frozen.nextOffset();
    BOOST_TEST((applyNewRecords(frozen, log, at(9)) == ApplyResult::Applied));
    BOOST_TEST(frozen.nextOffset() > before);
    BOOST_TEST(value(frozen) == 119);
}

BOOST_AUTO_TEST_CASE(an_older_snapshot_from_a_peer_is_ignored)
{
    FakeLog log = makeLog(3);
    ConfigReplica replica;
    applyNewRecords(replica, log, at(5));
    wire::ConfigUpdate old;
    *old.mutable_snapshot() = replica.state().snapshot();
    log.append(setChange("new", log.next() - 1, "/", "calls.deadlineMs", "500"), at(6));
    applyNewRecords(replica, log, at(7));
    replica.applyPeerUpdate(old, at(8));
    BOOST_TEST(value(replica) == 500);
    BOOST_TEST(replica.nextOffset() == log.next());
}

BOOST_AUTO_TEST_CASE(peers_synchronize_while_the_log_is_unavailable)
{
    FakeLog log = makeLog(3);
    ConfigReplica ahead;
    ConfigReplica behind;
    ConfigReplica fresh;
    applyNewRecords(behind, log, at(5));
    log.append(setChange("last", log.next() - 1, "/", "calls.deadlineMs", "321"), at(6));
    applyNewRecords(ahead, log, at(7));
    const auto delta = ahead.updateFor(behind.state().lastOffset(), true);
    BOOST_REQUIRE(delta.has_value());
    BOOST_TEST(!delta->has_snapshot());
    BOOST_TEST(delta->records_size() == 1);
    behind.applyPeerUpdate(*delta, at(8));
    BOOST_TEST(value(behind) == 321);
    const auto whole = ahead.updateFor(0, false);
    BOOST_REQUIRE(whole.has_value());
    fresh.applyPeerUpdate(*whole, at(9));
    BOOST_TEST(value(fresh) == 321);
    BOOST_TEST(!ahead.updateFor(fresh.state().lastOffset(), true).has_value());
}

BOOST_AUTO_TEST_CASE(a_peer_behind_the_retained_tail_gets_a_snapshot)
{
    FakeLog log = makeLog(static_cast<int>(ConfigReplica::sMaxTailRecords) + 50);
    ConfigReplica ahead;
    applyNewRecords(ahead, log, at(5));
    const auto update = ahead.updateFor(3, true);
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST(update->has_snapshot());
}

BOOST_AUTO_TEST_CASE(peer_records_after_a_gap_are_rejected)
{
    FakeLog log = makeLog(5);
    ConfigReplica replica;
    wire::ConfigUpdate update;
    for (const wire::StoredRecord &record : log.read(2, at(1))) {
        *update.add_records() = record;
    }
    BOOST_TEST((replica.applyPeerUpdate(update, at(1)) == ApplyResult::Gap));
    BOOST_TEST(!replica.isReady());
}

BOOST_AUTO_TEST_CASE(corrupt_snapshots_are_not_installed)
{
    FakeLog log = makeLog(5);
    ConfigReplica writer;
    applyNewRecords(writer, log, at(5));
    auto records = snapshotRecords(writer.state().snapshot());
    std::string &data = *records.back().mutable_snapshot_chunk()->mutable_data();
    data[data.size() / 2] ^= 1;
    for (const wire::ConfigRecord &record : records) {
        log.append(record.SerializeAsString(), at(6));
    }
    log.trimTo(6);
    ConfigReplica replica;
    BOOST_TEST((applyNewRecords(replica, log, at(7)) == ApplyResult::Gap));
    BOOST_TEST(!replica.isReady());
}

BOOST_AUTO_TEST_CASE(snapshots_are_due_by_change_count_and_before_retention_ends)
{
    SnapshotPolicy policy;
    policy.maxChanges = 10;
    policy.retention = Milliseconds(30'000);
    FakeLog log = makeLog(9);
    ConfigReplica replica;
    applyNewRecords(replica, log, at(9));
    writeSnapshot(log, replica, at(10));
    applyNewRecords(replica, log, at(10));
    BOOST_TEST(!policy.delay(replica, 0, at(20)).has_value());
    // Without further changes the snapshot is still renewed before the retention ends.
    BOOST_TEST(policy.delay(replica, 0, at(10'011)).has_value());
    BOOST_TEST(policy.delay(replica, 3, at(10'011))->count() == 6'000);
    for (int i = 0; i < 12; ++i) {
        log.append(setChange("k" + std::to_string(i), log.next() - 1, "/", "calls.deadlineMs",
                             std::to_string(i + 1)),
                   at(30));
    }
    applyNewRecords(replica, log, at(31));
    BOOST_TEST(policy.delay(replica, 0, at(32)).has_value());
}
