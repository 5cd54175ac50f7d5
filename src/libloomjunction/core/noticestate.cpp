/*
 * noticestate.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "noticestate.h"

namespace Loom {

NoticeChange NoticeState::apply(const ReplicaNotice &notice, Instant now)
{
    NoticeChange change;
    change.hasStartedLeaving = notice.isLeaving && !mIsLeaving;
    mIsLeaving = mIsLeaving || notice.isLeaving;
    if (!notice.rest) {
        return change;
    }
    // Answers may arrive out of order, so a shorter rest never ends a longer one.
    const Instant until = now + *notice.rest;
    change.isRestExtended = until > mRestingUntil;
    mRestingUntil = change.isRestExtended ? until : mRestingUntil;
    return change;
}

} // namespace Loom
