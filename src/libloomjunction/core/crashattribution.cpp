/*
 * crashattribution.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "crashattribution.h"

#include "overload.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace Loom {

namespace {

using Lives = std::set<std::string>;

// A single request explains the crashes under a part of its prompt unless the part was also
// present in this many crashes without that request.
constexpr std::size_t sMinCrashesBesideOneRequest = 2;
// Two culprits may be present at a crash; it counts for both of them then.
constexpr std::size_t sMaxSharedCrashes = 1;

bool isPart(const CrashSuspect &suspect)
{
    return std::holds_alternative<PromptPart>(suspect.subject);
}

std::size_t countMissing(const Lives &from, const Lives &lives)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        lives, [&](const std::string &life) { return !from.contains(life); }));
}

// A part is shared by requests of many callers, so more evidence is required than for a single
// request. A part in few of the recent crashes may have been there by chance, and one with which
// requests succeeded was sound before.
std::size_t requiredCrashes(const CrashSuspect &suspect, std::size_t recentCrashes,
                            const AttributionLimits &limits)
{
    const bool isInMost = 2 * suspect.lives->size() >= recentCrashes;
    const std::size_t required
        = std::visit(Overload{
                         [&](const RequestDigest &) { return limits.request; },
                         [&](const PromptPart &) {
                             return suspect.isProven ? limits.provenPart
                                 : isInMost          ? limits.part
                                                     : limits.rarePart;
                         },
                     },
                     suspect.subject);
    return suspect.attributedWith == 0 ? required : std::min(required, suspect.attributedWith);
}

bool isExplainedByOneRequest(const CrashSuspect &suspect, std::span<const CrashSuspect> suspects)
{
    return std::ranges::any_of(suspects, [&](const CrashSuspect &other) {
        return !isPart(other)
            && countMissing(*other.lives, *suspect.lives) < sMinCrashesBesideOneRequest;
    });
}

// Whether @p other was present in all crashes under @p suspect, as far as the reports go: those of
// one crash arrive one after the other.
bool mayExplainAll(const CrashSuspect &other, const CrashSuspect &suspect, const Lives &unsettled)
{
    const bool isInMost = 2 * other.lives->size() >= suspect.lives->size();
    return isInMost && std::ranges::all_of(*suspect.lives, [&](const std::string &life) {
               return other.lives->contains(life) || unsettled.contains(life);
           });
}

std::vector<QuarantineSubject> companionsOf(const CrashSuspect &suspect,
                                            std::span<const CrashSuspect> suspects,
                                            const Lives &unsettled)
{
    std::vector<QuarantineSubject> companions;
    for (const CrashSuspect &other : suspects) {
        const bool isLikelier = isPart(other) && (!other.isProven || suspect.isProven);
        if (isLikelier && other.subject != suspect.subject
            && mayExplainAll(other, suspect, unsettled)) {
            companions.push_back(other.subject);
        }
    }
    return companions;
}

} // namespace

std::size_t minCrashes(const QuarantineSubject &subject, const AttributionLimits &limits)
{
    return std::holds_alternative<RequestDigest>(subject) ? limits.request : limits.part;
}

// Greedy: the suspect that explains the most crashes is a culprit, and the others have to explain
// what it leaves. Requests explain nothing to other requests: each is refused alone, while a
// culprit that is missed costs replicas.
std::vector<CrashCulprit> attributeCrashes(std::vector<CrashSuspect> suspects,
                                           const RecentCrashes &recent,
                                           const AttributionLimits &limits)
{
    const auto order = [](const CrashSuspect &suspect) {
        return std::tuple(suspect.isProven, -static_cast<std::int64_t>(suspect.lives->size()),
                          suspect.subject);
    };
    std::ranges::sort(suspects, {}, order);
    std::vector<CrashCulprit> culprits;
    Lives explainedByParts;
    Lives explained;
    for (const CrashSuspect &suspect : suspects) {
        const Lives &others = isPart(suspect) ? explained : explainedByParts;
        const std::size_t required = requiredCrashes(suspect, recent.count, limits);
        const std::size_t unexplained = countMissing(others, *suspect.lives);
        if (suspect.lives->size() < required || unexplained + sMaxSharedCrashes < required) {
            continue;
        }
        if (!isPart(suspect)) {
            culprits.push_back({suspect.subject, {}});
        } else if (!isExplainedByOneRequest(suspect, suspects)) {
            culprits.push_back(
                {suspect.subject, companionsOf(suspect, suspects, recent.unsettled)});
            explainedByParts.insert(suspect.lives->begin(), suspect.lives->end());
        } else {
            continue;
        }
        explained.insert(suspect.lives->begin(), suspect.lives->end());
    }
    return culprits;
}

} // namespace Loom
