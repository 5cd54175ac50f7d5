/*
 * daemonsettings.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "daemonsettings.h"

#include "joinedtext.h"
#include "settingsfile.h"

namespace Loom {

namespace {

constexpr std::int64_t sMostLinks = 64;
constexpr std::int64_t sMostCapacity = 100'000;
constexpr std::int64_t sMostMbit = 1'000'000;
constexpr std::int64_t sMostCacheMib = 1'048'576;
constexpr std::int64_t sMostChanges = 1'000'000;

RoutePolicy readRouting(SettingsReader &reader)
{
    if (!reader.has("routing")) {
        return RoutePolicy::PrefixAffinity;
    }
    const std::string name
        = reader.oneOf("routing", {"random", "least-in-flight", "prefix-affinity"});
    if (name == "random") {
        return RoutePolicy::Random;
    }
    return name == "least-in-flight" ? RoutePolicy::LeastInFlight : RoutePolicy::PrefixAffinity;
}

EntrySettings readEntry(SettingsReader reader)
{
    EntrySettings entry{};
    entry.callers = reader.endpoint("callers");
    entry.operators = reader.endpoint("operators");
    entry.linksPerAgent
        = static_cast<std::uint32_t>(reader.integer("linksPerAgent", 1, sMostLinks, 7));
    entry.snapshotChanges
        = static_cast<std::uint64_t>(reader.integer("snapshotChanges", 1, sMostChanges, 200));
    entry.routing = readRouting(reader);
    reader.refuseUnknown();
    return entry;
}

FetchPolicy readFetch(SettingsReader &reader)
{
    if (!reader.has("fetch")) {
        return FetchPolicy::Swarm;
    }
    const std::string name = reader.oneOf("fetch", {"swarm", "origin", "chain"});
    if (name == "origin") {
        return FetchPolicy::OriginOnly;
    }
    return name == "chain" ? FetchPolicy::Chain : FetchPolicy::Swarm;
}

AgentSettings readAgent(SettingsReader reader)
{
    AgentSettings agent;
    agent.service = reader.text("service");
    agent.upstream = reader.endpoint("upstream");
    agent.isEngine = reader.oneOf("kind", {"engine", "plain"}) == "engine";
    agent.engineChecksFence = reader.boolean("engineChecksFence", false);
    agent.capacity = static_cast<std::uint32_t>(reader.integer("capacity", 1, sMostCapacity, 16));
    agent.linkMbit = reader.integer("linkMbit", 0, sMostMbit, 0);
    agent.weightCacheMib
        = static_cast<std::uint32_t>(reader.integer("weightCacheMib", 1, sMostCacheMib, 2048));
    agent.fetch = readFetch(reader);
    if (reader.has("operators")) {
        agent.operators = reader.endpoint("operators");
    }
    reader.refuseUnknown();
    return agent;
}

} // namespace

tl::expected<DaemonSettings, std::string> loadDaemonSettings(const std::string &path)
{
    const auto object = SettingsReader::load(path);
    if (!object) {
        return tl::unexpected(object.error());
    }
    std::vector<std::string> problems;
    SettingsReader reader(path, "", *object, problems);
    DaemonSettings settings;
    settings.box = reader.text("box");
    settings.dataCentre = reader.text("dataCentre");
    settings.region = reader.text("region");
    settings.peers = reader.endpoint("peers");
    const std::string level = reader.text("logLevel", "info");
    settings.logLevel = logLevel(level);

    SettingsReader platform = reader.child("platform");
    settings.log = platform.endpoint("log");
    settings.list = platform.endpoint("list");
    settings.origin = platform.endpoint("origin");
    platform.refuseUnknown();

    const std::string role = reader.oneOf("role", {"entry", "agent"});
    if (role == "entry") {
        settings.role = readEntry(reader.child("entry"));
    } else if (role == "agent") {
        settings.role = readAgent(reader.child("agent"));
    }
    reader.refuseUnknown();
    if (!problems.empty()) {
        return tl::unexpected(joinedText(problems, "\n"));
    }
    return settings;
}

} // namespace Loom
