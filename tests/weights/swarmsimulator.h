/*
 * swarmsimulator.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "chunkplan.h"

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Loom {

/**
 * Simulates the chunk plans of many members in virtual time. Concurrent transfers
 * share the bandwidth of their links. Owned by one test.
 */
class SwarmSimulator
{
public:
    /** The simulated deployment and its faults; rates are in bytes per millisecond. */
    struct Scenario
    {
        std::vector<SwarmMember> members;
        std::uint32_t chunkCount = 48;
        double chunkBytes = 49'152;
        double linkRate = 1'175; ///< 9.4 Mbit/s
        double originRate = 1'875; ///< 15 Mbit/s
        /** All transfers from one data centre to another one share it, each way; 24 Mbit/s. */
        double regionRate = 3'000;
        std::uint32_t maxUploads = 3; ///< per member; further requests get "busy"
        std::set<std::string> killed; ///< members that fail; they stay in the list of members
        int killedAtMs = 0; ///< time of their failure
        int originFailsMs = -1; ///< time of the origin's failure; negative: never
        int originReturnsMs = -1; ///< time of the origin's return; negative: never
        int maxStartDelayMs = 0; ///< starts are spread evenly up to this time
        int announceDelayMs = 15; ///< time until neighbours learn of a chunk
    };

    /** The outcome of a run. Times are in milliseconds; negative: not within the limit. */
    struct Result
    {
        int firstCompleteMs = -1; ///< time when the first member was complete
        int allCompleteMs = -1; ///< time when every live member was complete
        std::uint32_t originChunks = 0;
        std::uint32_t crossDataCentreChunks = 0; ///< chunks sent between data centres
    };

    SwarmSimulator(Scenario scenario, const ChunkPlan::Options &options);

    /** Runs until every live member is complete, or until @p limitMs. */
    Result run(int limitMs);

private:
    struct Transfer
    {
        std::size_t to = 0;
        ChunkFetch fetch;
        std::size_t from = 0; ///< index of the sender; the number of members stands for the origin
        double remainingBytes = 0;
    };
    struct Announcement
    {
        std::size_t holder = 0;
        std::uint32_t index = 0;
        int dueMs = 0;
        bool isPull = false; ///< the holder begins to pull the chunk from the origin
    };

    bool isKilled(std::size_t member) const;
    void killMembers(int time);
    int startOf(std::size_t member) const;
    std::size_t memberOf(const ChunkSource &source) const;
    /** The sender's and the receiver's data centre; empty within one, and from the origin. */
    std::pair<std::string, std::string> regionLink(const Transfer &transfer) const;
    void startTransfer(std::size_t to, const ChunkFetch &fetch, int time);
    void advanceTransfers(int time);
    void failOriginPulls(int time);
    void deliver(const Transfer &done, int time);
    void deliverAnnouncements(int time);
    void countComplete(Result &result, int time) const;

    Scenario mScenario;
    std::vector<ChunkPlan> mPlans;
    std::vector<Transfer> mTransfers;
    std::vector<Announcement> mAnnouncements;
    Result mCounts;
    bool mIsKillDone = false; ///< the members in Scenario::killed have failed
};

} // namespace Loom
