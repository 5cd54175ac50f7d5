/*
 * placement.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace Loom {

/** The regions that may serve a request, by its route and its client account. */
struct AllowedRegions
{
    std::span<const std::string> route; ///< empty: all regions
    std::span<const std::string> account; ///< empty: all regions

    bool isRestricted() const { return !route.empty() || !account.empty(); }
    /** Whether both lists allow @p region. An unknown region, that is an empty one, is allowed
        only if there is no list. */
    bool allows(std::string_view region) const
    {
        return isListed(route, region) && isListed(account, region);
    }
    /** Whether the lists have no region in common. */
    bool isContradictory() const
    {
        return isRestricted()
            && std::ranges::none_of(route.empty() ? account : route,
                                    [this](const std::string &region) { return allows(region); });
    }

private:
    static bool isListed(std::span<const std::string> regions, std::string_view region)
    {
        return regions.empty()
            || (!region.empty() && std::ranges::find(regions, region) != regions.end());
    }
};

/** Regions by data centre. */
using DataCentreRegions = std::map<std::string, std::string, std::less<>>;

/** Knows the region of each data centre, and which data centres are evacuated. */
class Placement
{
public:
    void setRegions(DataCentreRegions regions) { mRegions = std::move(regions); }
    void setEvacuated(std::string_view dataCentre, bool isEvacuated);

    /** Returns the region of @p dataCentre; empty if it is unknown. */
    std::string_view regionOf(std::string_view dataCentre) const;
    bool isEvacuated(std::string_view dataCentre) const { return mEvacuated.contains(dataCentre); }
    std::size_t evacuatedCount() const { return mEvacuated.size(); }

private:
    DataCentreRegions mRegions;
    std::set<std::string, std::less<>> mEvacuated;
};

} // namespace Loom
