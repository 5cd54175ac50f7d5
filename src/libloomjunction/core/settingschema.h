/*
 * settingschema.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Loom {

/** JSON type of a setting's value. */
enum class SettingType : std::uint8_t
{
    Boolean,
    Integer,
    Text
};

/** A key of the settings tree with its bounds and default value. */
struct SettingSpec
{
    std::string_view key;
    SettingType type;
    std::int64_t minimum;
    std::int64_t maximum;
    std::string_view defaultJson; ///< value as JSON text if none is set
    std::string_view description; ///< includes the unit
};

/** Returns all keys of the settings tree in alphabetical order. */
std::span<const SettingSpec> settingSpecs();

/** Returns the spec of @p key, or null if there is no such key. */
const SettingSpec *findSetting(std::string_view key);

/**
 * Validates the JSON text @p json as the value of @p key. Returns an error with
 * the key, the expected and the found value, or nothing if the value is valid.
 */
std::optional<std::string> settingError(std::string_view key, std::string_view json);

/** Returns an error if @p scope is not a valid scope of the settings tree. */
std::optional<std::string> scopeError(std::string_view scope);

} // namespace Loom
