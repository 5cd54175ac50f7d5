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

/** Request counts of a time window. The counts of several entries can be added. */
struct BurnCounts
{
    std::uint64_t total = 0;
    std::uint64_t bad = 0; ///< refused, unknown, failed or late
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;

    void add(const BurnCounts &other);
};

/** Identifies the counters of one client account of a service. */
struct BurnSeries
{
    std::string service;
    std::string account;

    auto operator<=>(const BurnSeries &) const = default;
};

/** The time windows of a burn report, from short to long. */
constexpr std::array<std::chrono::minutes, 4> sBurnWindows{
    std::chrono::minutes(5), std::chrono::minutes(30), std::chrono::minutes(60),
    std::chrono::minutes(360)};

/** Burn rate of one window; at 1 the error budget lasts exactly for the period of the objective. */
struct BurnWindow
{
    std::chrono::minutes span{0};
    BurnCounts counts;
    double burn = 0;
    double coverage = 0; ///< fraction of the window that the counters cover, 0 to 1
};

/** Stores the counters of one entry in buckets of one minute. Owned by the burn service. */
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
    /** Returns the fraction of @p span for which this entry has been counting, 0 to 1. */
    double coverage(std::chrono::minutes span, Instant now) const;

    /** Limit of series; requests of further ones are counted for the account "(other)". */
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

/** Returns the burn rate of @p counts for an objective of @p targetPerMille good requests. */
double burnRate(const BurnCounts &counts, std::int64_t targetPerMille);

/** Returns the alert level for the burn rates of a short and a long window. */
std::string_view burnAlert(double shortBurn, double longBurn);

} // namespace Loom
