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
// The current reader and those that succeed it. Every gateway follows them, because it must
// know whether they are alive.
constexpr std::size_t sReaderCandidates = 3;
// Number of gateways that one gateway follows. Callers get addresses of followed gateways,
// so there must be several. Following all of 149 would cost a calculated 740 messages per
// second at each gateway (148 others, 2.5 per second, in both directions).
constexpr std::size_t sMaxFollowed = 16;
constexpr std::size_t sMaxFollowedLocal = 12;
// Several gateways monitor each agent, so that some of them may fail at the same time.
constexpr std::size_t sWatchersPerAgent = 3;

} // namespace

MemberPlan::MemberPlan(MemberLocation self, std::span<const MemberLocation> others)
    : mSelf(std::move(self))
    , mOthers(others)
{
}

// Returns the gateways of a data centre, or all gateways if @p dataCentre is empty. This
// gateway is included.
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

// Each agent is monitored by some gateways of its data centre, or by some of all gateways if
// its data centre has none.
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
