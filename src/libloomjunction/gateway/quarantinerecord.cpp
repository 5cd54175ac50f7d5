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

// The wall clocks of boxes differ by seconds and may jump by seconds.
constexpr Milliseconds sMaxClockSkew{60'000};
constexpr std::size_t sMaxIncarnationLength = 200;
constexpr std::int64_t sMaxCount = 1'000'000'000;

} // namespace

std::string quarantineRecord(const QuarantineEntry &entry, Instant now, WallMilliseconds wallNow)
{
    const auto age = std::chrono::duration_cast<Milliseconds>(now - entry.lastEventAt);
    boost::json::array crashes;
    for (const std::string &incarnation : entry.lives) {
        crashes.emplace_back(incarnation);
    }
    boost::json::object value;
    value["account"] = entry.account;
    value["epoch"] = entry.epoch;
    value["failedTrials"] = entry.failedTrials;
    value["crashes"] = std::move(crashes);
    value["at"] = (wallNow - age).count();
    return boost::json::serialize(value);
}

tl::expected<QuarantineEntry, std::string> readQuarantineRecord(std::string_view subject,
                                                                std::string_view value, Instant now,
                                                                WallMilliseconds wallNow)
{
    const auto parsed = parseSubject(subject);
    if (!parsed) {
        return tl::unexpected("key: " + parsed.error());
    }
    const boost::json::object object = jsonObject(value);
    const std::int64_t at = jsonInteger(object, "at", -1);
    if (at < 0) {
        return tl::unexpected(std::string("at: expected a non-negative integer"));
    }
    const auto age = wallNow - WallMilliseconds(at);
    if (age < -sMaxClockSkew) {
        return tl::unexpected(std::string("at: expected a time in the past"));
    }
    const std::int64_t epoch = jsonInteger(object, "epoch", -1);
    if (epoch < 0 || epoch > sMaxCount) {
        return tl::unexpected(std::string("epoch: expected an integer within its bounds"));
    }
    // Absent in records of releases that counted no trials.
    const std::int64_t failedTrials = jsonInteger(object, "failedTrials", 0);
    if (failedTrials < 0 || failedTrials > sMaxCount) {
        return tl::unexpected(std::string("failedTrials: expected an integer within its bounds"));
    }
    const boost::json::value *found = object.if_contains("crashes");
    const boost::json::array *crashes = found == nullptr ? nullptr : found->if_array();
    if (crashes == nullptr || crashes->empty() || crashes->size() > QuarantineEntry::sMaxLives) {
        return tl::unexpected("crashes: expected 1 to " + std::to_string(QuarantineEntry::sMaxLives)
                              + " incarnations");
    }
    QuarantineEntry entry;
    entry.subject = *parsed;
    entry.account = jsonText(object, "account");
    entry.epoch = static_cast<std::uint32_t>(epoch);
    entry.failedTrials = static_cast<std::uint32_t>(failedTrials);
    entry.lastEventAt = now - std::max(age, WallMilliseconds(0));
    for (const boost::json::value &incarnation : *crashes) {
        if (!incarnation.is_string() || incarnation.as_string().empty()
            || incarnation.as_string().size() > sMaxIncarnationLength) {
            return tl::unexpected(
                std::string("crashes: expected non-empty strings of limited length"));
        }
        entry.lives.insert(std::string(incarnation.as_string()));
    }
    return entry;
}

} // namespace Loom
