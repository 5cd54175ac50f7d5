/*
 * versiontimerecord.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "versiontimerecord.h"

#include "jsonhttp.h"

namespace Loom {

namespace {

constexpr WallMilliseconds sMaxWallClockJump{3'000};

std::int64_t inRecord(Instant time)
{
    return time.time_since_epoch().count();
}

/** The time in the field @p name; empty if it is unknown, an error if it is none of the past. */
tl::expected<std::optional<Instant>, std::string> timeIn(const boost::json::object &object,
                                                         std::string_view name, Instant now)
{
    if (!object.contains(name)) {
        return std::nullopt;
    }
    const std::int64_t time = jsonInteger(object, name, -1);
    if (time < 0 || Instant(Microseconds(time)) > now) {
        return tl::unexpected("versions: " + std::string(name) + ": expected a time in the past");
    }
    return Instant(Microseconds(time));
}

tl::expected<SupersededVersion, std::string> versionIn(const boost::json::object &object,
                                                       Instant now)
{
    SupersededVersion version;
    version.model = jsonText(object, "model");
    if (version.model.empty()) {
        return tl::unexpected(std::string("versions: model: expected a name"));
    }
    const std::int64_t number = jsonInteger(object, "version", 0);
    if (number < 1) {
        return tl::unexpected(std::string("versions: version: expected a positive integer"));
    }
    version.version = static_cast<std::uint64_t>(number);
    const auto earliest = timeIn(object, "earliestUs", now);
    if (!earliest) {
        return tl::unexpected(earliest.error());
    }
    const auto latest = timeIn(object, "latestUs", now);
    if (!latest) {
        return tl::unexpected(latest.error());
    }
    version.supersededAt = EventTime(*earliest, *latest);
    return version;
}

} // namespace

std::string versionTimeRecord(std::span<const SupersededVersion> versions, const BoxBoot &boot)
{
    boost::json::array list;
    for (const SupersededVersion &version : versions) {
        boost::json::object entry;
        entry["model"] = version.model;
        entry["version"] = version.version;
        if (const auto earliest = version.supersededAt.earliest()) {
            entry["earliestUs"] = inRecord(*earliest);
        }
        if (const auto latest = version.supersededAt.latest()) {
            entry["latestUs"] = inRecord(*latest);
        }
        list.push_back(std::move(entry));
    }
    boost::json::object value;
    value["boot"] = boot.id;
    value["bootedAtMs"] = boot.at.count();
    value["versions"] = std::move(list);
    return boost::json::serialize(value);
}

tl::expected<std::vector<SupersededVersion>, std::string>
readVersionTimeRecord(std::string_view value, const BoxBoot &boot, Instant now)
{
    const boost::json::object object = jsonObject(value);
    std::vector<SupersededVersion> versions;
    const std::string id = jsonText(object, "boot");
    if (id.empty()) {
        return tl::unexpected(std::string("boot: expected the id of a boot"));
    }
    const WallMilliseconds bootedAt(jsonInteger(object, "bootedAtMs", -1));
    if (bootedAt.count() < 0) {
        return tl::unexpected(std::string("bootedAtMs: expected a non-negative integer"));
    }
    if (id != boot.id || std::chrono::abs(bootedAt - boot.at) > sMaxWallClockJump) {
        return versions;
    }
    const boost::json::value *found = object.if_contains("versions");
    const boost::json::array *list = found == nullptr ? nullptr : found->if_array();
    if (list == nullptr) {
        return tl::unexpected(std::string("versions: expected a list"));
    }
    for (const boost::json::value &entry : *list) {
        if (!entry.is_object()) {
            return tl::unexpected(std::string("versions: expected objects"));
        }
        auto version = versionIn(entry.as_object(), now);
        if (!version) {
            return tl::unexpected(version.error());
        }
        versions.push_back(std::move(*version));
    }
    return versions;
}

} // namespace Loom
