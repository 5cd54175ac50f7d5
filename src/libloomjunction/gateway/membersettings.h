/*
 * membersettings.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "addressselector.h"
#include "asynctypes.h"
#include "instant.h"
#include "jsonlog.h"
#include "sharedretrybudget.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

namespace Loom {

/** Settings of a gateway: an entry that sends requests to replicas directly. */
struct GatewaySettings
{
    Tcp::endpoint callers; ///< where requests come in
    Tcp::endpoint readiness; ///< where the platform asks whether it is ready
    Tcp::endpoint addresses; ///< where callers ask which entries to use

    bool operator==(const GatewaySettings &) const = default;
};

/** Settings of a stager: an agent beside an engine, out of the requests' path. */
struct StagerSettings
{
    std::string service;
    Tcp::endpoint engine;
    double linkMbit = 0; ///< of this box, each way; 0: no limit

    bool operator==(const StagerSettings &) const = default;
};

/** Bounds that the platform's users hold the system to. */
struct MemberBounds
{
    Milliseconds drainTimeout{2'000}; ///< a draining replica gets no more after it
    Milliseconds shutdownTimeout{8'000}; ///< from SIGTERM to the end of the process
    Milliseconds addressTtl{5'000}; ///< most that callers keep an address answer
    Milliseconds weightsGracePeriod{8'000}; ///< older weights begin no request after it
    Milliseconds maxConfigAge{2'000}; ///< an older configuration refuses nothing after it
    RetryBounds retries;
};

/** Settings of a process that works without an agent in the requests' path. */
struct MemberSettings
{
    std::string box;
    std::string dataCentre;
    std::string region;
    Tcp::endpoint peers; ///< where other processes of the system reach this one
    std::vector<Tcp::endpoint> seeds; ///< entries' peer addresses; may be stale
    Tcp::endpoint store;
    std::optional<Tcp::endpoint> metrics;
    LogLevel logLevel = LogLevel::Info;
    MemberBounds bounds;
    FailureTolerance failureTolerance;
    std::variant<GatewaySettings, StagerSettings> role;

    bool isGateway() const { return std::holds_alternative<GatewaySettings>(role); }
};

/** Names of the fields that differ and that a running process cannot take up. */
std::vector<std::string> fieldsRequiringRestart(const MemberSettings &running,
                                                const MemberSettings &next);

/** Reads and checks a settings file; the error lists every problem, a line each. */
tl::expected<MemberSettings, std::string> loadMemberSettings(const std::string &path);

/** Whether the file names one of the roles of MemberSettings. */
bool hasMemberRole(const std::string &path);

} // namespace Loom
