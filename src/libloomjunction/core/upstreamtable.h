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

/** One upstream box as an entry sees it: what its agent said, corrected by our own calls. */
struct Upstream
{
    std::string box;
    std::string dataCentre;
    std::string service;
    std::uint64_t incarnation = 0;
    std::set<std::string, std::less<>> versions; ///< loaded whole, as the agent announced
    std::uint32_t capacity = 1;
    std::uint32_t reportedInFlight = 0; ///< of all entries, when the agent last spoke
    std::uint32_t ownInFlightAtReport = 0; ///< our share of reportedInFlight
    std::uint32_t ownInFlight = 0;
    bool isConnected = false;
    bool isLeaving = false; ///< final for this incarnation
    bool isUpstreamAlive = false; ///< the engine or service behind the agent answers
    bool isListedLeaving = false; ///< the platform's list says so
    Instant lastReportAt;
    Instant avoidedUntil; ///< after a failure, unless nothing else is left

    /** In-flight calls: the lagging report corrected by what we did since. */
    std::uint32_t estimatedInFlight() const;
    bool isUsable(Instant now) const;
};

/** How a request's upstream is chosen. */
enum class RoutePolicy : std::uint8_t
{
    Random,
    LeastInFlight,
    PrefixAffinity
};

/** What a request needs of an upstream. */
struct RouteQuery
{
    std::string_view service;
    std::string_view version; ///< empty for plain services
    std::string_view prefix; ///< start of the prompt; empty for none
    std::string_view dataCentre; ///< of the entry
    std::span<const std::string> excluded;
    std::uint64_t random = 0;
};

/** Statuses an agent pushes; a plain-value twin of the wire message. */
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
 * All upstreams that this entry may route to, and the choice among them.
 * Owned by the routing service.
 */
class UpstreamTable
{
public:
    explicit UpstreamTable(RoutePolicy policy = RoutePolicy::PrefixAffinity)
        : mPolicy(policy)
    {
    }

    void setPolicy(RoutePolicy policy) { mPolicy = policy; }

    /** The platform's list names @p box; creates it where it is new. */
    void updateListed(std::string_view box, std::string_view dataCentre, std::string_view service,
                      bool isLeaving);
    void remove(std::string_view box);

    void report(std::string_view box, const UpstreamReport &report, Instant now);
    void disconnected(std::string_view box);
    void callStarted(std::string_view box);
    void callEnded(std::string_view box);
    /** Keeps requests away from @p box for a while, e.g. after a cut. */
    void avoid(std::string_view box, Instant until);

    /** The box to use, or nothing where none fits. */
    std::optional<std::string> choose(const RouteQuery &query, Instant now) const;

    const Upstream *find(std::string_view box) const;
    std::vector<const Upstream *> forService(std::string_view service) const;
    const std::map<std::string, Upstream, std::less<>> &all() const { return mUpstreams; }

    /** Usable upstreams of @p service that hold @p version (any when empty). */
    std::size_t countReady(std::string_view service, std::string_view version, Instant now) const;
    /** Sum of the capacities of the usable upstreams of @p service. */
    std::uint32_t capacity(std::string_view service, Instant now) const;

    /** An agent that is silent for this long gets no new work. */
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
