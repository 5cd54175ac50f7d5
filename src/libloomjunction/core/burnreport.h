/*
 * burnreport.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Loom {

/** Requests of one span of time. Counters add up across entries. */
struct BurnCounts
{
    std::uint64_t total = 0;
    std::uint64_t bad = 0; ///< refused, unknown, failed or late
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;

    void add(const BurnCounts &other);
};

/** Whose counters these are. */
struct BurnSeries
{
    std::string service;
    std::string account;

    auto operator<=>(const BurnSeries &) const = default;
};

/** The spans that a burn report looks back over, short with long. */
constexpr std::array<std::chrono::minutes, 4> sBurnWindows{
    std::chrono::minutes(5), std::chrono::minutes(30), std::chrono::minutes(60),
    std::chrono::minutes(360)};

/** Error-budget burn of one window: 1 spends the budget exactly over the objective's period. */
struct BurnWindow
{
    std::chrono::minutes span{0};
    BurnCounts counts;
    double burn = 0;
    double coverage = 0; ///< part of the window that the counters cover, 0 to 1
};

/** Keeps the counters of one entry in one-minute buckets. Owned by the burn service. */
class BurnCounters
{
public:
    explicit BurnCounters(Instant start)
        : mStart(start)
    {
    }

    void note(const BurnSeries &series, const BurnCounts &counts, Instant now);

    BurnCounts counts(const BurnSeries &series, std::chrono::minutes span, Instant now) const;
    std::vector<BurnSeries> series() const;
    /** Part of @p span for which this entry has been counting. */
    double coverage(std::chrono::minutes span, Instant now) const;

    /** Series kept at most; further ones are counted under account "(other)". */
    static constexpr std::size_t sMaxSeries = 2'000;

private:
    struct Bucket
    {
        std::int64_t minute = 0;
        BurnCounts counts;
    };

    Instant mStart;
    std::map<BurnSeries, std::deque<Bucket>> mBuckets;
};

/** Burn of @p counts against an objective of @p targetPerMille good requests. */
double burnRate(const BurnCounts &counts, std::int64_t targetPerMille);

/** What an operator should do about a short and a long window together. */
std::string_view burnAlert(double shortBurn, double longBurn);

} // namespace Loom
