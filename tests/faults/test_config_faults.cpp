/*
 * test_config_faults.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "configreplica.h"
#include "fakelog.h"
#include "matrix.h"

using namespace Loom;

namespace {

const std::vector<std::string> sSteps{"append", "read back", "push", "snapshot", "trim", "boot"};
enum Step : std::size_t
{
    Append,
    ReadBack,
    Push,
    Snapshot,
    Trim,
    Boot
};

/** Two entries on the log, an agent fed by them, and a box that boots late. */
class ConfigWorld
{
public:
    explicit ConfigWorld(FaultPlan &plan)
        : mPlan(plan)
    {
        mLog.append(createAccount("account", "center"), now());
    }

    std::optional<std::string> play()
    {
        for (int round = 0; round < 6; ++round) {
            change("change-" + std::to_string(round), 100 + round);
            for (std::size_t entry = 0; entry < 2; ++entry) {
                read(entry);
            }
            push();
            snapshotAndTrim(round);
            if (mBroken) {
                return mBroken;
            }
        }
        boot();
        settle();
        return mBroken ? mBroken : judge();
    }

private:
    Instant now() { return at(++mMilliseconds); }

    void change(const std::string &id, int value)
    {
        if (mPlan.strikes(Fault::LogDown, Append)) {
            return;
        }
        const std::uint64_t base = mEntries[0].isReady() ? mEntries[0].state().lastOffset() : 0;
        const auto made = setChange(id, base, "/", "calls.deadlineMs", std::to_string(value));
        if (mPlan.strikes(Fault::OperatorRace, Append)) {
            mLog.append(setChange("rival", base, "/", "calls.deadlineMs", "7"), now());
        }
        mLog.append(made, now());
        mIds.push_back(id);
        if (mPlan.strikes(Fault::LostAnswer, Append)) {
            mLog.append(made, now());
        }
        if (mPlan.strikes(Fault::Corrupt, Append)) {
            mLog.append(std::string("\xff not a record"), now());
        }
    }

    void read(std::size_t index)
    {
        ConfigReplica &entry = mEntries[index];
        if (mPlan.strikes(Fault::Kill, ReadBack)) {
            entry = ConfigReplica();
            mSeen[index] = 0;
        }
        const bool skips
            = mPlan.strikes(Fault::LogDown, ReadBack) || mPlan.strikes(Fault::Freeze, ReadBack);
        if (skips) {
            mSkip[index] = 3; // several rounds, so that the log is trimmed meanwhile
        }
        if (mSkip[index] > 0) {
            --mSkip[index];
            return;
        }
        entry.applyLog(mLog.read(entry.nextReadOffset(), now()), mLog.first(), now());
        watch(entry, mSeen[index]);
    }

    void push()
    {
        if (mPlan.strikes(Fault::Cut, Push)) {
            return;
        }
        if (mPlan.strikes(Fault::Kill, Push)) {
            mAgent = ConfigReplica();
            mAgentSeen = 0;
        }
        const bool hasConfig = mAgent.isReady();
        for (const ConfigReplica &entry : mEntries) {
            const auto update
                = entry.updateFor(hasConfig ? mAgent.state().lastOffset() : 0, hasConfig);
            if (!update) {
                continue;
            }
            if (mPlan.strikes(Fault::Delay, Push)) {
                mLate = update; // comes after newer ones
                continue;
            }
            mAgent.applyPeerUpdate(*update, now());
            watch(mAgent, mAgentSeen);
        }
        if (mLate && mMilliseconds > 40) {
            mAgent.applyPeerUpdate(*mLate, now());
            watch(mAgent, mAgentSeen);
        }
    }

