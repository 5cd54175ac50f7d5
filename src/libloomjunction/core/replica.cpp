/*
 * replica.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "replica.h"

#include <algorithm>

namespace Loom {

std::string_view unavailableReasonName(UnavailableReason reason)
{
    switch (reason) {
    case UnavailableReason::Nothing:
        return "";
    case UnavailableReason::Gone:
        return "gone";
    case UnavailableReason::Displaced:
        return "displaced";
    case UnavailableReason::Draining:
        return "draining";
    case UnavailableReason::Leaving:
        return "leaving";
    case UnavailableReason::Resting:
        return "resting";
    case UnavailableReason::Evacuated:
        return "evacuated";
    }
    return "";
}

UnavailableReason Replica::unavailableReason(Instant now) const
{
    if (record.isDraining) {
        return UnavailableReason::Draining;
    }
    if (removedAt != Instant() && removedAt <= now) {
        return UnavailableReason::Gone;
    }
    if (now < displacedUntil) {
        return UnavailableReason::Displaced;
    }
    if (notices.isLeaving()) {
        return UnavailableReason::Leaving;
    }
    // An evacuation outlasts a rest, after which the replica would count as usable again.
    if (isEvacuated) {
        return UnavailableReason::Evacuated;
    }
    return notices.isResting(now) ? UnavailableReason::Resting : UnavailableReason::Nothing;
}

double Replica::heldRequests() const
{
    if (!load) {
        return inFlight;
    }
    return static_cast<double>(load->running) + load->waiting + startedSinceReport;
}

void Replica::lowerConcurrencyLimit(Instant now)
{
    const double held = heldRequests() - 1;
    const bool wasHalfFull = 2 * held >= record.slots;
    concurrencyLimit.lower(wasHalfFull ? held : inFlight - 1.0, record.slots, now);
}

bool Replica::isAtConcurrencyLimit(Instant now) const
{
    const auto limit = concurrencyLimit.limit(now);
    const double counted = concurrencyLimit.appliesToAllGateways() ? heldRequests() : inFlight;
    return limit && counted + 1 > *limit;
}

Instant Replica::availableAt(Instant now) const
{
    const Instant restEnd = notices.isResting(now) ? notices.restingUntil() : Instant();
    return std::max(restEnd, isRateLimited(now) ? rateLimitedUntil : Instant());
}

} // namespace Loom
