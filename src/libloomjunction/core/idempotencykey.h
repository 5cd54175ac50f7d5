/*
 * idempotencykey.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <tl/expected.hpp>

namespace Loom {

/**
 * A key handed out with an address answer. It names the only agent
 * incarnation that will ever run the call, so every entry takes a repeat of
 * it to the same memory without asking anybody.
 */
struct IssuedKey
{
    std::string uuid; ///< UUIDv7
    std::string homeBox; ///< agent that runs it
    std::uint64_t homeIncarnation = 0;
    WallMilliseconds expires{0};

    std::string text() const;
};

/** A caller's own UUIDv7; where it runs is settled by a claim in the log. */
struct CallerKey
{
    std::string uuid;
    WallMilliseconds createdAt{0};
};

using IdempotencyKey = std::variant<IssuedKey, CallerKey>;

/** Reads a key as a caller sent it; the error names what was expected. */
tl::expected<IdempotencyKey, std::string> parseIdempotencyKey(std::string_view text);

/** A UUIDv7 of @p born with @p random bits. */
std::string makeUuid7(WallMilliseconds createdAt, std::uint64_t randomHigh,
                      std::uint64_t randomLow);

/** The time inside a UUIDv7; nothing when @p text is none. */
std::optional<WallMilliseconds> uuid7Time(std::string_view text);

/** For how long after its birth a key may be used. */
constexpr Milliseconds sKeyLifetime{600'000};
/** How far the clocks of two boxes may differ; stated to operators. */
constexpr Milliseconds sMaxClockSkew{120'000};

} // namespace Loom
