/*
 * demandestimate.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "demandestimate.h"

#include "callrate.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace Loom {

namespace {

// Five status messages. A gateway that is cut off or suspended counts no longer after this.
constexpr Milliseconds sMaxReportAge{2'000};
// Two orders of magnitude above what a gateway with a fraction of a core serves. A higher rate
// is a fault of the sender.
constexpr double sMaxPerMs = 10;
// One gateway's rate counts up to this multiple of the next highest one, so that a single wrong
// report below the maximum can't make all others refuse their calls.
constexpr double sMaxOutlierFactor = 2;
// Differences of fewer standard deviations are random variation. At even demand, about 1 in
// 2,000 comparisons exceeds it.
constexpr double sSignificantDeviations = 3.5;

// Variance of a rate that was counted by CallRate at a steady @p perMs. The decayed count of
// independent calls has half the variance of a plain count. The additional call covers rates so
// low that a single call is a large difference.
double rateVariance(double perMs)
{
    constexpr double sTimeMs = CallRate::meanAgeMs();
    return perMs / (2 * sTimeMs) + 1 / (sTimeMs * sTimeMs);
}

} // namespace

bool DemandEstimate::report(const std::string &gateway, ReportedDemand demand, Instant now)
{
    const bool isPlausible = std::ranges::all_of(demand.perMs, [](const auto &item) {
        return std::isfinite(item.second) && item.second >= 0 && item.second <= sMaxPerMs;
    });
    if (!isPlausible) {
        mReports.erase(gateway);
        return false;
    }
    mReports[gateway] = {std::move(demand), now};
    return true;
}

void DemandEstimate::forget(std::string_view gateway)
{
    if (const auto it = mReports.find(gateway); it != mReports.end()) {
        mReports.erase(it);
    }
}

void DemandEstimate::sweep(Instant now)
{
    std::erase_if(mReports, [&](const auto &item) { return now - item.second.at > sMaxReportAge; });
}

// The rates by data centre, with the highest reported one limited by the next highest and by the
// own rate.
DemandEstimate::Samples DemandEstimate::samples(std::string_view service, const Own &own,
                                                Instant now) const
{
    std::vector<std::pair<std::string_view, double>> rates;
    for (const auto &[gateway, report] : mReports) {
        if (now - report.at <= sMaxReportAge) {
            const auto rate = report.demand.perMs.find(service);
            rates.emplace_back(report.demand.dataCentre,
                               rate == report.demand.perMs.end() ? 0 : rate->second);
        }
    }
    const auto highest
        = std::ranges::max_element(rates, {}, &std::pair<std::string_view, double>::second);
    if (highest != rates.end()) {
        double next = own.perMs;
        for (auto it = rates.begin(); it != rates.end(); ++it) {
            next = it == highest ? next : std::max(next, it->second);
        }
        highest->second = std::min(highest->second, sMaxOutlierFactor * next);
    }
    rates.emplace_back(own.dataCentre, own.perMs);
    Samples samples;
    for (const auto &[dataCentre, perMs] : rates) {
        Sample &sample = samples[dataCentre];
        sample.sum += perMs;
        ++sample.count;
    }
    return samples;
}

double DemandEstimate::gatewaysIn(std::string_view dataCentre, const Sample &sample) const
{
    const auto known = mGateways.find(dataCentre);
    return std::max<double>(known == mGateways.end() ? 0 : known->second, sample.count);
}

// A gateway receives the rates of most gateways of its own data centre, but of only a few
// elsewhere. So the mean is taken for each data centre and weighted by the number of its
// gateways. A data centre without a report is taken to be like the others.
MeanDemand DemandEstimate::mean(std::string_view service, const Own &own, Instant now) const
{
    const Samples byDataCentre = samples(service, own, now);
    double gateways = 0;
    std::uint32_t reporting = 0;
    for (const auto &[dataCentre, sample] : byDataCentre) {
        gateways += gatewaysIn(dataCentre, sample);
        reporting += sample.count;
    }
    MeanDemand demand;
    demand.perMs = own.perMs;
    demand.reportingGateways = reporting - 1;
    if (demand.reportingGateways == 0) {
        return demand;
    }
    double mean = 0;
    double shareOfVariance = 0;
    for (const auto &[dataCentre, sample] : byDataCentre) {
        const double weight = gatewaysIn(dataCentre, sample) / gateways;
        mean += weight * sample.mean();
        shareOfVariance += weight * weight / sample.count;
    }
    const auto differs = [&](double perMs, std::uint32_t count) {
        const double variance = rateVariance(mean) * (1.0 / count + shareOfVariance);
        return std::abs(perMs - mean) > sSignificantDeviations * std::sqrt(variance);
    };
    const Sample &local = byDataCentre.at(own.dataCentre);
    const bool isLocalMeanDifferent = differs(local.mean(), local.count);
    demand.usesReports = isLocalMeanDifferent || differs(own.perMs, 1);
    demand.hasLocalExcess = isLocalMeanDifferent && local.mean() > mean;
    demand.perMs = demand.usesReports ? mean : own.perMs;
    return demand;
}

} // namespace Loom
