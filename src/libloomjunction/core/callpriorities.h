/*
 * callpriorities.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "accountshares.h"
#include "instant.h"
#include "replicaestimate.h"
#include "requestrank.h"
#include "urgencydemand.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Loom {

/** Whom a caller's request is from and what it asks for. */
struct CallOrigin
{
    RequestRank rank;
    std::string_view account; ///< empty: none
    double work = 1; ///< proportional to the work that the request causes
    /** Seed of decisions that are the same for immediate repeats of the request. */
    std::uint64_t repeatSeed = 0;
};

/** How a request competes for capacity with the other calls of its service. */
struct Precedence
{
    /** Expected calls that are more urgent, as a fraction of all calls. */
    double moreUrgentFraction = 0;
    /** Calls that compete with this one for the same capacity, as a fraction of all calls. */
    double competingFraction = 1;
    bool returnsEarly = false; ///< if refused, the caller is to retry before less urgent ones
    std::uint8_t urgencyLevel = UrgencyDemand::sDefaultLevel; ///< see UrgencyDemand
};

/** Ranks and account shares of the calls for all services, as this process sees them. */
class CallPriorities
{
public:
    /** Counts a call for @p service and returns its standing. */
    RequestStanding noteCall(std::string_view service, const CallOrigin &origin, Instant now);
    /** Counts a call that a replica was found for. */
    void noteAdmitted(const ReplicaQuery &query, Instant now);
    /** @p isOverloaded: the service recently refused many calls; otherwise nothing is reserved. */
    Precedence precedence(const ReplicaQuery &query, bool isOverloaded) const;

private:
    struct ServiceCalls
    {
        UrgencyDemand demand;
        std::map<RequestRank, AccountShares> shares;
    };

    std::map<std::string, ServiceCalls, std::less<>> mServices;
};

} // namespace Loom
