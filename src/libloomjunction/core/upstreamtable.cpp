/*
 * upstreamtable.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "upstreamtable.h"

#include "rendezvous.h"

#include <algorithm>
#include <cmath>

namespace Loom {

namespace {

// Maximum load of an upstream relative to the mean, beyond which the next one in rendezvous
// order is used (consistent hashing with bounded loads).
constexpr double sLoadBound = 1.25;
// Difference in relative load from which on an upstream of another data centre is worth its
// higher latency.
constexpr double sRemotePenalty = 0.15;

double relativeLoad(const Upstream &upstream)
{
    const double capacity = std::max<std::uint32_t>(upstream.capacity, 1);
    return upstream.estimatedInFlight() / capacity;
}

double cost(const Upstream &upstream, const RouteQuery &query)
{
    const bool isRemote = upstream.dataCentre != query.dataCentre;
    return relativeLoad(upstream) + (isRemote ? sRemotePenalty : 0.0);
}

} // namespace

std::uint32_t Upstream::estimatedInFlight() const
{
    const std::uint32_t others
        = reportedInFlight > ownInFlightAtReport ? reportedInFlight - ownInFlightAtReport : 0;
    return others + ownInFlight;
}

bool Upstream::isUsable(Instant now) const
{
    const bool heard = now - lastReportAt <= UpstreamTable::sReportTimeout;
    return isConnected && isUpstreamAlive && !isLeaving && !isListedLeaving && heard;
}

void UpstreamTable::updateListed(std::string_view box, std::string_view dataCentre,
                                 std::string_view service, bool isLeaving)
{
    Upstream &upstream = mUpstreams[std::string(box)];
    upstream.box = box;
    upstream.dataCentre = dataCentre;
    upstream.service = service;
    upstream.isListedLeaving = isLeaving;
}

void UpstreamTable::remove(std::string_view box)
{
    const auto it = mUpstreams.find(box);
    if (it != mUpstreams.end()) {
        mUpstreams.erase(it);
    }
}

void UpstreamTable::report(std::string_view box, const UpstreamReport &report, Instant now)
{
    const auto it = mUpstreams.find(box);
    if (it == mUpstreams.end()) {
        return;
    }
    Upstream &upstream = it->second;
    const bool isSameIncarnation = upstream.incarnation == report.incarnation;
    upstream.isLeaving = report.isLeaving || (isSameIncarnation && upstream.isLeaving);
    upstream.incarnation = report.incarnation;
    upstream.versions = {report.versions.begin(), report.versions.end()};
    upstream.capacity = report.capacity;
    upstream.reportedInFlight = report.inFlight;
    upstream.ownInFlightAtReport = upstream.ownInFlight;
    upstream.isUpstreamAlive = report.isUpstreamAlive;
    upstream.isConnected = true;
    upstream.lastReportAt = now;
}

void UpstreamTable::disconnected(std::string_view box)
{
    const auto it = mUpstreams.find(box);
    if (it != mUpstreams.end()) {
        it->second.isConnected = false;
    }
}

void UpstreamTable::callStarted(std::string_view box)
{
    const auto it = mUpstreams.find(box);
    if (it != mUpstreams.end()) {
        ++it->second.ownInFlight;
    }
}

void UpstreamTable::callEnded(std::string_view box)
{
    const auto it = mUpstreams.find(box);
    if (it != mUpstreams.end() && it->second.ownInFlight > 0) {
        --it->second.ownInFlight;
    }
}

void UpstreamTable::avoid(std::string_view box, Instant until)
{
    const auto it = mUpstreams.find(box);
    if (it != mUpstreams.end()) {
        it->second.avoidedUntil = std::max(it->second.avoidedUntil, until);
    }
}

std::optional<std::string> UpstreamTable::choose(const RouteQuery &query, Instant now) const
{
    const std::vector<const Upstream *> from = candidates(query, now);
    if (from.empty()) {
        return std::nullopt;
    }
    switch (mPolicy) {
    case RoutePolicy::Random:
        return from[query.random % from.size()]->box;
    case RoutePolicy::LeastInFlight:
        return lessLoadedOfTwo(from, query)->box;
    case RoutePolicy::PrefixAffinity:
        return byAffinity(from, query)->box;
    }
    return std::nullopt;
}

std::vector<const Upstream *> UpstreamTable::candidates(const RouteQuery &query, Instant now) const
{
    std::vector<const Upstream *> preferred;
    std::vector<const Upstream *> avoided;
    for (const auto &[box, upstream] : mUpstreams) {
        const bool isEligible = upstream.service == query.service && upstream.isUsable(now)
            && (query.version.empty() || upstream.versions.contains(query.version));
        if (!isEligible || std::ranges::find(query.excluded, box) != query.excluded.end()) {
            continue;
        }
        (upstream.avoidedUntil > now ? avoided : preferred).push_back(&upstream);
    }
    return preferred.empty() ? avoided : preferred;
}

const Upstream *UpstreamTable::byAffinity(std::span<const Upstream *const> from,
                                          const RouteQuery &query) const
{
    if (query.prefix.empty()) {
        return lessLoadedOfTwo(from, query);
    }
    double total = 0;
    std::vector<std::string> names;
    names.reserve(from.size());
    for (const Upstream *upstream : from) {
        total += upstream->estimatedInFlight();
        names.push_back(upstream->box);
    }
    const double mean = (total + 1) / static_cast<double>(from.size());
    const auto bound = static_cast<std::uint32_t>(std::ceil(mean * sLoadBound));
    for (const std::size_t index : rendezvousOrder(query.prefix, names, names.size())) {
        if (from[index]->estimatedInFlight() < bound) {
            return from[index];
        }
    }
    return lessLoadedOfTwo(from, query);
}

const Upstream *UpstreamTable::lessLoadedOfTwo(std::span<const Upstream *const> from,
                                               const RouteQuery &query)
{
    // Power of two choices. Reports lag, so with a global minimum all gateways would send
    // to the same upstream at once and overload it.
    const std::size_t count = from.size();
    const std::size_t first = query.random % count;
    const std::size_t second
        = (first + 1 + (query.random / count) % std::max<std::size_t>(count - 1, 1)) % count;
    const Upstream *a = from[first];
    const Upstream *b = from[second];
    return cost(*b, query) < cost(*a, query) ? b : a;
}

const Upstream *UpstreamTable::find(std::string_view box) const
{
    const auto it = mUpstreams.find(box);
    return it == mUpstreams.end() ? nullptr : &it->second;
}

std::vector<const Upstream *> UpstreamTable::forService(std::string_view service) const
{
    std::vector<const Upstream *> found;
    for (const auto &[box, upstream] : mUpstreams) {
        if (upstream.service == service) {
            found.push_back(&upstream);
        }
    }
    return found;
}

std::size_t UpstreamTable::countReady(std::string_view service, std::string_view version,
                                      Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(mUpstreams, [&](const auto &pair) {
        const Upstream &upstream = pair.second;
        return upstream.service == service && upstream.isUsable(now)
            && (version.empty() || upstream.versions.contains(version));
    }));
}

std::uint32_t UpstreamTable::capacity(std::string_view service, Instant now) const
{
    std::uint32_t sum = 0;
    for (const auto &[box, upstream] : mUpstreams) {
        if (upstream.service == service && upstream.isUsable(now)) {
            sum += upstream.capacity;
        }
    }
    return sum;
}

} // namespace Loom
