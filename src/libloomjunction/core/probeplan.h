/*
 * probeplan.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "replica.h"
#include "replicaestimate.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** How far a gateway looks for a replica, one step after the other. */
enum class ProbeRound : std::uint8_t
{
    Local, ///< a few neighbours in its own data centre
    Subset, ///< more of all neighbours
    Any, ///< a few of all replicas
};

/**
 * Which replicas a gateway uses, and which of them it asks for their load
 * before it sends a request. What a gateway and an agent have to do for it grows
 * with the requests that come to them, not with the size of the whole.
 */
class ProbePlan
{
public:
    /** @p entry: the gateway's own key. Two gateways use different neighbours. */
    ProbePlan(std::string_view entry, const ReplicaQuery &query, Instant now)
        : mEntry(entry)
        , mQuery(query)
        , mNow(now)
    {
    }

    /** Those of @p usable that this gateway keeps links to. */
    std::vector<const Replica *> subset(std::span<const Replica *const> usable) const;
    /** Whom to ask in @p round, of @p usable, without those in @p asked. */
    std::vector<const Replica *> choose(ProbeRound round, std::span<const Replica *const> usable,
                                        std::span<const std::string> asked) const;

private:
    void appendHighestWeights(std::vector<const Replica *> pool, std::size_t most,
                              std::vector<const Replica *> &chosen) const;
    bool isPromising(const Replica &replica) const;

    std::string_view mEntry;
    const ReplicaQuery &mQuery;
    Instant mNow;
};

} // namespace Loom
