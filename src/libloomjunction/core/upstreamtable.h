/*
 * upstreamtable.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** State of one upstream box: the last report of its agent, corrected by this gateway's calls. */
struct Upstream
{
    std::string box;
    std::string dataCentre;
    std::string service;
    std::uint64_t incarnation = 0;
    std::set<std::string, std::less<>> versions; ///< completely loaded, according to the agent
    std::uint32_t capacity = 1;
    std::uint32_t reportedInFlight = 0; ///< of all gateways, at the last report
    std::uint32_t ownInFlightAtReport = 0; ///< calls of this gateway at the last report
    std::uint32_t ownInFlight = 0;
    bool isConnected = false;
    bool isLeaving = false; ///< stays set for this incarnation
    bool isUpstreamAlive = false; ///< the engine or service of the agent responds
    bool isListedLeaving = false; ///< the platform lists it as leaving
    Instant lastReportAt;
    Instant avoidedUntil; ///< after a failure; used only if no other is left

    /** Calls in flight: the last report, corrected by the calls of this gateway since then. */
    std::uint32_t estimatedInFlight() const;
    bool isUsable(Instant now) const;
};

/** Policy by which the upstream of a request is chosen. */
enum class RoutePolicy : std::uint8_t
{
    Random,
    LeastInFlight,
    PrefixAffinity
};

/** Requirements of a request on its upstream. */
struct RouteQuery
{
    std::string_view service;
    std::string_view version; ///< empty for services without a model
    std::string_view prefix; ///< start of the prompt, may be empty
    std::string_view dataCentre; ///< of this gateway
    std::span<const std::string> excluded;
    std::uint64_t random = 0;
};

/** Status report of an agent, decoded from the wire message. */
struct UpstreamReport
{
    std::uint64_t incarnation = 0;
    std::vector<std::string> versions;
    std::uint32_t inFlight = 0;
    std::uint32_t capacity = 1;
    bool isLeaving = false;
    bool isUpstreamAlive = false;
};

/**
 * All upstreams that this gateway may route to; chooses among them. Owned by the routing
 * service.
 */
class UpstreamTable
{
public:
    explicit UpstreamTable(RoutePolicy policy = RoutePolicy::PrefixAffinity)
        : mPolicy(policy)
    {
    }

    void setPolicy(RoutePolicy policy) { mPolicy = policy; }

    /** Updates @p box from the platform's list, or adds it. */
    void updateListed(std::string_view box, std::string_view dataCentre, std::string_view service,
                      bool isLeaving);
    void remove(std::string_view box);

    void report(std::string_view box, const UpstreamReport &report, Instant now);
    void disconnected(std::string_view box);
    void callStarted(std::string_view box);
    void callEnded(std::string_view box);
    /** Prefers other boxes until @p until, e.g. after a connection to @p box broke. */
    void avoid(std::string_view box, Instant until);

    /** Returns the box to use, or nothing if none is eligible. */
    std::optional<std::string> choose(const RouteQuery &query, Instant now) const;

    const Upstream *find(std::string_view box) const;
    std::vector<const Upstream *> forService(std::string_view service) const;
    const std::map<std::string, Upstream, std::less<>> &all() const { return mUpstreams; }

    /** Number of usable upstreams of @p service that have loaded @p version (any if empty). */
    std::size_t countReady(std::string_view service, std::string_view version, Instant now) const;
    /** Sum of the capacities of the usable upstreams of @p service. */
    std::uint32_t capacity(std::string_view service, Instant now) const;

    /** An upstream whose agent has not reported for this long gets no new requests. */
    static constexpr Milliseconds sReportTimeout{3'000};

private:
    std::vector<const Upstream *> candidates(const RouteQuery &query, Instant now) const;
    const Upstream *byAffinity(std::span<const Upstream *const> from,
                               const RouteQuery &query) const;
    static const Upstream *lessLoadedOfTwo(std::span<const Upstream *const> from,
                                           const RouteQuery &query);

    RoutePolicy mPolicy;
    std::map<std::string, Upstream, std::less<>> mUpstreams;
};

} // namespace Loom
