/*
 * demandestimate.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Loom {

/** Calls per millisecond by service, as another gateway reported them. */
struct ReportedDemand
{
    std::string dataCentre; ///< of the reporting gateway
    std::map<std::string, double, std::less<>> perMs;
};

/** Mean rate of calls for one service at a gateway. */
struct MeanDemand
{
    double perMs = 0;
    std::uint32_t reportingGateways = 0; ///< other gateways whose rates were received recently
    /** The rates differ by more than random variation, so the mean replaces the own rate. */
    bool usesReports = false;
    /** The own data centre's gateways get more calls than the mean, by more than that. */
    bool hasLocalExcess = false;
};

/**
 * Estimates the mean rate of calls for a service over all gateways, from the gateway's own
 * rate and from those that other gateways report in their status messages.
 */
class DemandEstimate
{
public:
    /** The gateway that estimates. */
    struct Own
    {
        std::string_view dataCentre;
        double perMs = 0; ///< rate of calls for the service
    };

    /** Sets the number of gateways by data centre, including the own gateway. */
    void setGateways(std::map<std::string, std::uint32_t, std::less<>> countByDataCentre)
    {
        mGateways = std::move(countByDataCentre);
    }
    /**
     * Stores the rates of @p gateway in place of its earlier ones. False: a rate is not
     * plausible, and all of this gateway's rates are discarded.
     */
    bool report(const std::string &gateway, ReportedDemand demand, Instant now);
    /** Discards the rates of @p gateway, which is gone or serves no calls. */
    void forget(std::string_view gateway);
    /** Discards rates that are too old to count. */
    void sweep(Instant now);
    MeanDemand mean(std::string_view service, const Own &own, Instant now) const;

private:
    struct Report
    {
        ReportedDemand demand;
        Instant at;
    };
    struct Sample
    {
        double sum = 0;
        std::uint32_t count = 0;
        double mean() const { return count == 0 ? 0 : sum / count; }
    };
    using Samples = std::map<std::string_view, Sample>; ///< by data centre

    Samples samples(std::string_view service, const Own &own, Instant now) const;
    double gatewaysIn(std::string_view dataCentre, const Sample &sample) const;

    std::map<std::string, std::uint32_t, std::less<>> mGateways; ///< by data centre
    std::map<std::string, Report, std::less<>> mReports; ///< by gateway
};

} // namespace Loom
