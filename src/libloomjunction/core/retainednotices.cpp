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

// Far beyond the history of any store and the draining time of any replica.
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
    std::vector<Kept> &lives = it->second;
    const auto found = std::ranges::find_if(
        lives, [&](const Kept &kept) { return kept.born == born || kept.born == 0 || born == 0; });
    if (found == lives.end()) {
        return {};
    }
    const NoticeState notices = found->notices;
    lives.erase(found);
    return notices;
}

void RetainedNotices::sweep(Instant now)
{
    const auto isOver = [now](const Kept &kept) {
        return kept.since + sRetentionTime <= now || !kept.notices.isActive(now);
    };
    for (auto &[id, lives] : mById) {
        std::erase_if(lives, isOver);
    }
    std::erase_if(mById, [](const auto &item) { return item.second.empty(); });
}

} // namespace Loom
