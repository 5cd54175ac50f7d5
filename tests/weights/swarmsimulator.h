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
#include <vector>

namespace Loom {

/**
 * Many chunk plans in virtual time, over links whose bandwidth their transfers
 * share. Owned by one test.
 */
class SwarmSimulator
{
public:
    /** The deployment; rates in bytes a millisecond. */
    struct Scenario
    {
        std::vector<SwarmMember> members;
        std::uint32_t chunkCount = 48;
        double chunkBytes = 49'152;
        double linkRate = 1'175; ///< 9.4 Mbit/s
        double originRate = 1'875; ///< 15 Mbit/s
        std::uint32_t maxUploads = 3; ///< at one member, before others are told to come back
        std::set<std::string> killed; ///< listed as members, but silent
        int killedAtMs = 0; ///< and before it as alive as the others
        int originFailsMs = -1; ///< from then on it gives nothing; below zero: never
        int originReturnsMs = -1; ///< and from then on again; below zero: never
        int maxStartDelayMs = 0; ///< members begin at moments spread evenly up to this one
        int announceDelayMs = 15; ///< until neighbours hear of a chunk
    };

    /** What a play came to. Times in milliseconds; negative: not within the limit. */
    struct Result
    {
        int firstCompleteMs = -1; ///< the first member that had all
        int allCompleteMs = -1; ///< every living member had all
        std::uint32_t originChunks = 0;
        std::uint32_t crossDataCentreChunks = 0; ///< sent from one data centre to another
    };

    SwarmSimulator(Scenario scenario, const ChunkPlan::Options &options);

    /** Plays until all is everywhere, or until @p limitMs. */
    Result run(int limitMs);

private:
    struct Transfer
    {
        std::size_t to = 0;
        ChunkFetch fetch;
        std::size_t from = 0; ///< beyond the members: the origin
        double remainingBytes = 0; ///< bytes
    };
    struct Announcement
    {
        std::size_t holder = 0;
        std::uint32_t index = 0;
        int dueMs = 0;
    };

    bool isKilled(std::size_t member) const;
    void killMembers(int time);
    int startOf(std::size_t member) const;
    std::size_t memberOf(const ChunkSource &source) const;
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
    bool mIsKillDone = false; ///< the dead have died
};

} // namespace Loom
