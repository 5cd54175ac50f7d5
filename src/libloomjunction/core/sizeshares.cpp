/*
 * sizeshares.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "sizeshares.h"

#include <algorithm>
#include <cmath>

namespace Loom {

namespace {

// How often a group's requests are served, relative to all. The required ratio is 0.8; the rest
// covers chance at gateways that get few large requests.
constexpr double sTargetRatio = 0.92;
// Below this fraction, attempts and requests are served about alike.
constexpr double sMinAdmitted = 0.05;
// Enough for a group's first request at a gateway to take its place.
constexpr double sInitialCredit = 0.5;

} // namespace

// With two attempts, a request is served with the probability 1 - (1 - p)^2, where p is that of
// an attempt. Solves 1 - (1 - f p)^2 = r (1 - (1 - p)^2) for f.
double SizeShares::requiredFraction(double admitted)
{
    const double p = std::clamp(admitted, sMinAdmitted, 1.0);
    const double served = 1 - (1 - p) * (1 - p);
    return (1 - std::sqrt(1 - sTargetRatio * served)) / p;
}

double SizeShares::credit(const Group &group) const
{
    const auto it = mCredits.find(group);
    return it == mCredits.end() ? sInitialCredit : it->second;
}

bool SizeShares::isDue(const Group &group, double admitted) const
{
    return group.band > SizeBand::UpToMean && credit(group) + requiredFraction(admitted) >= 1;
}

// The credit never falls below zero: places that a group took beyond its share while it fitted
// into them are no reason to pass it over later.
void SizeShares::noteOffer(const Group &group, double admitted, bool isTaken)
{
    if (group.band <= SizeBand::UpToMean) {
        return; // never late for its size
    }
    const double change = requiredFraction(admitted) - (isTaken ? 1 : 0);
    mCredits[group] = std::max(0.0, credit(group) + change);
}

} // namespace Loom
