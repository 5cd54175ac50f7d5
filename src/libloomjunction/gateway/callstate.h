/*
 * callstate.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "clock.h"
#include "http.h"
#include "membersettings.h"
#include "ports.h"
#include "routetable.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Loom {

class OperatorConfigService;
class MemberService;
class Metrics;
class QuarantineService;
class ReplicaService;

/** The settings and services that all calls of one gateway share. */
struct CallParts
{
    const MemberSettings &settings;
    CallPort &calls;
    OperatorConfigService &config;
    ReplicaService &replicas;
    QuarantineService &quarantine;
    MemberService &members;
    Metrics &metrics;
};

/**
 * State of one caller's request that its attempts at replicas share. A GatewayCall owns it
 * for as long as the request is in progress.
 */
struct CallState
{
    CallParts parts;
    HttpExchange &exchange;
    RouteTablePtr table; ///< current when the request arrived; owns the route and the service
    const Route *route = nullptr;
    const ServiceConfig *service = nullptr;
    std::string serviceName;
    CallerFields caller;
    std::string account;
    Instant deadline; ///< the earlier of the caller's deadline and the route's timeout
    bool isCallerGone = false;
    bool isTimedOut = false;
    bool isHeadSent = false;
    std::optional<std::uint64_t> lastEvent; ///< id of the last event that was sent to the caller

    Milliseconds timeLeft() const
    {
        return std::chrono::duration_cast<Milliseconds>(deadline - now());
    }
    /**
     * The regions that may serve the request by @p current, the configuration in force, which the
     * result views.
     */
    AllowedRegions allowedRegions(const RouteTable &current) const
    {
        if (!current.hasAllowedRegions() && !table->hasAllowedRegions()) {
            return {};
        }
        AllowedRegions regions;
        const Route *currentRoute = current.match(caller.host, exchange.request().path());
        regions.route = (currentRoute == nullptr ? *route : *currentRoute).allowedRegions;
        if (!account.empty()) {
            const ClientAccount *holder = current.accountForKey(caller.key);
            holder = holder == nullptr ? table->accountForKey(caller.key) : holder;
            regions.account = holder->allowedRegions;
        }
        return regions;
    }
    bool isForEngine() const { return service != nullptr && service->engine; }
};

/** With less time left, a response would arrive too late, so no attempt is started. */
inline constexpr Milliseconds sMinTimeLeft{20};

} // namespace Loom
