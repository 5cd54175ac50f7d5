/*
 * quarantinerecord.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "quarantinerecord.h"

#include "jsonhttp.h"

#include <algorithm>

namespace Loom {

namespace {

// Wall clocks of boxes differ by seconds, and may jump by some.
constexpr Milliseconds sMostAhead{60'000};
constexpr std::size_t sMostLife = 200;
constexpr std::size_t sMostLives = 16;
constexpr std::int64_t sMostEpoch = 1'000'000'000;

} // namespace

std::string quarantineRecord(const QuarantineEntry &entry, Instant now, WallMilliseconds wallNow)
{
    const auto age = std::chrono::duration_cast<Milliseconds>(now - entry.lastEventAt);
    boost::json::array crashes;
    for (const std::string &life : entry.lives) {
        crashes.emplace_back(life);
    }
    boost::json::object value;
    value["account"] = entry.account;
    value["epoch"] = entry.epoch;
    value["crashes"] = std::move(crashes);
    value["at"] = (wallNow - age).count();
    return boost::json::serialize(value);
}

tl::expected<QuarantineEntry, std::string> readQuarantineRecord(std::string_view digest,
                                                                std::string_view value, Instant now,
                                                                WallMilliseconds wallNow)
{
    const auto parsed = RequestDigest::parse(digest);
    if (!parsed) {
        return tl::unexpected("key: " + parsed.error());
    }
    const boost::json::object object = jsonObject(value);
    const std::int64_t at = jsonInteger(object, "at", -1);
    if (at < 0) {
        return tl::unexpected(std::string("at: expected a whole number"));
    }
    const auto age = wallNow - WallMilliseconds(at);
    if (age < -sMostAhead) {
        return tl::unexpected(std::string("at: expected a time that is over"));
    }
    const std::int64_t epoch = jsonInteger(object, "epoch", -1);
    if (epoch < 0 || epoch > sMostEpoch) {
        return tl::unexpected(std::string("epoch: expected a whole number"));
    }
    const boost::json::value *found = object.if_contains("crashes");
    const boost::json::array *crashes = found == nullptr ? nullptr : found->if_array();
    if (crashes == nullptr || crashes->empty() || crashes->size() > sMostLives) {
        return tl::unexpected("crashes: expected 1 to " + std::to_string(sMostLives) + " names");
    }
    QuarantineEntry entry;
    entry.digest = *parsed;
    entry.account = jsonText(object, "account");
    entry.epoch = static_cast<std::uint32_t>(epoch);
    entry.lastEventAt = now - std::max(age, WallMilliseconds(0));
    for (const boost::json::value &life : *crashes) {
        if (!life.is_string() || life.as_string().empty() || life.as_string().size() > sMostLife) {
            return tl::unexpected(std::string("crashes: expected names"));
        }
        entry.lives.insert(std::string(life.as_string()));
    }
    return entry;
}

} // namespace Loom
