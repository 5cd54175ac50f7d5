/*
 * comeback.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "comeback.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr Milliseconds sPlainComeBack{100};
constexpr Milliseconds sNoneComeBack{400};
constexpr Milliseconds sLeastComeBack{150};
constexpr Milliseconds sMostComeBack{1'500};
// A caller's way here and back on a new connection.
constexpr double sReturnMs = 30;
// Sooner, a caller that returns would find what it found before.
constexpr double sLeastReturnMs = 40;
// A refused request comes back when a few turns are over.
constexpr double sComeBackFactor = 4;
// Callers wait for a third of the time they have left at most, whatever they are told.
constexpr double sHonoured = 1.0 / 3;
// The first of those that are told to come late, as a part of the longest wait. Spread
// over the rest of it, those who were refused together do not return together.
constexpr double sFirstLate = 0.5;

} // namespace

double ComeBack::random() const
{
    return static_cast<double>(mQuery.random % 1024) / 1024;
}

// The goal is missed whenever it returns, and a late answer is worth the same at any
// time: the later it comes, the likelier the rush or the gap is over.
Milliseconds ComeBack::late() const
{
    const double longest = static_cast<double>(mQuery.timeLeft.count()) * sHonoured;
    const double wait = longest * (sFirstLate + (1 - sFirstLate) * random());
    return std::max(sLeastComeBack, Milliseconds(static_cast<std::int64_t>(wait)));
}

Milliseconds ComeBack::afterNone() const
{
    if (mQuery.engine == nullptr || mQuery.timeLeft.count() <= 0) {
        return sNoneComeBack;
    }
    return late();
}

// Many wait for the first that takes requests again; they are spread behind it.
Milliseconds ComeBack::afterHold(Microseconds wait) const
{
    const auto first = std::chrono::ceil<Milliseconds>(wait);
    const auto spread = static_cast<std::int64_t>(static_cast<double>(first.count()) * random());
    return std::clamp(first + Milliseconds(spread), sLeastComeBack, sMostComeBack);
}

// Who can still make it is told to come back within the goal, once: places turn up all
// the time. Under a rush they are all taken, by callers who tried first.
Milliseconds ComeBack::afterBusy(double leastLoad, bool isShort) const
{
    if (mQuery.engine == nullptr) {
        return sPlainComeBack;
    }
    if (isShort && mQuery.timeLeft.count() > 0) {
        return late();
    }
    const EngineModel model(*mQuery.engine);
    const double left = static_cast<double>((mQuery.goal - mQuery.waited).count()) * sGoalUsed
        - model.firstEvent({}, mQuery.promptTokens) - sReturnMs;
    if (left >= sLeastReturnMs) {
        return Milliseconds(
            static_cast<std::int64_t>(sLeastReturnMs + (left - sLeastReturnMs) * random()));
    }
    const double over = std::max(0.0, leastLoad - 1) * mQuery.engine->slots;
    const double wait = (over + 1) * model.turn() * sComeBackFactor;
    const Milliseconds after(static_cast<std::int64_t>(wait * (0.75 + 0.5 * random())));
    return std::clamp(after, sLeastComeBack, sMostComeBack);
}

} // namespace Loom
