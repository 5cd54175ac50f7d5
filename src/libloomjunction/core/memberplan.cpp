/*
 * memberplan.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "memberplan.h"

#include "rendezvous.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr std::string_view sReadersKey = "feed-readers";
// Next in turn when a reader fails: everybody must know whether these live.
constexpr std::size_t sReaderCandidates = 3;
// Gateways whose state one follows. Callers get their addresses from it, so there
// must be some to choose from; to follow all of 149 would be 740 messages a second at
// each gateway (reckoned: 148 others, 2.5 a second, both ways).
constexpr std::size_t sMostFollowed = 16;
constexpr std::size_t sMostFollowedNear = 12;
// Gateways that watch one agent, so that some may fail together.
constexpr std::size_t sWatchers = 3;

} // namespace

MemberPlan::MemberPlan(MemberPlace self, std::span<const MemberPlace> others)
    : mSelf(std::move(self))
    , mOthers(others)
{
}

// Of one data centre, or of all for an empty one; this gateway among them.
std::vector<std::string> MemberPlan::gatewaysOf(std::string_view dataCentre) const
{
    const auto isIn = [&](const MemberPlace &place) {
        return dataCentre.empty() || place.dataCentre == dataCentre;
    };
    std::vector<std::string> keys;
    if (isIn(mSelf)) {
        keys.push_back(mSelf.key);
    }
    for (const MemberPlace &place : mOthers) {
        if (place.isGateway && isIn(place)) {
            keys.push_back(place.key);
        }
    }
    return keys;
}

std::vector<std::string> MemberPlan::readerOrder(ReaderScope scope) const
{
    const bool isNear = scope == ReaderScope::DataCentre;
    const std::vector<std::string> keys = gatewaysOf(isNear ? mSelf.dataCentre : "");
    std::vector<std::string> ordered;
    for (const std::size_t index : rendezvousOrder(sReadersKey, keys, keys.size())) {
        ordered.push_back(keys[index]);
    }
    return ordered;
}

std::set<std::string> MemberPlan::gatewaysToFollow() const
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const MemberPlace &place : mOthers) {
        if (place.isGateway) {
            (place.dataCentre == mSelf.dataCentre ? near : far).push_back(place.key);
        }
    }
    std::set<std::string> chosen;
    if (near.size() + far.size() <= sMostFollowed) {
        chosen.insert(near.begin(), near.end());
        chosen.insert(far.begin(), far.end());
        return chosen;
    }
    for (const ReaderScope scope : {ReaderScope::Everywhere, ReaderScope::DataCentre}) {
        const std::vector<std::string> readers = readerOrder(scope);
        for (std::size_t index = 0; index < std::min(sReaderCandidates, readers.size()); ++index) {
            if (readers[index] != mSelf.key) {
                chosen.insert(readers[index]);
            }
        }
    }
    const auto fill = [&](const std::vector<std::string> &keys, std::size_t most) {
        for (const std::size_t index : rendezvousOrder(mSelf.key, keys, keys.size())) {
            if (chosen.size() < most) {
                chosen.insert(keys[index]);
            }
        }
    };
    const std::size_t roomForFar = sMostFollowed - sMostFollowedNear;
    fill(near, far.size() < roomForFar ? sMostFollowed - far.size() : sMostFollowedNear);
    fill(far, sMostFollowed);
    return chosen;
}

// A few gateways of the agent's data centre, or of all where it has none.
std::set<std::string> MemberPlan::stagersToWatch() const
{
    std::set<std::string> watched;
    for (const MemberPlace &place : mOthers) {
        if (place.isGateway) {
            continue;
        }
        std::vector<std::string> watchers = gatewaysOf(place.dataCentre);
        if (watchers.empty()) {
            watchers = gatewaysOf("");
        }
        const auto order = rendezvousOrder(place.key, watchers, sWatchers);
        const bool isOwn = std::ranges::any_of(
            order, [&](std::size_t index) { return watchers[index] == mSelf.key; });
        if (isOwn) {
            watched.insert(place.key);
        }
    }
    return watched;
}

} // namespace Loom
