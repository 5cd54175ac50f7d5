/*
 * retainednotices.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "retainednotices.h"

#include <algorithm>

namespace Loom {

namespace {

// Much longer than the history of any store and the drain time of any replica.
constexpr std::chrono::minutes sRetentionTime{10};

} // namespace

void RetainedNotices::keep(std::string_view id, std::uint64_t born, const NoticeState &notices,
                           Instant now)
{
    if (notices.isActive(now)) {
        mById[std::string(id)].push_back({born, notices, now});
    }
}

NoticeState RetainedNotices::take(std::string_view id, std::uint64_t born)
{
    const auto it = mById.find(id);
    if (it == mById.end()) {
        return {};
    }
    std::vector<Entry> &entries = it->second;
    const auto found = std::ranges::find_if(entries, [&](const Entry &entry) {
        return entry.born == born || entry.born == 0 || born == 0;
    });
    if (found == entries.end()) {
        return {};
    }
    const NoticeState notices = found->notices;
    entries.erase(found);
    return notices;
}

void RetainedNotices::sweep(Instant now)
{
    const auto isExpired = [now](const Entry &entry) {
        return entry.keptAt + sRetentionTime <= now || !entry.notices.isActive(now);
    };
    for (auto &[id, entries] : mById) {
        std::erase_if(entries, isExpired);
    }
    std::erase_if(mById, [](const auto &item) { return item.second.empty(); });
}

} // namespace Loom
