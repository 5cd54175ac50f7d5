/*
 * askplan.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "replica.h"
#include "replicaoffer.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** How far a gateway looks for a replica, one step after the other. */
enum class AskRound : std::uint8_t
{
    Near, ///< a few neighbours in its own data centre
    Neighbours, ///< more of all neighbours
    Anyone, ///< a few of all replicas
};

/**
 * Which replicas a gateway uses, and which of them it asks for their load
 * before it sends a request. What a gateway and an agent have to do for it grows
 * with the requests that come to them, not with the size of the whole.
 */
class AskPlan
{
public:
    /** @p entry: the gateway's own key. Two gateways use different neighbours. */
    AskPlan(std::string_view entry, const ReplicaQuery &query, Instant now)
        : mEntry(entry)
        , mQuery(query)
        , mNow(now)
    {
    }

    /** Those of @p usable that this gateway keeps links to. */
    std::vector<const Replica *> neighbours(std::span<const Replica *const> usable) const;
    /** Whom to ask in @p round, of @p usable, without those in @p asked. */
    std::vector<const Replica *> choose(AskRound round, std::span<const Replica *const> usable,
                                        std::span<const std::string> asked) const;

private:
    void appendHeaviest(std::vector<const Replica *> pool, std::size_t most,
                        std::vector<const Replica *> &chosen) const;
    bool isPromising(const Replica &replica) const;

    std::string_view mEntry;
    const ReplicaQuery &mQuery;
    Instant mNow;
};

} // namespace Loom
