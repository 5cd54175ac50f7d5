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

/** What one gateway knows of another that callers might use. */
enum class GatewayAvailability : std::uint8_t
{
    Healthy, ///< ready, as it says itself
    Unmonitored, ///< recorded; nobody here listens to it
    Unavailable, ///< silent, leaving or not ready
};

/** A gateway as an address for callers. */
struct GatewayAddress
{
    std::string callers; ///< IP:PORT
    std::string dataCentre;
    std::string region; ///< empty: not told
    GatewayAvailability availability = GatewayAvailability::Unmonitored;
};

/** Where a caller stands, as it says; empty: not told. */
struct CallerLocation
{
    std::string dataCentre;
    std::string region;
};

/** What may be lost at once while callers still have to be served. */
struct FailureTolerance
{
    std::uint32_t dataCentres = 0;
    std::uint32_t regions = 0;

    bool operator==(const FailureTolerance &) const = default;
};

/**
 * Which gateways a caller is told to use: those of its data centre, where there
 * are enough; else those of its region; else all. Where a data centre has too few for
 * good, its callers use all gateways, and so do those of the others. Links between data centres are
 * narrow and shared, and what a caller sends over one may lie there longer than
 * the caller stays.
 */
class AddressSelector
{
public:
    /** @p asked: key of the gateway that answers; others may choose others. */
    AddressSelector(std::string_view gatewayKey, std::span<const GatewayAddress> gateways,
                    FailureTolerance tolerance);

    /** Addresses for one caller, at most 64. */
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
    void appendFallbacks(const CallerLocation &caller, const Filter &isNear,
                         std::vector<const GatewayAddress *> &chosen) const;

    std::string mGatewayKey;
    std::span<const GatewayAddress> mGateways;
    FailureTolerance mTolerance;
};

} // namespace Loom
