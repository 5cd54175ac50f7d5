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

/** What kind of JSON value a setting takes. */
enum class SettingType : std::uint8_t
{
    Boolean,
    Integer,
    Text
};

/** One key that may be set in the tree, with its bounds and default. */
struct SettingSpec
{
    std::string_view key;
    SettingType type;
    std::int64_t minimum;
    std::int64_t maximum;
    std::string_view defaultJson; ///< JSON text of the value where none is set
    std::string_view description; ///< with its unit
};

/** Every key of the tree, in alphabetical order. */
std::span<const SettingSpec> settingSpecs();

/** The spec of @p key, or null where there is no such key. */
const SettingSpec *findSetting(std::string_view key);

/**
 * What is wrong with setting @p key to @p json (JSON text), naming the key,
 * what was expected and what was found; nothing where it is well.
 */
std::optional<std::string> settingError(std::string_view key, std::string_view json);

/** What is wrong with @p scope as a place in the tree; nothing where it is well. */
std::optional<std::string> scopeError(std::string_view scope);

} // namespace Loom
