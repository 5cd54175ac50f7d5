/*
 * lifenotices.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "lifenotices.h"

namespace Loom {

NoticeChange LifeNotices::hear(const ReplicaNotice &notice, Instant now)
{
    NoticeChange change;
    change.hasBegunToLeave = notice.isLeaving && !mIsLeaving;
    mIsLeaving = mIsLeaving || notice.isLeaving;
    if (!notice.rest) {
        return change;
    }
    // Answers overtake one another: a shorter rest that comes later ends none.
    const Instant until = now + *notice.rest;
    change.isRestLonger = until > mRestsUntil;
    mRestsUntil = change.isRestLonger ? until : mRestsUntil;
    return change;
}

} // namespace Loom
