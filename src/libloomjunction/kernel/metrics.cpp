/*
 * metrics.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "metrics.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace Loom {

namespace {

namespace acc = boost::accumulators;

constexpr std::array sQuantiles{0.5, 0.95, 0.99};
constexpr std::string_view sPrefix = "loom_";
// So many values are kept as they are: estimates of quantiles are far off for few values.
constexpr std::size_t sExactValues = 500;

std::string lineOf(const MetricName &name, std::string_view suffix, std::string_view extra,
                   const std::string &value)
{
    std::string labels;
    if (!name.label.empty()) {
        labels = "of=\"" + name.label + "\"";
    }
    if (!extra.empty()) {
        labels += (labels.empty() ? "" : ",") + std::string(extra);
    }
    std::string line = std::string(sPrefix) + name.name + std::string(suffix);
    if (!labels.empty()) {
        line += "{" + labels + "}";
    }
    return line + " " + value + "\n";
}

} // namespace

class Distribution::Impl
{
public:
    using Set = acc::accumulator_set<
        double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::extended_p_square_quantile>>;

    /** The value that this share of the kept ones does not exceed. */
    double exactQuantile(double probability) const
    {
        std::vector<double> values = first;
        const double rank = std::ceil(probability * static_cast<double>(values.size()));
        const auto at = values.begin() + std::max<std::ptrdiff_t>(std::lround(rank) - 1, 0);
        std::nth_element(values.begin(), at, values.end());
        return *at;
    }

    Set set{acc::extended_p_square_probabilities = sQuantiles};
    std::vector<double> first; ///< sExactValues at most
};

Distribution::Distribution()
    : mImpl(std::make_unique<Impl>())
{
}

Distribution::~Distribution() = default;
Distribution::Distribution(Distribution &&) noexcept = default;
Distribution &Distribution::operator=(Distribution &&) noexcept = default;

void Distribution::add(double value)
{
    mImpl->set(value);
    if (count() <= sExactValues) {
        mImpl->first.push_back(value);
    }
}

std::uint64_t Distribution::count() const
{
    return acc::count(mImpl->set);
}

double Distribution::mean() const
{
    return count() == 0 ? 0 : acc::mean(mImpl->set);
}

double Distribution::quantile(double probability) const
{
    if (count() == 0) {
        return 0;
    }
    // The estimator's markers need many values before they mean anything.
    if (count() <= sExactValues) {
        return mImpl->exactQuantile(probability);
    }
    return acc::quantile(mImpl->set, acc::quantile_probability = probability);
}

void Metrics::count(std::string_view name, std::string_view label, std::uint64_t by)
{
    mCounters[{std::string(name), std::string(label)}] += by;
}

void Metrics::set(std::string_view name, std::string_view label, std::int64_t value)
{
    mGauges[{std::string(name), std::string(label)}] = value;
}

void Metrics::observe(std::string_view name, std::string_view label, double value)
{
    mDistributions[{std::string(name), std::string(label)}].add(value);
}

std::uint64_t Metrics::counter(std::string_view name, std::string_view label) const
{
    const auto it = mCounters.find({std::string(name), std::string(label)});
    return it == mCounters.end() ? 0 : it->second;
}

std::uint64_t &Metrics::counted(std::string_view name, std::string_view label)
{
    return mCounters[{std::string(name), std::string(label)}];
}

std::string Metrics::text() const
{
    std::string out;
    for (const auto &[name, value] : mCounters) {
        out += lineOf(name, "_total", "", std::to_string(value));
    }
    for (const auto &[name, value] : mGauges) {
        out += lineOf(name, "", "", std::to_string(value));
    }
    for (const auto &[name, distribution] : mDistributions) {
        for (const double quantile : sQuantiles) {
            const std::string label = "quantile=\"" + std::to_string(quantile).substr(0, 4) + "\"";
            out += lineOf(name, "", label, std::to_string(distribution.quantile(quantile)));
        }
        out += lineOf(name, "_count", "", std::to_string(distribution.count()));
    }
    return out;
}

} // namespace Loom
