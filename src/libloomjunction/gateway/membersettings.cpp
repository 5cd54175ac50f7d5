/*
 * membersettings.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "membersettings.h"

#include "joinedtext.h"
#include "processlimits.h"
#include "settingsfile.h"

#include <cmath>

namespace Loom {

namespace {

constexpr double sMaxMbit = 1'000'000;
constexpr double sMaxMilliseconds = 3'600'000;
constexpr double sMaxSeconds = 3'600;
constexpr double sMaxRatio = 10;
constexpr double sMaxExtraRetries = 1'000'000;
constexpr int sMaxToleratedFailures = 64;
constexpr std::size_t sMinAnswerBytes = 1'024;
constexpr std::int64_t sMaxAnswerBytes = 1'073'741'824;
constexpr std::size_t sMinHeldBytes = std::size_t{64} * 1024;
constexpr double sBytesPerMegabyte = 1'048'576;
constexpr double sMinMemoryMb = 16;
constexpr double sMaxMemoryMb = 1'048'576;
constexpr std::int64_t sMinDescriptors = 64;
constexpr std::int64_t sMaxDescriptors = 16'777'216;
constexpr double sMillisecondsPerSecond = 1'000;
constexpr std::string_view sGateway = "gateway";
constexpr std::string_view sStager = "stager";

// Platforms specify limits as real numbers, since they compute them from sizes.
Milliseconds milliseconds(SettingsReader &reader, std::string_view field, Milliseconds defaultValue)
{
    const auto fallback = static_cast<double>(defaultValue.count());
    return Milliseconds(std::llround(reader.real(field, 0, sMaxMilliseconds, fallback)));
}

Milliseconds seconds(SettingsReader &reader, std::string_view field, Milliseconds defaultValue)
{
    const double fallback = static_cast<double>(defaultValue.count()) / sMillisecondsPerSecond;
    const double value = reader.real(field, 0, sMaxSeconds, fallback);
    return Milliseconds(std::llround(value * sMillisecondsPerSecond));
}

MemberBounds readBounds(SettingsReader reader)
{
    MemberBounds bounds;
    bounds.drainTimeout = milliseconds(reader, "drainMs", bounds.drainTimeout);
    bounds.shutdownTimeout = seconds(reader, "stopSeconds", bounds.shutdownTimeout);
    bounds.addressTtl = seconds(reader, "addressLifetimeSeconds", bounds.addressTtl);
    bounds.weightsGracePeriod = milliseconds(reader, "weightsMs", bounds.weightsGracePeriod);
    bounds.maxConfigAge = milliseconds(reader, "configMs", bounds.maxConfigAge);
    bounds.retries.window = seconds(reader, "retryWindowSeconds", bounds.retries.window);
    bounds.retries.ratio = reader.real("retryRatio", 0, sMaxRatio, bounds.retries.ratio);
    bounds.retries.extra = reader.real("retryExtra", 0, sMaxExtraRetries, bounds.retries.extra);
    reader.refuseUnknown();
    return bounds;
}

FailureTolerance readFailureTolerance(SettingsReader reader)
{
    FailureTolerance failureTolerance;
    failureTolerance.dataCentres
        = static_cast<std::uint32_t>(reader.integer("dataCentres", 0, sMaxToleratedFailures, 0));
    failureTolerance.regions
        = static_cast<std::uint32_t>(reader.integer("regions", 0, sMaxToleratedFailures, 0));
    reader.refuseUnknown();
    return failureTolerance;
}

std::size_t bytes(SettingsReader &reader, std::string_view field, std::size_t least,
                  std::size_t defaultValue)
{
    return static_cast<std::size_t>(reader.integer(field, static_cast<std::int64_t>(least),
                                                   sMaxAnswerBytes,
                                                   static_cast<std::int64_t>(defaultValue)));
}

AnswerLimits readAnswerLimits(SettingsReader reader)
{
    AnswerLimits limits;
    limits.headBytes = bytes(reader, "headBytes", sMinAnswerBytes, limits.headBytes);
    limits.eventBytes = bytes(reader, "eventBytes", sMinAnswerBytes, limits.eventBytes);
    limits.refusalBytes = bytes(reader, "refusalBytes", 0, limits.refusalBytes);
    limits.bodyBytes = bytes(reader, "bodyBytes", sMinAnswerBytes, limits.bodyBytes);
    limits.heldBytes = bytes(reader, "heldBytes", sMinAnswerBytes, limits.heldBytes);
    limits.unfinished = milliseconds(reader, "unfinishedMs", limits.unfinished);
    reader.refuseUnknown();
    return limits;
}

ProcessLimits readProcessLimits(SettingsReader reader)
{
    ProcessLimits limits = processLimits();
    const double memoryMb = static_cast<double>(limits.memoryBytes) / sBytesPerMegabyte;
    limits.memoryBytes = static_cast<std::size_t>(
        sBytesPerMegabyte * reader.real("memoryMb", sMinMemoryMb, sMaxMemoryMb, memoryMb));
    limits.descriptors
        = static_cast<std::size_t>(reader.integer("descriptors", sMinDescriptors, sMaxDescriptors,
                                                  static_cast<std::int64_t>(limits.descriptors)));
    reader.refuseUnknown();
    return limits;
}

ConnectionBounds readConnectionBounds(SettingsReader reader, ConnectionBounds bounds)
{
    bounds.heldBytes = bytes(reader, "heldBytes", sMinHeldBytes, bounds.heldBytes);
    bounds.connections = static_cast<std::size_t>(reader.integer(
        "connections", 1, sMaxDescriptors, static_cast<std::int64_t>(bounds.connections)));
    reader.refuseUnknown();
    return bounds;
}

GatewaySettings readGateway(SettingsReader reader)
{
    GatewaySettings gateway;
    gateway.callers = reader.endpoint("callers");
    gateway.readiness = reader.endpoint("readiness");
    gateway.addresses = reader.endpoint("addresses");
    if (reader.has("answers")) {
        gateway.answers = readAnswerLimits(reader.child("answers"));
    }
    reader.refuseUnknown();
    return gateway;
}

StagerSettings readStager(SettingsReader reader)
{
    StagerSettings stager;
    stager.service = reader.text("service");
    stager.engine = reader.endpoint("engine");
    stager.linkMbit = reader.real("linkMbit", 0, sMaxMbit, 0);
    reader.refuseUnknown();
    return stager;
}

} // namespace

tl::expected<MemberSettings, std::string> loadMemberSettings(const std::string &path)
{
    const auto object = SettingsReader::load(path);
    if (!object) {
        return tl::unexpected(object.error());
    }
    std::vector<std::string> problems;
    SettingsReader reader(path, "", *object, problems);
    MemberSettings settings;
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
    ProcessLimits limits = processLimits();
    if (reader.has("machine")) {
        limits = readProcessLimits(reader.child("machine"));
    }
    settings.connections = connectionBoundsFor(limits);
    if (reader.has("clients")) {
        settings.connections = readConnectionBounds(reader.child("clients"), settings.connections);
    }
    if (reader.has("losses")) {
        settings.failureTolerance = readFailureTolerance(reader.child("losses"));
    }
    const std::string role = reader.oneOf("role", {sGateway, sStager});
    if (role == sGateway) {
        settings.regions = reader.texts("regions");
        settings.role = readGateway(reader.child(sGateway));
    } else if (role == sStager) {
        settings.role = readStager(reader.child(sStager));
    }
    reader.refuseUnknown();
    if (!problems.empty()) {
        return tl::unexpected(joinedText(problems, "\n"));
    }
    return settings;
}

std::vector<std::string> fieldsRequiringRestart(const MemberSettings &running,
                                                const MemberSettings &next)
{
    std::vector<std::string> fields;
    const auto addIfChanged = [&](std::string_view field, bool isSame) {
        if (!isSame) {
            fields.emplace_back(field);
        }
    };
    addIfChanged("box", running.box == next.box);
    addIfChanged("dataCentre", running.dataCentre == next.dataCentre);
    addIfChanged("region", running.region == next.region);
    addIfChanged("peers", running.peers == next.peers);
    addIfChanged("store", running.store == next.store);
    addIfChanged("clients", running.connections == next.connections);
    addIfChanged("metrics", running.metrics == next.metrics);
    addIfChanged("role", running.role.index() == next.role.index());
    if (running.role.index() == next.role.index()) {
        addIfChanged(running.isGateway() ? sGateway : sStager, running.role == next.role);
    }
    return fields;
}

bool hasMemberRole(const std::string &path)
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
