/*
 * weightsgoal.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "weightsgoal.h"

#include <algorithm>

namespace Loom {

namespace {

// A request may wait at a replica, or on a narrow link on its way, before it
// begins, so sending stops this much earlier.
constexpr Milliseconds sSendMargin{1'300};
// So long before a version is over, what is sent to it must begin in time for sure:
// longer than requests wait at full replicas, and than the 1.6 s for which bytes
// were seen to lie on a full link between data centres, with a wait after it.
constexpr Milliseconds sOverSoon{2'700};
// What has not begun is given up so long before its weights are over: operators may
// have named the newer ones 400 ms before it was heard here, and the end of the
// connection needs up to 100 ms until the replica drops the request.
constexpr Milliseconds sGiveUpMargin{500};

} // namespace

void WeightsGoal::name(std::string_view model, std::uint64_t version, Instant learnedAt)
{
    auto &versions = mModels[std::string(model)];
    const auto [it, isNew] = versions.emplace(version, NamedVersion{version, 0, learnedAt});
    if (isNew && it != versions.begin()) {
        it->second.before = std::prev(it)->first;
    }
}

std::uint64_t WeightsGoal::newest(std::string_view model) const
{
    const NamedVersion *named = find(model);
    return named == nullptr ? 1 : named->version;
}

std::uint64_t WeightsGoal::oldestAllowed(std::string_view model, Instant now) const
{
    const auto it = mModels.find(model);
    if (it == mModels.end()) {
        return 1;
    }
    // A version is due once it was named for long enough; all before it are over.
    std::uint64_t oldest = 1;
    for (const auto &[version, named] : it->second) {
        if (now >= named.learnedAt + mLimit - sSendMargin) {
            oldest = version;
        }
    }
    return oldest;
}

std::optional<Instant> WeightsGoal::overAt(std::string_view model, std::uint64_t version) const
{
    const auto it = mModels.find(model);
    if (it == mModels.end()) {
        return std::nullopt;
    }
    std::optional<Instant> earliest;
    for (auto named = it->second.upper_bound(version); named != it->second.end(); ++named) {
        const Instant over = named->second.learnedAt + mLimit;
        earliest = std::min(earliest.value_or(over), over);
    }
    return earliest;
}

bool WeightsGoal::isOverSoon(std::string_view model, std::uint64_t version, Instant now) const
{
    const auto over = overAt(model, version);
    return over && *over - now < sOverSoon;
}

std::optional<Instant> WeightsGoal::giveUpAt(std::string_view model, std::uint64_t version) const
{
    const auto over = overAt(model, version);
    return over ? std::optional(*over - sGiveUpMargin) : std::nullopt;
}

Instant WeightsGoal::learnedAt(std::string_view model, std::uint64_t version) const
{
    const auto it = mModels.find(model);
    if (it == mModels.end()) {
        return {};
    }
    const auto named = it->second.find(version);
    return named == it->second.end() ? Instant() : named->second.learnedAt;
}

const NamedVersion *WeightsGoal::find(std::string_view model) const
{
    const auto it = mModels.find(model);
    return it == mModels.end() || it->second.empty() ? nullptr : &it->second.rbegin()->second;
}

} // namespace Loom
