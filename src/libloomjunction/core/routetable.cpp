/*
 * routetable.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "routetable.h"

#include <algorithm>

namespace Loom {

namespace {

// A space separates the parts, because neither a host nor a path can contain one.
std::string routeKey(std::string_view host, std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + 1 + prefix.size());
    key += host;
    key += ' ';
    key += prefix;
    return key;
}

} // namespace

RouteTable::RouteTable(RouteConfig config)
    : mConfig(std::move(config))
{
    for (const Route &route : mConfig.routes) {
        mRoutes.emplace(routeKey(route.host, route.pathPrefix), &route);
        addRegions(route);
    }
    for (const ClientAccount &account : mConfig.accounts) {
        for (const std::string &key : account.keys) {
            mKeys.emplace(key, &account);
        }
        mHasAllowedRegions = mHasAllowedRegions || !account.allowedRegions.empty();
    }
    for (const ServiceConfig &service : mConfig.services) {
        mServices.emplace(service.name, &service);
    }
}

void RouteTable::addRegions(const Route &route)
{
    if (route.allowedRegions.empty()) {
        return;
    }
    mHasAllowedRegions = true;
    const auto [it, isFirst] = mRegionsByHost.try_emplace(route.host, route.allowedRegions);
    if (!isFirst) {
        std::erase_if(it->second, [&](const std::string &region) {
            return std::ranges::find(route.allowedRegions, region) == route.allowedRegions.end();
        });
    }
}

const std::vector<std::string> *RouteTable::regionsForHost(std::string_view host) const
{
    const auto it = mRegionsByHost.find(std::string(host));
    return it == mRegionsByHost.end() ? nullptr : &it->second;
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    // Prefixes end with a slash, so a prefix can only end at a slash of the path.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto it = mRoutes.find(routeKey(host, path.substr(0, slash + 1)));
        if (it != mRoutes.end()) {
            return it->second;
        }
    }
    return nullptr;
}

const ClientAccount *RouteTable::accountForKey(std::string_view key) const
{
    const auto it = mKeys.find(std::string(key));
    return it == mKeys.end() ? nullptr : it->second;
}

const ServiceConfig *RouteTable::service(std::string_view name) const
{
    const auto it = mServices.find(std::string(name));
    return it == mServices.end() ? nullptr : it->second;
}

const OriginConfig *RouteTable::origin() const
{
    for (const ServiceConfig &service : mConfig.services) {
        if (service.origin) {
            return &*service.origin;
        }
    }
    return nullptr;
}

const RouteTarget *pickTarget(const Route &route, std::uint64_t random)
{
    std::uint64_t total = 0;
    for (const RouteTarget &target : route.targets) {
        total += target.weight;
    }
    if (total == 0) {
        return route.targets.empty() ? nullptr : &route.targets.front();
    }
    std::uint64_t left = random % total;
    for (const RouteTarget &target : route.targets) {
        if (left < target.weight) {
            return &target;
        }
        left -= target.weight;
    }
    return &route.targets.back();
}

} // namespace Loom
