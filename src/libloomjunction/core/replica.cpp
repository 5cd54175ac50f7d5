/*
 * replica.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "replica.h"

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
    return notices.isLeaving() ? HeldBack::Leaving : HeldBack::Nothing;
}

} // namespace Loom
