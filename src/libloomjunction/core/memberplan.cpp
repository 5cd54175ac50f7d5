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
constexpr std::size_t sMaxFollowed = 16;
constexpr std::size_t sMaxFollowedLocal = 12;
// Gateways that watch one agent, so that some may fail together.
constexpr std::size_t sWatchersPerAgent = 3;

} // namespace

MemberPlan::MemberPlan(MemberLocation self, std::span<const MemberLocation> others)
    : mSelf(std::move(self))
    , mOthers(others)
{
}

// Of one data centre, or of all for an empty one; this gateway among them.
std::vector<std::string> MemberPlan::gatewaysIn(std::string_view dataCentre) const
{
    const auto isIn = [&](const MemberLocation &member) {
        return dataCentre.empty() || member.dataCentre == dataCentre;
    };
    std::vector<std::string> keys;
    if (isIn(mSelf)) {
        keys.push_back(mSelf.key);
    }
    for (const MemberLocation &member : mOthers) {
        if (member.isGateway && isIn(member)) {
            keys.push_back(member.key);
        }
    }
    return keys;
}

std::vector<std::string> MemberPlan::readerOrder(ReaderScope scope) const
{
    const bool isLocal = scope == ReaderScope::DataCentre;
    const std::vector<std::string> keys = gatewaysIn(isLocal ? mSelf.dataCentre : "");
    std::vector<std::string> ordered;
    for (const std::size_t index : rendezvousOrder(sReadersKey, keys, keys.size())) {
        ordered.push_back(keys[index]);
    }
    return ordered;
}

std::set<std::string> MemberPlan::gatewaysToFollow() const
{
    std::vector<std::string> local;
    std::vector<std::string> remote;
    for (const MemberLocation &member : mOthers) {
        if (member.isGateway) {
            (member.dataCentre == mSelf.dataCentre ? local : remote).push_back(member.key);
        }
    }
    std::set<std::string> chosen;
    if (local.size() + remote.size() <= sMaxFollowed) {
        chosen.insert(local.begin(), local.end());
        chosen.insert(remote.begin(), remote.end());
        return chosen;
    }
    for (const ReaderScope scope : {ReaderScope::Global, ReaderScope::DataCentre}) {
        const std::vector<std::string> readers = readerOrder(scope);
        for (std::size_t index = 0; index < std::min(sReaderCandidates, readers.size()); ++index) {
            if (readers[index] != mSelf.key) {
                chosen.insert(readers[index]);
            }
        }
    }
    const auto fill = [&](const std::vector<std::string> &keys, std::size_t limit) {
        for (const std::size_t index : rendezvousOrder(mSelf.key, keys, keys.size())) {
            if (chosen.size() < limit) {
                chosen.insert(keys[index]);
            }
        }
    };
    const std::size_t remoteSlots = sMaxFollowed - sMaxFollowedLocal;
    fill(local, remote.size() < remoteSlots ? sMaxFollowed - remote.size() : sMaxFollowedLocal);
    fill(remote, sMaxFollowed);
    return chosen;
}

// A few gateways of the agent's data centre, or of all where it has none.
std::set<std::string> MemberPlan::agentsToWatch() const
{
    std::set<std::string> watched;
    for (const MemberLocation &member : mOthers) {
        if (member.isGateway) {
            continue;
        }
        std::vector<std::string> watchers = gatewaysIn(member.dataCentre);
        if (watchers.empty()) {
            watchers = gatewaysIn("");
        }
        const auto order = rendezvousOrder(member.key, watchers, sWatchersPerAgent);
        const bool isWatchedHere = std::ranges::any_of(
            order, [&](std::size_t index) { return watchers[index] == mSelf.key; });
        if (isWatchedHere) {
            watched.insert(member.key);
        }
    }
    return watched;
}

} // namespace Loom
