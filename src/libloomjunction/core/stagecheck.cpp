/*
 * stagecheck.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "stagecheck.h"

#include <algorithm>

namespace Loom {

void StageCheck::noteIntact(std::uint32_t index, Instant requestedAt)
{
    mReadAt.at(index) = requestedAt;
}

void StageCheck::noteCorrupt(std::uint32_t index)
{
    mReadAt.at(index).reset();
}

std::vector<std::uint32_t> StageCheck::chunksReadBefore(Instant since) const
{
    std::vector<std::uint32_t> indexes;
    for (std::uint32_t index = 0; index < mReadAt.size(); ++index) {
        if (!mReadAt[index] || *mReadAt[index] < since) {
            indexes.push_back(index);
        }
    }
    return indexes;
}

std::optional<Instant> StageCheck::oldestRead() const
{
    // An empty optional is less than any value.
    return mReadAt.empty() ? std::nullopt : *std::ranges::min_element(mReadAt);
}

bool StageCheck::holdsAt(Instant act, Milliseconds maxAge) const
{
    const auto oldest = oldestRead();
    return oldest && act - *oldest <= maxAge;
}

} // namespace Loom
