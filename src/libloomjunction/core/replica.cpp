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

std::string_view heldBackName(HeldBack held)
{
    switch (held) {
    case HeldBack::Nothing:
        return "";
    case HeldBack::Gone:
        return "gone";
    case HeldBack::Draining:
        return "draining";
    case HeldBack::Leaving:
        return "leaving";
    case HeldBack::Resting:
        return "resting";
    }
    return "";
}

HeldBack Replica::heldBack(Instant now) const
{
    if (record.isDraining) {
        return HeldBack::Draining;
    }
    if (goneAt != Instant() && goneAt <= now) {
        return HeldBack::Gone;
    }
    if (notices.isLeaving()) {
        return HeldBack::Leaving;
    }
    return notices.isResting(now) ? HeldBack::Resting : HeldBack::Nothing;
}

double Replica::held() const
{
    if (!load) {
        return inFlight;
    }
    return static_cast<double>(load->running) + load->waiting + startedSince;
}

Instant Replica::opensAt(Instant now) const
{
    const Instant rested = notices.isResting(now) ? notices.restsUntil() : Instant();
    return std::max(rested, isHeldUp(now) ? noPermitUntil : Instant());
}

} // namespace Loom
