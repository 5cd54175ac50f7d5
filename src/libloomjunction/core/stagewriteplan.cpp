/*
 * stagewriteplan.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "stagewriteplan.h"

#include <algorithm>

namespace Loom {

namespace {

// A version takes the stage from another incomplete one only with such a lead. With less,
// two fetches that advance side by side would overwrite each other's chunks again and again.
constexpr double sMinLead = 0.25;

double progressOf(const StageCandidate &candidate)
{
    const auto stored = static_cast<double>(std::ranges::count(candidate.has, true));
    return candidate.has.empty() ? 0 : stored / static_cast<double>(candidate.has.size());
}

} // namespace

void StageWritePlan::noteHeld(std::string_view digest, std::uint32_t index)
{
    if (index >= mHeldDigests.size()) {
        mHeldDigests.resize(std::size_t{index} + 1);
    }
    mHeldDigests[index] = digest;
}

void StageWritePlan::forget(std::uint32_t index)
{
    if (index < mHeldDigests.size()) {
        mHeldDigests[index].clear();
    }
}

bool StageWritePlan::holds(std::string_view digest, std::uint32_t index) const
{
    return index < mHeldDigests.size() && mHeldDigests[index] == digest;
}

std::optional<StageWrite> StageWritePlan::next(std::span<const StageCandidate> candidates,
                                               bool isStageInUse)
{
    const StageCandidate *target = this->target(candidates);
    if (isStageInUse || target == nullptr) {
        return std::nullopt;
    }
    mTargetDigest = target->digest;
    if (!target->isWritable) {
        return std::nullopt;
    }
    for (std::uint32_t index = 0; index < target->has.size(); ++index) {
        if (target->has[index] && !holds(target->digest, index)) {
            return StageWrite{mTargetDigest, index};
        }
    }
    return std::nullopt;
}

// The version that a load needs first: the newest complete one, because its load only waits
// for this box's turn. Among incomplete ones it is the oldest, which is due earlier, unless
// another one is well ahead.
const StageCandidate *StageWritePlan::target(std::span<const StageCandidate> candidates) const
{
    const StageCandidate *best = nullptr;
    for (const StageCandidate &candidate : candidates) {
        if (progressOf(candidate) >= 1) {
            best = &candidate;
        }
    }
    if (best != nullptr || candidates.empty()) {
        return best;
    }
    const auto current = std::ranges::find(candidates, mTargetDigest, &StageCandidate::digest);
    best = current == candidates.end() ? &candidates.front() : &*current;
    for (const StageCandidate &candidate : candidates) {
        if (progressOf(candidate) >= progressOf(*best) + sMinLead) {
            best = &candidate;
        }
    }
    return best;
}

} // namespace Loom
