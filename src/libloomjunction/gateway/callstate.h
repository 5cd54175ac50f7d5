/*
 * callstate.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "clock.h"
#include "directsettings.h"
#include "http.h"
#include "ports.h"
#include "routetable.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Loom {

class DirectConfig;
class MemberService;
class Metrics;
class QuarantineService;
class ReplicaService;

/** What the calls of one gateway share. */
struct CallParts
{
    const DirectSettings &settings;
    CallPort &calls;
    DirectConfig &config;
    ReplicaService &replicas;
    QuarantineService &quarantine;
    MemberService &members;
    Metrics &metrics;
};

/** One request of a caller while it is under way, as its tries see it. Owned by the call. */
struct CallState
{
    CallParts parts;
    HttpExchange &exchange;
    RouteTablePtr table; ///< in force when the request came; holds the route and the service
    const Route *route = nullptr;
    const ServiceConfig *service = nullptr;
    std::string serviceName;
    CallerFields caller;
    std::string account;
    Instant deadline; ///< the caller's time and the route's, whichever ends first
    bool isCallerGone = false;
    bool isTimeOver = false;
    bool isHeadSent = false;
    std::optional<std::uint64_t> lastEvent; ///< the last one that the caller got

    Milliseconds timeLeft() const
    {
        return std::chrono::duration_cast<Milliseconds>(deadline - now());
    }
    bool isForEngine() const { return service != nullptr && service->engine; }
};

/** With less than this left, an answer would come too late to be sent for. */
inline constexpr Milliseconds sLeastTime{20};

} // namespace Loom
