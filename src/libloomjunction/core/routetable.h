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

/** A service that gets a part of a route's requests. */
struct RouteTarget
{
    std::string service;
    std::uint32_t weight = 1;
};

/** How often a request of a route may run. */
enum class RepeatPolicy : std::uint8_t
{
    AtMostOnce, ///< at most once a try
    Repeatable,
};

/** One route of the operators' configuration. */
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    std::vector<RouteTarget> targets;
    RepeatPolicy repeat = RepeatPolicy::AtMostOnce;
    bool isStream = false;
    bool isResumable = false; ///< a broken stream may go on at another replica
    bool isPublic = false; ///< needs no key of a client account
    Milliseconds timeout{0}; ///< longest time a request may be held
    Milliseconds goal{0}; ///< time to an answer, or a first event, that counts as good
    Milliseconds pauseGoal{0}; ///< longest pause between events that counts as good
    std::uint32_t attempts = 1; ///< replicas that one request may be sent to
    std::uint32_t priority = 5; ///< zero is the most urgent

    bool mayRepeat() const { return repeat == RepeatPolicy::Repeatable || isResumable; }
};

/** What the operators say of a model engine; times of its passes. */
struct EngineProfile
{
    std::uint32_t slots = 1;
    double stepMs = 0; ///< one token step of a pass
    double perSequenceMs = 0; ///< added to a step for each request that writes
    double contextMsPer1kTokens = 0; ///< added for each 1,000 tokens of its context
    double prefillTokensPerMs = 0; ///< prompt tokens read; zero: unknown
    std::uint32_t stepsPerPass = 1;
    std::uint64_t kvCacheTokens = 0;
    double meanPromptTokens = 0; ///< mean tokens of a prompt
    double meanAnswerTokens = 0; ///< mean tokens of an answer
    std::uint32_t layers = 1;
    std::vector<std::string> models;
};

/** Where weights come from. */
struct OriginConfig
{
    std::string address; ///< IP:PORT
    double linkMbit = 0;
};

/** One service of the operators' configuration. */
struct ServiceConfig
{
    std::string name;
    std::uint32_t maxConnections = 0; ///< of one replica, from all boxes; zero: unknown
    std::optional<EngineProfile> engine;
    std::optional<OriginConfig> origin;
};

/** What a caller may send. Milliseconds and bytes. */
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
};

/** A whole configuration as the operators accepted it. */
struct RouteConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceConfig> services;
    std::vector<ClientAccount> accounts; ///< empty: no keys are asked for
    RequestLimits limits;
};

/** An immutable configuration, indexed for requests. Shared by the requests under way. */
class RouteTable
{
public:
    explicit RouteTable(RouteConfig config);

    /** The route of @p host with the longest prefix of @p path; null where there is none. */
    const Route *match(std::string_view host, std::string_view path) const;
    /** The account that holds @p key; null where none does. */
    const ClientAccount *accountForKey(std::string_view key) const;
    const ServiceConfig *service(std::string_view name) const;
    /** The service with an origin of weights; null where there is none. */
    const OriginConfig *origin() const;

    const RouteConfig &config() const { return mConfig; }
    std::uint64_t version() const { return mConfig.version; }

private:
    RouteConfig mConfig;
    std::unordered_map<std::string, const Route *> mRoutes; ///< by host, blank and prefix
    std::unordered_map<std::string, const ClientAccount *> mKeys;
    std::unordered_map<std::string, const ServiceConfig *> mServices;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/** Picks a target by weight; @p random is any number. Null on a route without targets. */
const RouteTarget *pickTarget(const Route &route, std::uint64_t random);

} // namespace Loom
