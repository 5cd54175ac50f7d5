/*
 * metrics.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace Loom {

/** Name of a metric and the value of its one label (may be empty). */
struct MetricName
{
    std::string name;
    std::string label;

    auto operator<=>(const MetricName &) const = default;
};

/** Quantiles of one kind of duration or size, by Boost.Accumulators. */
class Distribution
{
public:
    Distribution();
    ~Distribution();
    Distribution(Distribution &&) noexcept;
    Distribution &operator=(Distribution &&) noexcept;

    void add(double value);
    std::uint64_t count() const;
    double mean() const;
    /** Estimate for one of the quantiles 0.5, 0.95 or 0.99. */
    double quantile(double probability) const;

private:
    class Impl;
    std::unique_ptr<Impl> mImpl;
};

/** Counters and distributions of one process. Owned by main(). */
class Metrics
{
public:
    void count(std::string_view name, std::string_view label = {}, std::uint64_t by = 1);
    void set(std::string_view name, std::string_view label, std::int64_t value);
    void observe(std::string_view name, std::string_view label, double value);

    std::uint64_t counter(std::string_view name, std::string_view label = {}) const;
    /** The counter itself, for what counts often; it lives as long as this. */
    std::uint64_t &counted(std::string_view name, std::string_view label = {});
    /** All metrics in the text exposition format. */
    std::string text() const;

private:
    std::map<MetricName, std::uint64_t> mCounters;
    std::map<MetricName, std::int64_t> mGauges;
    std::map<MetricName, Distribution> mDistributions;
};

} // namespace Loom
