/*
 * choicerandom.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace Loom {

/** Deterministic random numbers for one choice. Their statistical quality does not matter. */
class ChoiceRandom
{
public:
    explicit ChoiceRandom(std::uint64_t seed)
        : mState(seed)
    {
    }

    std::uint64_t next()
    {
        mState = mState * 6364136223846793005ULL + 1442695040888963407ULL;
        return mState >> 33;
    }

    /** Returns a number from 0 up to, but not including, 1. */
    double nextFraction() { return static_cast<double>(next()) / sRange; }

    template <class Item> void shuffle(std::vector<Item> &items)
    {
        for (std::size_t i = 0; i + 1 < items.size(); ++i) {
            std::swap(items[i], items[i + next() % (items.size() - i)]);
        }
    }

private:
    static constexpr double sRange = 2147483648.0;

    std::uint64_t mState;
};

} // namespace Loom
