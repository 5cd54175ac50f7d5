/*
 * addressselector.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "addressselector.h"

#include "rendezvous.h"

#include <algorithm>
#include <map>
#include <set>

namespace Loom {

namespace {

// Callers on the platform read at most this many addresses.
constexpr std::size_t sMaxAddresses = 64;
// Minimum length of a list of local gateways. With four, one is still running after two
// are lost while a third restarts.
constexpr std::size_t sMinLocalGateways = 4;
// Callers of a data centre stay local if the largest data centre has at most this many
// times as many gateways. A local gateway then serves at most twice as many callers.
constexpr std::size_t sMaxSizeRatio = 2;
// Unmonitored gateways are left out if at least this many healthy ones are known. With
// fewer, many callers would be sent to the same gateways, because every gateway monitors
// the gateways that read the store.
constexpr std::size_t sMinHealthyGateways = 8;

} // namespace

AddressSelector::AddressSelector(std::string_view gatewayKey,
                                 std::span<const GatewayAddress> gateways,
                                 FailureTolerance tolerance)
    : mGatewayKey(gatewayKey)
    , mGateways(gateways)
    , mTolerance(tolerance)
{
}

// The records of unmonitored gateways are not trusted if gateways of the same data centre
// are monitored and none of them is healthy: the boxes of those records may have failed
// as well.
bool AddressSelector::hasTrustedRecords(std::string_view dataCentre) const
{
    bool isAnyUnavailable = false;
    for (const GatewayAddress &gateway : mGateways) {
        if (gateway.dataCentre != dataCentre) {
            continue;
        }
        if (gateway.availability == GatewayAvailability::Healthy) {
            return true;
        }
        isAnyUnavailable
            = isAnyUnavailable || gateway.availability == GatewayAvailability::Unavailable;
    }
    return !isAnyUnavailable;
}

// Returns the wanted gateways that are healthy or whose records are trusted.
std::vector<const GatewayAddress *> AddressSelector::available(const Filter &isWanted) const
{
    std::map<std::string_view, bool> trustByDataCentre;
    std::vector<const GatewayAddress *> gateways;
    for (const GatewayAddress &gateway : mGateways) {
        if (gateway.availability == GatewayAvailability::Unavailable || gateway.callers.empty()
            || !isWanted(gateway)) {
            continue;
        }
        auto known = trustByDataCentre.find(gateway.dataCentre);
        if (known == trustByDataCentre.end()) {
            known = trustByDataCentre
                        .emplace(gateway.dataCentre, hasTrustedRecords(gateway.dataCentre))
                        .first;
        }
        if (gateway.availability == GatewayAvailability::Healthy || known->second) {
            gateways.push_back(&gateway);
        }
    }
    return gateways;
}

// Drops unmonitored gateways if enough healthy ones remain. The loss of an unmonitored
// gateway is noticed only when its record is removed.
std::vector<const GatewayAddress *>
AddressSelector::preferred(std::vector<const GatewayAddress *> available) const
{
    const auto isHealthy = [](const GatewayAddress *gateway) {
        return gateway->availability == GatewayAvailability::Healthy;
    };
    const auto healthyCount = static_cast<std::size_t>(std::ranges::count_if(available, isHealthy));
    if (healthyCount >= sMinHealthyGateways) {
        std::erase_if(available,
                      [&](const GatewayAddress *gateway) { return !isHealthy(gateway); });
    }
    return ordered(std::move(available));
}

// Orders gateways by rendezvous hash of the answering gateway. Repeated answers must
// agree, because callers stop using connections to addresses that a new answer lacks.
std::vector<const GatewayAddress *>
AddressSelector::ordered(std::vector<const GatewayAddress *> gateways) const
{
    std::vector<std::string> keys;
    keys.reserve(gateways.size());
    for (const GatewayAddress *gateway : gateways) {
        keys.push_back(gateway->callers);
    }
    std::vector<const GatewayAddress *> result;
    for (const std::size_t index : rendezvousOrder(mGatewayKey, keys, keys.size())) {
        result.push_back(gateways[index]);
    }
    return result;
}

std::size_t AddressSelector::largestDataCentreSize() const
{
    std::map<std::string_view, std::size_t> sizes;
    std::size_t largest = 0;
    for (const GatewayAddress *gateway : available([](const GatewayAddress &) { return true; })) {
        largest = std::max(largest, ++sizes[gateway->dataCentre]);
    }
    return largest;
}

// Unavailable gateways count as well, because they are expected to return. If the callers
// of one data centre use all gateways, another one that kept its callers local would serve
// them and a part of the others': with four, two and three gateways, a gateway of the largest
// data centre got 231 calls while others got 79, and the share of calls answered in time fell
// by 0.03.
bool AddressSelector::hasEnoughInEachDataCentre() const
{
    std::map<std::string_view, std::size_t> sizes;
    std::size_t largest = 0;
    for (const GatewayAddress &gateway : mGateways) {
        if (!gateway.callers.empty()) {
            largest = std::max(largest, ++sizes[gateway.dataCentre]);
        }
    }
    return std::ranges::all_of(sizes, [largest](const auto &size) {
        return size.second >= sMinLocalGateways && size.second * sMaxSizeRatio >= largest;
    });
}

std::vector<std::string> AddressSelector::choose(const CallerLocation &caller) const
{
    const Filter isInDataCentre
        = [&](const GatewayAddress &gateway) { return gateway.dataCentre == caller.dataCentre; };
    const Filter isInRegion
        = [&](const GatewayAddress &gateway) { return gateway.region == caller.region; };
    const std::size_t largest = largestDataCentreSize();
    const bool canStayLocal = hasEnoughInEachDataCentre();
    const auto isEnough = [&](std::size_t count) {
        return canStayLocal && count >= sMinLocalGateways && count * sMaxSizeRatio >= largest;
    };
    std::vector<const GatewayAddress *> chosen;
    for (const auto &[location, filter] :
         {std::pair(&caller.dataCentre, &isInDataCentre), std::pair(&caller.region, &isInRegion)}) {
        const auto nearby
            = location->empty() ? std::vector<const GatewayAddress *>() : available(*filter);
        if (isEnough(nearby.size())) {
            chosen = preferred(nearby);
            appendFallbacks(caller, *filter, chosen);
            break;
        }
    }
    if (chosen.empty()) {
        chosen = preferred(available([](const GatewayAddress &) { return true; }));
    }
    chosen.resize(std::min(chosen.size(), sMaxAddresses));
    std::vector<std::string> addresses;
    addresses.reserve(chosen.size());
    for (const GatewayAddress *gateway : chosen) {
        addresses.push_back(gateway->callers);
    }
    return addresses;
}

// Appends remote gateways for the case that all local ones are lost together; a caller
// would then have no gateway left and none to query for other addresses. A caller uses a
// remote address as often as a local one, so there is only one for each data centre or
// region that may be lost at once, and none if no such loss has to be tolerated.
void AddressSelector::appendFallbacks(const CallerLocation &caller, const Filter &isNearby,
                                      std::vector<const GatewayAddress *> &chosen) const
{
    const bool hasRegionFallbacks = mTolerance.regions > 0;
    const std::size_t wanted = std::max(mTolerance.dataCentres, mTolerance.regions);
    const auto failureDomain
        = [hasRegionFallbacks](const GatewayAddress &gateway) -> const std::string & {
        return hasRegionFallbacks ? gateway.region : gateway.dataCentre;
    };
    std::set<std::string> covered{hasRegionFallbacks ? caller.region : caller.dataCentre};
    auto remote
        = ordered(available([&](const GatewayAddress &gateway) { return !isNearby(gateway); }));
    const auto isHealthy = [](const GatewayAddress *gateway) {
        return gateway->availability == GatewayAvailability::Healthy;
    };
    std::stable_partition(remote.begin(), remote.end(), isHealthy);
    chosen.resize(std::min(chosen.size(), sMaxAddresses - std::min(wanted, sMaxAddresses)));
    for (const GatewayAddress *gateway : remote) {
        if (covered.size() <= wanted && covered.insert(failureDomain(*gateway)).second) {
            chosen.push_back(gateway);
        }
    }
}

std::vector<std::string> chooseInRegions(std::string_view gatewayKey,
                                         std::span<const GatewayAddress> gateways,
                                         FailureTolerance tolerance, const CallerLocation &caller,
                                         std::span<const std::string> regions)
{
    std::vector<GatewayAddress> allowed;
    for (const GatewayAddress &gateway : gateways) {
        const bool isNear = gateway.region == caller.region;
        const bool isListed = std::ranges::find(regions, gateway.region) != regions.end();
        if (!gateway.region.empty() && (isNear || isListed)) {
            allowed.push_back(gateway);
        }
    }
    auto addresses = AddressSelector(gatewayKey, allowed, tolerance).choose(caller);
    if (addresses.empty()) {
        addresses = AddressSelector(gatewayKey, gateways, tolerance).choose(caller);
    }
    return addresses;
}

} // namespace Loom
