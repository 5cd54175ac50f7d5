/*
 * answermemory.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "answermemory.h"

#include <utility>

namespace Loom {

AnswerMemory::Share::Share(AnswerMemory &memory, bool hasLength, std::function<void()> onGivenUp)
    : mMemory(memory)
    , mHasLength(hasLength)
    , mOnGivenUp(std::move(onGivenUp))
{
    mMemory.mShares.insert(this);
}

AnswerMemory::Share::~Share()
{
    mMemory.mBytes -= mBytes;
    mMemory.mShares.erase(this);
}

bool AnswerMemory::Share::resize(std::size_t bytes)
{
    if (mIsGivenUp) {
        return false;
    }
    mMemory.mBytes += bytes - mBytes;
    mBytes = bytes;
    while (mMemory.mBytes > mMemory.mMaxBytes) {
        Share *share = mMemory.nextToGiveUp();
        if (share == nullptr) {
            share = this;
        }
        share->mIsGivenUp = true;
        mMemory.mBytes -= std::exchange(share->mBytes, 0);
        if (share == this) {
            return false;
        }
        share->mOnGivenUp();
    }
    return true;
}

AnswerMemory::Share *AnswerMemory::nextToGiveUp() const
{
    Share *next = nullptr;
    for (Share *share : mShares) {
        if (share->mIsSettled || share->mIsGivenUp) {
            continue;
        }
        const bool isFirst = next == nullptr || (next->mHasLength && !share->mHasLength);
        const bool isLarger = next != nullptr && next->mHasLength == share->mHasLength
            && share->mBytes > next->mBytes;
        if (isFirst || isLarger) {
            next = share;
        }
    }
    return next;
}

} // namespace Loom
