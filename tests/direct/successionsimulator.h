/*
 * successionsimulator.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "chunkplan.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace Loom {

/**
 * Simulates the fetches of several versions by the same members in virtual time, as
 * SwarmSimulator does for one version. The fetches share all links. All members may be
 * killed once and start again with the chunks that their stages hold. Owned by one test.
 */
class SuccessionSimulator
{
public:
    /** Which verified chunks outlive the kill. */
    enum class Retention
    {
        None,
        OwnPulls, ///< chunks that the member pulled from the origin itself
        All
    };

    /** The simulated deployment and its faults; rates are in bytes per millisecond. */
    struct Scenario
    {
        int memberCount = 45;
        int dataCentreCount = 3;
        std::uint32_t chunkCount = 96;
        double chunkBytes = 24'576;
        double linkRate = 1'000; ///< 8 Mbit/s
        double originRate = 547.5; ///< 4.38 Mbit/s
        std::uint32_t maxUploads = 3;
        int announceDelayMs = 15;
        std::uint32_t versionCount = 1;
        /** When a member starts the fetch of a version; negative: never. */
        std::function<int(std::uint32_t version, int member)> startMs = [](auto, int) { return 0; };
        /** When a member cancels it; negative: never. */
        std::function<int(std::uint32_t version, int member)> cancelMs
            = [](auto, int) { return -1; };
        int originFailsMs = -1; ///< the origin sends nothing from then on; negative: never
        int killMs = -1; ///< all members are killed; negative: never
        int restartMs = 0; ///< when they start again; up to 0.3 s apart
        Retention retention = Retention::None;
        /** Fraction of the retained chunks that are corrupt, in percent. */
        std::uint32_t corruptPercent = 0;
        /** Every such member has lost its whole stage; 0: none. */
        int emptyStageEvery = 0;
        std::uint64_t seed = 1;
    };

    struct VersionResult
    {
        int allCompleteMs = -1; ///< when every member was complete; negative: not in time
        int completeCount = 0; ///< number of complete members at the end
        std::uint32_t originChunks = 0; ///< number of chunks that the origin has sent
    };

    explicit SuccessionSimulator(Scenario scenario);

    /** Runs until all fetches that are not cancelled are complete, or until @p limitMs. */
    std::vector<VersionResult> run(int limitMs);

private:
    struct Fetch
    {
        ChunkPlan plan;
        std::uint32_t version = 0;
        int member = 0;
        int startMs = 0;
        int cancelMs = -1;
        std::vector<bool> isOwnPull; ///< chunks received from the origin
        bool hasRestarted = false;
    };
    struct Transfer
    {
        std::size_t to = 0; ///< index in mFetches
        ChunkFetch fetch;
        int from = 0; ///< member; the number of members stands for the origin
        double remainingBytes = 0;
    };
    struct Announcement
    {
        std::size_t from = 0; ///< index in mFetches
        std::uint32_t index = 0;
        int dueMs = 0;
        bool isPull = false;
    };

    ChunkPlan createPlan(std::uint32_t version, int member, int startMs) const;
    bool isRunning(const Fetch &fetch, int time) const;
    bool isOriginUp(int time) const;
    int memberOf(const ChunkSource &source) const;
    void killMembers();
    void startTransfer(std::size_t to, const ChunkFetch &request, int time);
    void advanceTransfers(int time);
    void deliverAnnouncements(int time);
    bool countComplete(int time);

    Scenario mScenario;
    std::vector<SwarmMember> mMembers;
    std::vector<Fetch> mFetches; ///< by version, then by member
    std::vector<Transfer> mTransfers;
    std::vector<Announcement> mAnnouncements;
    std::vector<VersionResult> mResults;
};

} // namespace Loom
