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

/** The rounds in which a gateway probes replicas, each with a wider scope. */
enum class ProbeRound : std::uint8_t
{
    Local, ///< a few replicas of the subset in the gateway's own data centre
    Subset, ///< more replicas of the subset, in any data centre
    Any, ///< a few of all replicas
};

/**
 * Selects the subset of replicas that a gateway uses, and those that it probes for
 * their load before it sends a request. The work of gateways and agents grows with
 * their own request rate, not with the size of the fleet.
 */
class ProbePlan
{
public:
    /**
     * @p gatewayKey: identifies the gateway, so that gateways use different subsets.
     * @p hasLocalExcess: its data centre gets more calls than others, see MeanDemand.
     */
    ProbePlan(std::string_view gatewayKey, const ReplicaQuery &query, Instant now,
              bool hasLocalExcess = false)
        : mGatewayKey(gatewayKey)
        , mQuery(query)
        , mNow(now)
        , mHasLocalExcess(hasLocalExcess)
    {
    }

    /** The replicas out of @p usable that this gateway keeps connections to. */
    std::vector<const Replica *> subset(std::span<const Replica *const> usable) const;
    /** The replicas out of @p usable to probe in @p round, without those in @p probed. */
    std::vector<const Replica *> choose(ProbeRound round, std::span<const Replica *const> usable,
                                        std::span<const std::string> probed) const;

private:
    void appendHighestWeights(std::vector<const Replica *> pool, std::size_t most,
                              std::vector<const Replica *> &chosen) const;
    bool isPromising(const Replica &replica) const;
    bool isRemote(const Replica &replica) const;

    std::string_view mGatewayKey;
    const ReplicaQuery &mQuery;
    Instant mNow;
    bool mHasLocalExcess;
};

} // namespace Loom
