/*
 * crashattribution.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "quarantinesubject.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Loom {

/** Numbers of crashes that are attributed to a subject. The source states the reasons for them. */
struct AttributionLimits
{
    std::size_t request = 3; ///< crashes under one request
    std::size_t part = 4; ///< crashes under a prompt part that is in most of the recent crashes
    std::size_t rarePart = 5; ///< the same if it is in the minority of the recent crashes
    std::size_t provenPart = 7; ///< the same if requests with it have succeeded before
};

/** Crashes that occurred while requests with one subject were running. */
struct CrashSuspect
{
    QuarantineSubject subject;
    const std::set<std::string> *lives = nullptr; ///< incarnations of the replicas that crashed
    bool isProven = false; ///< a request with the subject has succeeded before these crashes
    /** Number of crashes with which they were attributed to the subject already; 0: they were not.
     */
    std::size_t attributedWith = 0;
};

/** A subject to which crashes are attributed. */
struct CrashCulprit
{
    QuarantineSubject subject;
    /**
     * Subjects that were present in all of its crashes as well. Any of them may be the culprit,
     * so that only a request with all of them is known to crash replicas.
     */
    std::vector<QuarantineSubject> companions;
};

/** Minimum number of crashes at which one of @p subject 's kind may be a culprit. */
std::size_t minCrashes(const QuarantineSubject &subject, const AttributionLimits &limits);

/** Crashes that became known lately, by incarnation of the replica. */
struct RecentCrashes
{
    std::size_t count = 0;
    std::set<std::string> unsettled; ///< not every gateway has reported its suspects yet
};

/** Finds the subjects that explain the crashes. Most suspects merely ran beside a culprit. */
std::vector<CrashCulprit> attributeCrashes(std::vector<CrashSuspect> suspects,
                                           const RecentCrashes &recent,
                                           const AttributionLimits &limits);

} // namespace Loom
