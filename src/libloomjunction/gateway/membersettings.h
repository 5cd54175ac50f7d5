/*
 * membersettings.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "addressselector.h"
#include "answerlimits.h"
#include "asynctypes.h"
#include "connectionbudget.h"
#include "instant.h"
#include "jsonlog.h"
#include "placement.h"
#include "sharedretrybudget.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

namespace Loom {

/** Settings of a gateway, which accepts requests and sends them to replicas directly. */
struct GatewaySettings
{
    Tcp::endpoint callers; ///< listening address for requests
    Tcp::endpoint readiness; ///< listening address for readiness checks of the platform
    Tcp::endpoint addresses; ///< listening address at which callers query gateways to use
    AnswerLimits answers; ///< for answers of replicas

    bool operator==(const GatewaySettings &) const = default;
};

/** Settings of a stager: an agent on the box of an engine, outside the request path. */
struct StagerSettings
{
    std::string service;
    Tcp::endpoint engine;
    double linkMbit = 0; ///< bandwidth of this box in each direction; 0: unlimited

    bool operator==(const StagerSettings &) const = default;
};

/** Time limits and retry limits that the system guarantees to the platform's users. */
struct MemberBounds
{
    Milliseconds drainTimeout{2'000}; ///< until a draining replica gets no more requests
    Milliseconds shutdownTimeout{8'000}; ///< from SIGTERM to the end of the process
    Milliseconds addressTtl{5'000}; ///< longest time for which callers cache an address list
    Milliseconds weightsGracePeriod{8'000}; ///< how long requests may start on older weights
    Milliseconds maxConfigAge{2'000}; ///< an older configuration refuses no request
    RetryBounds retries;
};

/** Settings of a gateway or stager, which serve requests without an agent in their path. */
struct MemberSettings
{
    std::string box;
    std::string dataCentre;
    std::string region;
    DataCentreRegions regions; ///< of other data centres; only a gateway needs them
    Tcp::endpoint peers; ///< listening address for other processes of the system
    std::vector<Tcp::endpoint> seeds; ///< peer addresses of gateways; may be outdated
    Tcp::endpoint store;
    std::optional<Tcp::endpoint> metrics;
    LogLevel logLevel = LogLevel::Info;
    MemberBounds bounds;
    ConnectionBounds connections; ///< of clients, over all listeners
    FailureTolerance failureTolerance;
    std::variant<GatewaySettings, StagerSettings> role;

    bool isGateway() const { return std::holds_alternative<GatewaySettings>(role); }
};

/** Names of the changed fields that a running process cannot apply without a restart. */
std::vector<std::string> fieldsRequiringRestart(const MemberSettings &running,
                                                const MemberSettings &next);

/** Reads and validates a settings file; the error lists each problem on a line of its own. */
tl::expected<MemberSettings, std::string> loadMemberSettings(const std::string &path);

/** Whether the settings file at @p path has the role of a gateway or stager. */
bool hasMemberRole(const std::string &path);

} // namespace Loom
