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
 * An idempotency key issued with an address answer. It names its home, the
 * only agent incarnation that may run the call. Every entry can therefore
 * route a repeat to the agent that has recorded the key, without a lookup.
 */
struct IssuedKey
{
    std::string uuid; ///< UUIDv7
    std::string homeBox; ///< box of the agent that runs the call
    std::uint64_t homeIncarnation = 0;
    WallMilliseconds expires{0};

    std::string text() const;
};

/** A UUIDv7 chosen by the caller; a claim in the log determines where it runs. */
struct CallerKey
{
    std::string uuid;
    WallMilliseconds createdAt{0};
};

using IdempotencyKey = std::variant<IssuedKey, CallerKey>;

/** Parses a key sent by a caller; the error describes the expected format. */
tl::expected<IdempotencyKey, std::string> parseIdempotencyKey(std::string_view text);

/** Returns a UUIDv7 with the time @p createdAt and the given random bits. */
std::string makeUuid7(WallMilliseconds createdAt, std::uint64_t randomHigh,
                      std::uint64_t randomLow);

/** Returns the time in a UUIDv7, or nothing if @p text is not a UUIDv7. */
std::optional<WallMilliseconds> uuid7Time(std::string_view text);

/** How long a key is valid after its creation. */
constexpr Milliseconds sKeyLifetime{600'000};
/** Maximum difference between the clocks of two boxes, documented for operators. */
constexpr Milliseconds sMaxClockSkew{120'000};

} // namespace Loom
