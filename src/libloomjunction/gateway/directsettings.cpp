/*
 * directsettings.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "directsettings.h"

#include "settingsfile.h"

#include <cmath>

namespace Loom {

namespace {

constexpr double sMostMbit = 1'000'000;
constexpr double sMostMilliseconds = 3'600'000;
constexpr double sMostSeconds = 3'600;
constexpr double sMostRatio = 10;
constexpr double sMostExtra = 1'000'000;
constexpr int sMostLost = 64;
constexpr double sMillisecondsPerSecond = 1'000;
constexpr std::string_view sGateway = "gateway";
constexpr std::string_view sStager = "stager";

// Platforms give bounds as real numbers, since they are worked out from sizes.
Milliseconds milliseconds(SettingsReader &reader, std::string_view field, Milliseconds standard)
{
    const auto usual = static_cast<double>(standard.count());
    return Milliseconds(std::llround(reader.real(field, 0, sMostMilliseconds, usual)));
}

Milliseconds seconds(SettingsReader &reader, std::string_view field, Milliseconds standard)
{
    const double usual = static_cast<double>(standard.count()) / sMillisecondsPerSecond;
    const double found = reader.real(field, 0, sMostSeconds, usual);
    return Milliseconds(std::llround(found * sMillisecondsPerSecond));
}

DirectBounds readBounds(SettingsReader reader)
{
    DirectBounds bounds;
    bounds.drainTime = milliseconds(reader, "drainMs", bounds.drainTime);
    bounds.stopTime = seconds(reader, "stopSeconds", bounds.stopTime);
    bounds.addressLifetime = seconds(reader, "addressLifetimeSeconds", bounds.addressLifetime);
    bounds.weightsTime = milliseconds(reader, "weightsMs", bounds.weightsTime);
    bounds.configTime = milliseconds(reader, "configMs", bounds.configTime);
    bounds.retries.window = seconds(reader, "retryWindowSeconds", bounds.retries.window);
    bounds.retries.ratio = reader.real("retryRatio", 0, sMostRatio, bounds.retries.ratio);
    bounds.retries.extra = reader.real("retryExtra", 0, sMostExtra, bounds.retries.extra);
    reader.refuseUnknown();
    return bounds;
}

FailureTolerance readLosses(SettingsReader reader)
{
    FailureTolerance losses;
    losses.dataCentres = static_cast<std::uint32_t>(reader.integer("dataCentres", 0, sMostLost, 0));
    losses.regions = static_cast<std::uint32_t>(reader.integer("regions", 0, sMostLost, 0));
    reader.refuseUnknown();
    return losses;
}

GatewaySettings readGateway(SettingsReader reader)
{
    GatewaySettings gateway;
    gateway.callers = reader.endpoint("callers");
    gateway.readiness = reader.endpoint("readiness");
    gateway.addresses = reader.endpoint("addresses");
    reader.refuseUnknown();
    return gateway;
}

StagerSettings readStager(SettingsReader reader)
{
    StagerSettings stager;
    stager.service = reader.text("service");
    stager.engine = reader.endpoint("engine");
    stager.linkMbit = reader.real("linkMbit", 0, sMostMbit, 0);
    reader.refuseUnknown();
    return stager;
}

} // namespace

tl::expected<DirectSettings, std::string> loadDirectSettings(const std::string &path)
{
    const auto object = SettingsReader::load(path);
    if (!object) {
        return tl::unexpected(object.error());
    }
    std::vector<std::string> problems;
    SettingsReader reader(path, "", *object, problems);
    DirectSettings settings;
    settings.box = reader.text("box");
    settings.dataCentre = reader.text("dataCentre");
    settings.region = reader.text("region");
    settings.peers = reader.endpoint("peers");
    settings.store = reader.endpoint("store");
    settings.seeds = reader.endpoints("seeds");
    settings.logLevel = logLevel(reader.text("logLevel", "info"));
    if (reader.has("metrics")) {
        settings.metrics = reader.endpoint("metrics");
    }
    if (reader.has("bounds")) {
        settings.bounds = readBounds(reader.child("bounds"));
    }
    if (reader.has("losses")) {
        settings.losses = readLosses(reader.child("losses"));
    }
    const std::string role = reader.oneOf("role", {sGateway, sStager});
    if (role == sGateway) {
        settings.role = readGateway(reader.child(sGateway));
    } else if (role == sStager) {
        settings.role = readStager(reader.child(sStager));
    }
    reader.refuseUnknown();
    if (!problems.empty()) {
        return tl::unexpected(joinProblems(problems));
    }
    return settings;
}

std::vector<std::string> fieldsForRestart(const DirectSettings &running, const DirectSettings &next)
{
    std::vector<std::string> fields;
    const auto note = [&](std::string_view field, bool isSame) {
        if (!isSame) {
            fields.emplace_back(field);
        }
    };
    note("box", running.box == next.box);
    note("dataCentre", running.dataCentre == next.dataCentre);
    note("region", running.region == next.region);
    note("peers", running.peers == next.peers);
    note("store", running.store == next.store);
    note("metrics", running.metrics == next.metrics);
    note("role", running.role.index() == next.role.index());
    if (running.role.index() == next.role.index()) {
        note(running.isGateway() ? sGateway : sStager, running.role == next.role);
    }
    return fields;
}

bool isDirectRole(const std::string &path)
{
    const auto object = SettingsReader::load(path);
    if (!object) {
        return false;
    }
    const boost::json::value *role = object->if_contains("role");
    return role != nullptr && role->is_string()
        && (role->as_string() == sGateway || role->as_string() == sStager);
}

} // namespace Loom
