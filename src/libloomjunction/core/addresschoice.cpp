/*
 * addresschoice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "addresschoice.h"

#include "rendezvous.h"

#include <algorithm>
#include <map>
#include <set>

namespace Loom {

namespace {

// The platform's callers read no more.
constexpr std::size_t sMostAddresses = 64;
// Gateways of a near list: two may be lost and one start again, and one is left.
constexpr std::size_t sFewestNear = 4;
// A data centre keeps its callers for itself if it has at least one gateway for so
// many of the largest: its gateways then get at most twice as many callers each.
constexpr std::size_t sLargestShare = 2;
// Gateways that are heard here are told alone from this number on. Of fewer, many
// callers would meet at the same ones, since all gateways listen to the readers.
constexpr std::size_t sEnoughHeard = 8;

} // namespace

AddressChoice::AddressChoice(std::string_view asked, std::span<const AddressPlace> gateways,
                             LossBounds losses)
    : mAsked(asked)
    , mGateways(gateways)
    , mLosses(losses)
{
}

// Where one listens to some and hears none, the others' records may be of boxes
// that went with them.
bool AddressChoice::isTrusted(std::string_view dataCentre) const
{
    bool isAnyOut = false;
    for (const AddressPlace &place : mGateways) {
        if (place.dataCentre != dataCentre) {
            continue;
        }
        if (place.standing == GatewayStanding::Heard) {
            return true;
        }
        isAnyOut = isAnyOut || place.standing == GatewayStanding::Out;
    }
    return !isAnyOut;
}

// Those that live, as far as is known here.
std::vector<const AddressPlace *> AddressChoice::living(const Filter &isWanted) const
{
    std::map<std::string_view, bool> trust;
    std::vector<const AddressPlace *> places;
    for (const AddressPlace &place : mGateways) {
        if (place.standing == GatewayStanding::Out || place.callers.empty() || !isWanted(place)) {
            continue;
        }
        auto known = trust.find(place.dataCentre);
        if (known == trust.end()) {
            known = trust.emplace(place.dataCentre, isTrusted(place.dataCentre)).first;
        }
        if (place.standing == GatewayStanding::Heard || known->second) {
            places.push_back(&place);
        }
    }
    return places;
}

// The loss of one that is not heard shows here only when its record goes.
std::vector<const AddressPlace *>
AddressChoice::preferred(std::vector<const AddressPlace *> living) const
{
    const auto isHeard
        = [](const AddressPlace *place) { return place->standing == GatewayStanding::Heard; };
    const auto heard = static_cast<std::size_t>(std::ranges::count_if(living, isHeard));
    if (heard >= sEnoughHeard) {
        std::erase_if(living, [&](const AddressPlace *place) { return !isHeard(place); });
    }
    return ordered(std::move(living));
}

// By the gateway that is asked, and the same each time: callers cease to use
// connections to addresses that a new answer lacks.
std::vector<const AddressPlace *>
AddressChoice::ordered(std::vector<const AddressPlace *> places) const
{
    std::vector<std::string> keys;
    keys.reserve(places.size());
    for (const AddressPlace *place : places) {
        keys.push_back(place->callers);
    }
    std::vector<const AddressPlace *> result;
    for (const std::size_t index : rendezvousOrder(mAsked, keys, keys.size())) {
        result.push_back(places[index]);
    }
    return result;
}

std::size_t AddressChoice::largestDataCentre() const
{
    std::map<std::string_view, std::size_t> sizes;
    std::size_t largest = 0;
    for (const AddressPlace *place : living([](const AddressPlace &) { return true; })) {
        largest = std::max(largest, ++sizes[place->dataCentre]);
    }
    return largest;
}

// Counts those that are away, too: they will be back. Where one data centre sends its
// callers to all gateways, one that kept its own would carry them and a part of the
// others': 231 calls at its gateways while others got 79 (four, two and three gateways),
// and 0.03 less in time.
bool AddressChoice::hasEnoughEverywhere() const
{
    std::map<std::string_view, std::size_t> sizes;
    std::size_t largest = 0;
    for (const AddressPlace &place : mGateways) {
        if (!place.callers.empty()) {
            largest = std::max(largest, ++sizes[place.dataCentre]);
        }
    }
    return std::ranges::all_of(sizes, [largest](const auto &size) {
        return size.second >= sFewestNear && size.second * sLargestShare >= largest;
    });
}

std::vector<std::string> AddressChoice::choose(const CallerPlace &caller) const
{
    const Filter isOfDataCentre
        = [&](const AddressPlace &place) { return place.dataCentre == caller.dataCentre; };
    const Filter isOfRegion
        = [&](const AddressPlace &place) { return place.region == caller.region; };
    const std::size_t largest = largestDataCentre();
    const bool mayStay = hasEnoughEverywhere();
    const auto isEnough = [&](std::size_t count) {
        return mayStay && count >= sFewestNear && count * sLargestShare >= largest;
    };
    std::vector<const AddressPlace *> chosen;
    for (const auto &[told, filter] :
         {std::pair(&caller.dataCentre, &isOfDataCentre), std::pair(&caller.region, &isOfRegion)}) {
        const auto near = told->empty() ? std::vector<const AddressPlace *>() : living(*filter);
        if (isEnough(near.size())) {
            chosen = preferred(near);
            appendFallbacks(caller, *filter, chosen);
            break;
        }
    }
    if (chosen.empty()) {
        chosen = preferred(living([](const AddressPlace &) { return true; }));
    }
    chosen.resize(std::min(chosen.size(), sMostAddresses));
    std::vector<std::string> addresses;
    addresses.reserve(chosen.size());
    for (const AddressPlace *place : chosen) {
        addresses.push_back(place->callers);
    }
    return addresses;
}

// A caller that is told near gateways only has nowhere to go, and nobody near to
// ask, once all of them are lost together. But it uses a far one as often as any
// other; so there is one for each data centre or region that may be lost at once,
// and none where the operators allow for no such loss.
void AddressChoice::appendFallbacks(const CallerPlace &caller, const Filter &isNear,
                                    std::vector<const AddressPlace *> &chosen) const
{
    const bool isOfRegions = mLosses.regions > 0;
    const std::size_t wanted = std::max(mLosses.dataCentres, mLosses.regions);
    const auto part = [isOfRegions](const AddressPlace &place) -> const std::string & {
        return isOfRegions ? place.region : place.dataCentre;
    };
    std::set<std::string> covered{isOfRegions ? caller.region : caller.dataCentre};
    auto far = ordered(living([&](const AddressPlace &place) { return !isNear(place); }));
    const auto isHeard
        = [](const AddressPlace *place) { return place->standing == GatewayStanding::Heard; };
    std::stable_partition(far.begin(), far.end(), isHeard);
    chosen.resize(std::min(chosen.size(), sMostAddresses - std::min(wanted, sMostAddresses)));
    for (const AddressPlace *place : far) {
        if (covered.size() <= wanted && covered.insert(part(*place)).second) {
            chosen.push_back(place);
        }
    }
}

} // namespace Loom