    void snapshotAndTrim(int round)
    {
        if (round != 2 || mPlan.strikes(Fault::LogDown, Snapshot) || !mEntries[0].isReady()) {
            return;
        }
        auto records = snapshotRecords(mEntries[0].state().snapshot());
        if (mPlan.strikes(Fault::Corrupt, Snapshot)) {
            records[0].mutable_snapshot_chunk()->mutable_data()->back() ^= 1;
        }
        if (mPlan.strikes(Fault::Kill, Snapshot)) {
            records.pop_back(); // its writer died before the last piece
        }
        if (mPlan.strikes(Fault::OperatorRace, Snapshot)) { // two writers at once
            for (const wire::ConfigRecord &record : records) {
                mLog.append(record.SerializeAsString(), now());
            }
        }
        for (const wire::ConfigRecord &record : records) {
            mLog.append(record.SerializeAsString(), now());
        }
        if (!mPlan.strikes(Fault::Delay, Trim)) {
            // The worst that retention allows while a snapshot is renewed in time:
            // everything that the snapshot covers is gone.
            mLog.trimTo(mEntries[0].state().lastOffset() + 1);
        }
    }

    void boot()
    {
        const bool outage = mPlan.strikes(Fault::LogDown, Boot);
        if (!outage) {
            mLateBox.applyLog(mLog.read(mLateBox.nextReadOffset(), now()), mLog.first(), now());
        }
        if (mPlan.strikes(Fault::Kill, Boot)) {
            mLateBox = ConfigReplica();
        }
    }

    /** Faults end; everybody reads, and pushes to everybody. */
    void settle()
    {
        std::vector<ConfigReplica *> all{&mEntries[0], &mEntries[1], &mAgent, &mLateBox};
        for (int round = 0; round < 2; ++round) {
            for (ConfigReplica *replica : {all[0], all[1], all[3]}) {
                replica->applyLog(mLog.read(replica->nextReadOffset(), now()), mLog.first(), now());
            }
            for (const ConfigReplica *from : all) {
                for (ConfigReplica *to : all) {
                    const bool has = to->isReady();
                    const auto update = from->updateFor(has ? to->state().lastOffset() : 0, has);
                    if (update) {
                        to->applyPeerUpdate(*update, now());
                    }
                }
            }
        }
    }

    void watch(const ConfigReplica &replica, std::uint64_t &seen)
    {
        if (replica.nextOffset() < seen) {
            mBroken = "went back from " + std::to_string(seen);
        }
        seen = std::max(seen, replica.nextOffset());
    }

    std::optional<std::string> judge() const
    {
        const std::string first = mEntries[0].state().snapshot().SerializeAsString();
        for (const ConfigReplica *other : {&mEntries[1], &mAgent, &mLateBox}) {
            if (other->state().snapshot().SerializeAsString() != first) {
                return "boxes differ: " + std::to_string(mEntries[0].nextOffset()) + " and "
                    + std::to_string(other->nextOffset());
            }
        }
        if (mEntries[0].nextOffset() != mLog.next()) {
            return "stands at " + std::to_string(mEntries[0].nextOffset());
        }
        for (const std::string &id : mIds) {
            if (!mEntries[0].state().fate(id)) {
                return "the fate of " + id + " is lost";
            }
        }
        return std::nullopt;
    }

    FaultPlan &mPlan;
    FakeLog mLog;
    std::array<ConfigReplica, 2> mEntries;
    std::array<std::uint64_t, 2> mSeen{};
    std::array<int, 2> mSkip{};
    ConfigReplica mAgent;
    std::uint64_t mAgentSeen = 0;
    ConfigReplica mLateBox;
    std::optional<wire::ConfigUpdate> mLate;
    std::vector<std::string> mIds;
    std::optional<std::string> mBroken;
    std::int64_t mMilliseconds = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(configuration_under_every_fault_and_pair)
{
    const MatrixResult result = runMatrix("configuration", sSteps,
                                          [](FaultPlan &plan) { return ConfigWorld(plan).play(); });
    BOOST_TEST_MESSAGE(result.text);
    for (const std::string &broken : result.broken) {
        BOOST_ERROR(broken);
    }
    BOOST_TEST(result.single >= 16u);
    BOOST_TEST(result.pairs >= 100u);
}
