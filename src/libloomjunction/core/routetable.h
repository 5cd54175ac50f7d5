/*
 * routetable.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Loom {

/** A service that receives a weighted part of a route's requests. */
struct RouteTarget
{
    std::string service;
    std::uint32_t weight = 1;
};

/** Whether a request of a route may run more than once. */
enum class RepeatPolicy : std::uint8_t
{
    AtMostOnce, ///< each try of the caller runs at most once
    Repeatable,
};

/** One route of the configuration. */
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    std::vector<RouteTarget> targets;
    RepeatPolicy repeat = RepeatPolicy::AtMostOnce;
    bool isStream = false;
    bool isResumable = false; ///< an interrupted stream may continue at another replica
    bool isPublic = false; ///< requests need no key of a client account
    Milliseconds timeout{0}; ///< maximum time that a request may take
    Milliseconds goal{0}; ///< an answer or first event within it counts as good
    Milliseconds pauseGoal{0}; ///< longest pause between events that counts as good
    std::uint32_t attempts = 1; ///< maximum number of replicas that a request is sent to
    std::uint32_t priority = 5; ///< zero is the most urgent
    std::vector<std::string> allowedRegions; ///< that may serve requests; empty: all

    bool mayRepeat() const { return repeat == RepeatPolicy::Repeatable || isResumable; }
};

/** Configured performance of a model engine. */
struct EngineProfile
{
    std::uint32_t slots = 1;
    double stepMs = 0; ///< duration of one token step of a pass
    double perSequenceMs = 0; ///< added to a step for each generating request
    double contextMsPer1kTokens = 0; ///< added to a step for each 1,000 tokens of context
    double prefillTokensPerMs = 0; ///< zero if unknown
    std::uint32_t stepsPerPass = 1;
    std::uint64_t kvCacheTokens = 0;
    double meanPromptTokens = 0;
    double meanAnswerTokens = 0;
    std::uint32_t layers = 1;
    std::vector<std::string> models;
    std::uint32_t chunkCount = 0; ///< chunks of the weights of one version; zero if unknown
    std::uint32_t chunkBytes = 0; ///< size of a chunk; zero if unknown
};

/** Origin of model weights. */
struct OriginConfig
{
    std::string address; ///< IP:PORT
    double linkMbit = 0;
};

/** One service of the configuration. */
struct ServiceConfig
{
    std::string name;
    std::uint32_t maxConnections = 0; ///< of one replica, from all boxes; zero if unknown
    std::optional<EngineProfile> engine;
    std::optional<OriginConfig> origin;
    /** Requests a second that a cold replica takes from all gateways together; zero: no limit. */
    double coldPerSecond = 0;
    std::vector<std::string> invalidColdFields; ///< names of fields that were ignored
};

/** Limits on the requests of callers. */
struct RequestLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = std::uint64_t{4} * 1024 * 1024;
    Milliseconds headerTimeout{3'000};
    Milliseconds idleTimeout{15'000};
};

struct ClientAccount
{
    std::string name;
    std::vector<std::string> keys;
    std::uint32_t priority = 5;
    std::vector<std::string> allowedRegions; ///< that may serve requests; empty: all
};

/** A complete configuration that was accepted. */
struct RouteConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceConfig> services;
    std::vector<ClientAccount> accounts; ///< if empty, requests need no key
    RequestLimits limits;
};

/** An immutable configuration with indexes for lookup. Shared by the running requests. */
class RouteTable
{
public:
    explicit RouteTable(RouteConfig config);

    /** Returns the route of @p host with the longest prefix of @p path, or null. */
    const Route *match(std::string_view host, std::string_view path) const;
    /** Returns the account that has @p key, or null. */
    const ClientAccount *accountForKey(std::string_view key) const;
    const ServiceConfig *service(std::string_view name) const;
    /** Returns the weight origin of the first service that has one, or null. */
    const OriginConfig *origin() const;
    /** Whether a route or an account may be served in some regions only. */
    bool hasAllowedRegions() const { return mHasAllowedRegions; }
    /**
     * Returns the regions that all routes of @p host which have a list of regions allow; null if
     * no route of the host has one.
     */
    const std::vector<std::string> *regionsForHost(std::string_view host) const;

    const RouteConfig &config() const { return mConfig; }
    std::uint64_t version() const { return mConfig.version; }

private:
    void addRegions(const Route &route);

    RouteConfig mConfig;
    std::unordered_map<std::string, const Route *> mRoutes; ///< by routeKey() of host and prefix
    std::unordered_map<std::string, const ClientAccount *> mKeys;
    std::unordered_map<std::string, const ServiceConfig *> mServices;
    std::unordered_map<std::string, std::vector<std::string>> mRegionsByHost;
    bool mHasAllowedRegions = false;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/** Picks a target by weight with the random number @p random; null if there are no targets. */
const RouteTarget *pickTarget(const Route &route, std::uint64_t random);

} // namespace Loom
