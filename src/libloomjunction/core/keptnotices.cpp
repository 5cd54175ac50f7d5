/*
 * keptnotices.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "keptnotices.h"

#include <algorithm>

namespace Loom {

namespace {

// Far beyond the history of any store and the draining time of any replica.
constexpr std::chrono::minutes sKeptFor{10};

} // namespace

void KeptNotices::keep(std::string_view id, std::uint64_t born, const LifeNotices &notices,
                       Instant now)
{
    if (notices.isInForce(now)) {
        mKept[std::string(id)].push_back({born, notices, now});
    }
}

LifeNotices KeptNotices::take(std::string_view id, std::uint64_t born)
{
    const auto it = mKept.find(id);
    if (it == mKept.end()) {
        return {};
    }
    std::vector<Kept> &lives = it->second;
    const auto found = std::ranges::find_if(
        lives, [&](const Kept &kept) { return kept.born == born || kept.born == 0 || born == 0; });
    if (found == lives.end()) {
        return {};
    }
    const LifeNotices notices = found->notices;
    lives.erase(found);
    return notices;
}

void KeptNotices::sweep(Instant now)
{
    const auto isOver = [now](const Kept &kept) {
        return kept.since + sKeptFor <= now || !kept.notices.isInForce(now);
    };
    for (auto &[id, lives] : mKept) {
        std::erase_if(lives, isOver);
    }
    std::erase_if(mKept, [](const auto &item) { return item.second.empty(); });
}

} // namespace Loom
