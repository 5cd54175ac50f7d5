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

/** Tells a member that is gone from one that merely cannot be heard. */
class MemberFailureDetector
{
public:
    /** @p gap: a data centre that was silent for longer could not be heard. */
    MemberFailureDetector(std::string ownDataCentre, Milliseconds maxGap);

    /** Some member of @p dataCentre was heard. */
    void noteHeard(std::string_view dataCentre, Instant at);
    /** Whether one of @p dataCentre that is silent since @p since counts as gone after @p bound. */
    bool isOverdue(std::string_view dataCentre, Instant since, Instant now,
                   Milliseconds timeout) const;

private:
    struct ContactPeriod
    {
        Instant since; ///< without a gap
        Instant last;
    };

    std::string mOwnDataCentre;
    Milliseconds mMaxGap;
    std::map<std::string, ContactPeriod, std::less<>> mContactPeriods; ///< by data centre
};

} // namespace Loom
