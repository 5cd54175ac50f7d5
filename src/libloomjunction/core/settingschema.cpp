/*
 * settingschema.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "settingschema.h"

#include <algorithm>
#include <array>

#include <boost/json.hpp>

namespace Loom {

namespace {

constexpr std::int64_t sDayMs = 86'400'000;
constexpr std::size_t sMaxNameLength = 128;
constexpr std::size_t sMaxTextLength = 256;

constexpr std::array sSpecs{
    SettingSpec{"admission.maxInFlight", SettingType::Integer, 1, 1'000'000, "512",
                "requests of a service that one entry keeps in flight"},
    SettingSpec{"admission.weight", SettingType::Integer, 1, 1000, "1",
                "share of a client account when a service is contended"},
    SettingSpec{"addresses.lifetimeMs", SettingType::Integer, 100, sDayMs, "5000",
                "how long a caller may keep an address answer, in milliseconds"},
    SettingSpec{"calls.deadlineMs", SettingType::Integer, 1, sDayMs, "30000",
                "deadline of a call that names none, in milliseconds"},
    SettingSpec{"calls.repeatable", SettingType::Boolean, 0, 1, "true",
                "whether a call may run more than once"},
    SettingSpec{"model.spread", SettingType::Text, 0, 0, "\"\"",
                "version that replicas fetch and load beside the one they serve"},
    SettingSpec{"model.version", SettingType::Text, 0, 0, "\"\"", "version that is served"},
    SettingSpec{"retry.budgetPercent", SettingType::Integer, 0, 100, "20",
                "retries allowed per hundred requests of a service"},
    SettingSpec{"rollout.maxLoadingPercent", SettingType::Integer, 1, 100, "34",
                "replicas of a service that may load at once, in percent"},
    SettingSpec{"rollout.minReadyPercent", SettingType::Integer, 1, 100, "25",
                "replicas that must hold a promoted version before traffic moves, in percent"},
    SettingSpec{"rollout.originCopies", SettingType::Integer, 1, 16, "1",
                "copies of a version that may be pulled from the origin (1: fewest bytes)"},
    SettingSpec{"slo.firstByteMs", SettingType::Integer, 1, sDayMs, "340",
                "first byte of an answer within, in milliseconds"},
    SettingSpec{"slo.targetPerMille", SettingType::Integer, 1, 999, "950",
                "requests that must be good, per thousand"},
};

std::string quoted(std::string_view text)
{
    return "'" + std::string(text) + "'";
}

bool isName(std::string_view name)
{
    if (name.empty() || name.size() > sMaxNameLength) {
        return false;
    }
    return std::ranges::all_of(name, [](char c) {
        const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        return letter || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    });
}

std::optional<std::string> integerError(const SettingSpec &spec, const boost::json::value &value)
{
    if (!value.is_int64()) {
        return "setting " + quoted(spec.key) + ": expected a whole number, found "
            + boost::json::serialize(value);
    }
    const std::int64_t number = value.as_int64();
    if (number < spec.minimum || number > spec.maximum) {
        return "setting " + quoted(spec.key) + ": expected " + std::to_string(spec.minimum) + " to "
            + std::to_string(spec.maximum) + ", found " + std::to_string(number);
    }
    return std::nullopt;
}

} // namespace

std::span<const SettingSpec> settingSpecs()
{
    return sSpecs;
}

const SettingSpec *findSetting(std::string_view key)
{
    const auto it = std::ranges::find(sSpecs, key, &SettingSpec::key);
    return it == sSpecs.end() ? nullptr : &*it;
}

std::optional<std::string> settingError(std::string_view key, std::string_view json)
{
    const SettingSpec *spec = findSetting(key);
    if (spec == nullptr) {
        return "setting " + quoted(key) + ": no such key";
    }
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(json, error);
    if (error) {
        return "setting " + quoted(key) + ": expected a JSON value, found " + quoted(json);
    }
    switch (spec->type) {
    case SettingType::Boolean:
        if (!value.is_bool()) {
            return "setting " + quoted(key) + ": expected true or false, found "
                + boost::json::serialize(value);
        }
        return std::nullopt;
    case SettingType::Integer:
        return integerError(*spec, value);
    case SettingType::Text:
        if (!value.is_string() || value.as_string().size() > sMaxTextLength) {
            return "setting " + quoted(key) + ": expected text of at most "
                + std::to_string(sMaxTextLength) + " characters, found "
                + quoted(json.substr(0, 40));
        }
        return std::nullopt;
    }
    return std::nullopt;
}

std::optional<std::string> scopeError(std::string_view scope)
{
    if (scope == "/") {
        return std::nullopt;
    }
    for (const std::string_view prefix : {"/region/", "/account/", "/service/"}) {
        if (scope.starts_with(prefix) && isName(scope.substr(prefix.size()))) {
            return std::nullopt;
        }
    }
    return "scope " + quoted(scope)
        + ": expected '/', '/region/NAME', '/account/NAME' or '/service/NAME'";
}

} // namespace Loom
