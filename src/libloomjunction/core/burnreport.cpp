/*
 * burnreport.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "burnreport.h"

#include <algorithm>

namespace Loom {

namespace {

// Usual burn rates of multi-window alerts, which spend a budget of 30 days in about 2 or 10 days.
constexpr double sPageBurnRate = 14.4;
constexpr double sTicketBurnRate = 3.0;
constexpr double sPerMille = 1000.0;

std::int64_t minuteIndex(Instant now)
{
    return std::chrono::floor<std::chrono::minutes>(now.time_since_epoch()).count();
}

} // namespace

void BurnCounts::add(const BurnCounts &other)
{
    total += other.total;
    bad += other.bad;
    notRun += other.notRun;
    unknown += other.unknown;
}

void BurnCounters::note(const BurnSeries &series, const BurnCounts &counts, Instant now)
{
    auto it = mBuckets.find(series);
    if (it == mBuckets.end()) {
        const bool full = mBuckets.size() >= sMaxSeries;
        it = mBuckets.try_emplace(full ? BurnSeries{series.service, "(other)"} : series).first;
    }
    std::deque<Bucket> &buckets = it->second;
    const std::int64_t minute = minuteIndex(now);
    if (buckets.empty() || buckets.back().minute != minute) {
        buckets.push_back({minute, {}});
    }
    buckets.back().counts.add(counts);
    const std::int64_t oldest = minute - sBurnWindows.back().count();
    while (buckets.front().minute < oldest) {
        buckets.pop_front();
    }
}

BurnCounts BurnCounters::counts(const BurnSeries &series, std::chrono::minutes span,
                                Instant now) const
{
    BurnCounts sum;
    const auto it = mBuckets.find(series);
    if (it == mBuckets.end()) {
        return sum;
    }
    const std::int64_t oldest = minuteIndex(now) - span.count();
    for (const Bucket &bucket : it->second) {
        if (bucket.minute > oldest) {
            sum.add(bucket.counts);
        }
    }
    return sum;
}

std::vector<BurnSeries> BurnCounters::series() const
{
    std::vector<BurnSeries> all;
    all.reserve(mBuckets.size());
    for (const auto &[series, buckets] : mBuckets) {
        all.push_back(series);
    }
    return all;
}

double BurnCounters::coverage(std::chrono::minutes span, Instant now) const
{
    const std::chrono::duration<double> up = now - mStart;
    const std::chrono::duration<double> whole = span;
    return std::min(1.0, up / whole);
}

double burnRate(const BurnCounts &counts, std::int64_t targetPerMille)
{
    if (counts.total == 0) {
        return 0;
    }
    const double budget = (sPerMille - static_cast<double>(targetPerMille)) / sPerMille;
    return static_cast<double>(counts.bad) / static_cast<double>(counts.total) / budget;
}

std::string_view burnAlert(double shortBurn, double longBurn)
{
    const double both = std::min(shortBurn, longBurn);
    if (both >= sPageBurnRate) {
        return "page";
    }
    return both >= sTicketBurnRate ? "ticket" : "ok";
}

} // namespace Loom
