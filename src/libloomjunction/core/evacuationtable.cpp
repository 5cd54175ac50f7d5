/*
 * evacuationtable.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "evacuationtable.h"

namespace Loom {

namespace {

// Operators write what the store lost again within two seconds. The rest covers the time until
// the rewritten record has been read and relayed.
constexpr Milliseconds sLostRecordGracePeriod{5'000};

} // namespace

EvacuationChange EvacuationTable::changeOf(const Entry &entry, Instant now)
{
    const auto age = entry.writtenAfter ? std::optional(now - *entry.writtenAfter) : std::nullopt;
    return {entry.dataCentre, entry.isInForce, age, entry.lostAt.has_value()};
}

std::optional<EvacuationChange> EvacuationTable::put(std::string_view key,
                                                     std::string_view dataCentre,
                                                     std::optional<Microseconds> maxAge,
                                                     Instant now)
{
    const auto [it, isNew] = mEntries.try_emplace(std::string(key));
    Entry &entry = it->second;
    const bool wasInForce = !isNew && entry.isInForce;
    const auto writtenAfter = maxAge ? std::optional(now - *maxAge) : std::nullopt;
    entry = {std::string(dataCentre), writtenAfter, true, std::nullopt};
    return wasInForce ? std::nullopt : std::optional(changeOf(entry, now));
}

std::optional<EvacuationChange> EvacuationTable::remove(std::string_view key, Instant now)
{
    const auto it = mEntries.find(key);
    if (it == mEntries.end()) {
        return std::nullopt;
    }
    Entry entry = std::move(it->second);
    mEntries.erase(it);
    const bool wasInForce = entry.isInForce;
    entry.isInForce = false;
    entry.lostAt.reset();
    return wasInForce ? std::optional(changeOf(entry, now)) : std::nullopt;
}

std::vector<EvacuationChange>
EvacuationTable::update(const std::function<bool(const std::string &key)> &isLost, Instant now)
{
    std::vector<EvacuationChange> changes;
    for (auto &[key, entry] : mEntries) {
        if (!isLost(key)) {
            entry.lostAt.reset();
        } else if (!entry.lostAt) {
            entry.lostAt = now;
        }
        const bool isInForce = !entry.lostAt || now < *entry.lostAt + sLostRecordGracePeriod;
        if (isInForce != entry.isInForce) {
            entry.isInForce = isInForce;
            changes.push_back(changeOf(entry, now));
        }
    }
    return changes;
}

} // namespace Loom
