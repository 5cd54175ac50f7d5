/*
 * answermemory.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstddef>
#include <functional>
#include <set>

namespace Loom {

/**
 * Limits the bytes of all answers that the calls of a gateway keep at the same time. When they
 * exceed the limit, the largest answer that is still arriving is given up; one that states its
 * length is given up last. One thread only.
 */
class AnswerMemory
{
public:
    /** The bytes of one answer; released at the end of its life. */
    class Share
    {
    public:
        /** @p onGivenUp is called at most once, from a resize() of any share but this. */
        Share(AnswerMemory &memory, bool hasLength, std::function<void()> onGivenUp);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /** Sets the number of bytes kept; false: the answer has to be given up. */
        bool resize(std::size_t bytes);
        /** The answer is complete, and is not given up any more. */
        void settle() { mIsSettled = true; }
        bool isGivenUp() const { return mIsGivenUp; }

    private:
        friend class AnswerMemory;

        AnswerMemory &mMemory;
        const bool mHasLength;
        std::function<void()> mOnGivenUp;
        std::size_t mBytes = 0;
        bool mIsSettled = false;
        bool mIsGivenUp = false;
    };

    explicit AnswerMemory(std::size_t maxBytes)
        : mMaxBytes(maxBytes)
    {
    }

    std::size_t bytes() const { return mBytes; }

private:
    Share *nextToGiveUp() const;

    const std::size_t mMaxBytes;
    std::size_t mBytes = 0;
    std::set<Share *> mShares;
};

} // namespace Loom
