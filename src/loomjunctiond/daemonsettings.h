/*
 * daemonsettings.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"
#include "chunkplan.h"
#include "instant.h"
#include "jsonlog.h"
#include "upstreamtable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

namespace Loom {

/** Settings of the entry role: callers' and operators' side. */
struct EntrySettings
{
    Tcp::endpoint callers; ///< where callers reach this entry
    Tcp::endpoint operators; ///< where loomctl reaches it
    std::uint32_t linksPerAgent; ///< entries that hold a link to one agent
    std::uint64_t snapshotChanges;
    RoutePolicy routing = RoutePolicy::PrefixAffinity;
};

/** Settings of the agent role: one upstream box. */
struct AgentSettings
{
    std::string service;
    Tcp::endpoint upstream; ///< the engine or plain service of this box
    bool isEngine = true;
    bool engineChecksFence = false;
    std::uint32_t capacity = 16; ///< calls handed to the upstream at once
    std::int64_t linkMbit = 0; ///< of this box's link, each way; 0: no limit
    std::uint32_t weightCacheMib = 2048;
    FetchPolicy fetch = FetchPolicy::Swarm;
    std::optional<Tcp::endpoint> operators; ///< where metrics are read; nothing: nowhere
};

/** The daemon's settings file. */
struct DaemonSettings
{
    std::string box;
    std::string dataCentre;
    std::string region;
    Tcp::endpoint peers; ///< where other processes of the system reach this one
    Tcp::endpoint log;
    Tcp::endpoint list;
    Tcp::endpoint origin;
    LogLevel logLevel = LogLevel::Info;
    std::variant<EntrySettings, AgentSettings> role;
};

/** Reads and checks a settings file; the error lists every problem, a line each. */
tl::expected<DaemonSettings, std::string> loadDaemonSettings(const std::string &path);

} // namespace Loom
