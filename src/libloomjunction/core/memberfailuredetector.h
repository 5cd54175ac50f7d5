/*
 * memberfailuredetector.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Loom {

/**
 * Distinguishes a member that has failed from one whose data centre cannot be reached, by
 * the times at which messages of members were received.
 */
class MemberFailureDetector
{
public:
    /** A data centre counts as unreachable while it was silent for longer than @p maxGap. */
    MemberFailureDetector(std::string ownDataCentre, Milliseconds maxGap);

    /** Notes that a message of some member of @p dataCentre was received at time @p at. */
    void noteHeard(std::string_view dataCentre, Instant at);
    /**
     * Whether a member of @p dataCentre that is silent since @p since counts as failed.
     * Only time during which its data centre was reachable counts towards @p timeout.
     */
    bool isOverdue(std::string_view dataCentre, Instant since, Instant now,
                   Milliseconds timeout) const;

private:
    /** Period in which messages of a data centre were received without a gap. */
    struct ContactPeriod
    {
        Instant since; ///< start of the current period without a gap
        Instant last;
    };

    std::string mOwnDataCentre;
    Milliseconds mMaxGap;
    std::map<std::string, ContactPeriod, std::less<>> mContactPeriods; ///< by data centre
};

} // namespace Loom
