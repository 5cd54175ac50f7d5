/*
 * addressselector.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** Availability of a gateway for callers, as seen by the gateway that answers. */
enum class GatewayAvailability : std::uint8_t
{
    Healthy, ///< monitored from here, and reports that it is ready
    Unmonitored, ///< only its membership record is known
    Unavailable, ///< silent, leaving or not ready
};

/** A gateway that callers could connect to. */
struct GatewayAddress
{
    std::string callers; ///< IP:PORT on which it accepts callers
    std::string dataCentre;
    std::string region; ///< empty if unknown
    GatewayAvailability availability = GatewayAvailability::Unmonitored;
};

/** Location that a caller states in its query; fields are empty if unknown. */
struct CallerLocation
{
    std::string dataCentre;
    std::string region;
};

/** Number of locations that may fail at the same time without callers losing service. */
struct FailureTolerance
{
    std::uint32_t dataCentres = 0;
    std::uint32_t regions = 0;

    bool operator==(const FailureTolerance &) const = default;
};

/**
 * Selects the gateway addresses that a caller is given: the gateways of its data centre
 * if there are enough of them, else those of its region, else all. If any data centre is
 * permanently too small to serve its own callers, the callers of every data centre get
 * all gateways. Local gateways are preferred because links between data centres are
 * narrow and shared, and a request may be queued on one for longer than its caller waits.
 */
class AddressSelector
{
public:
    /** @p gatewayKey identifies the gateway that answers; the selection depends on it. */
    AddressSelector(std::string_view gatewayKey, std::span<const GatewayAddress> gateways,
                    FailureTolerance tolerance);

    /** Returns the addresses for @p caller, at most 64. */
    std::vector<std::string> choose(const CallerLocation &caller) const;

private:
    using Filter = std::function<bool(const GatewayAddress &)>;

    bool hasTrustedRecords(std::string_view dataCentre) const;
    std::vector<const GatewayAddress *> available(const Filter &isWanted) const;
    std::vector<const GatewayAddress *>
    preferred(std::vector<const GatewayAddress *> available) const;
    std::vector<const GatewayAddress *> ordered(std::vector<const GatewayAddress *> gateways) const;
    std::size_t largestDataCentreSize() const;
    bool hasEnoughInEachDataCentre() const;
    void appendFallbacks(const CallerLocation &caller, const Filter &isNearby,
                         std::vector<const GatewayAddress *> &chosen) const;

    std::string mGatewayKey;
    std::span<const GatewayAddress> mGateways;
    FailureTolerance mTolerance;
};

/**
 * Selects the addresses for a caller of routes that only @p regions may serve: gateways of these
 * regions and of the caller's own one. If none of them can be named, selects as without regions.
 */
std::vector<std::string> chooseInRegions(std::string_view gatewayKey,
                                         std::span<const GatewayAddress> gateways,
                                         FailureTolerance tolerance, const CallerLocation &caller,
                                         std::span<const std::string> regions);

} // namespace Loom
