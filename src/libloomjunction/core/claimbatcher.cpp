/*
 * claimbatcher.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "claimbatcher.h"

#include <algorithm>
#include <string>

namespace Loom {

wire::ClaimBatch ClaimBatcher::takeBatch(std::string_view writer, WallMilliseconds wallNow)
{
    wire::ClaimBatch batch;
    batch.set_writer(std::string(writer));
    batch.set_written_at_ms(static_cast<std::uint64_t>(wallNow.count()));
    const std::size_t count = std::min(mPending.size(), sMaxClaimsPerBatch);
    for (std::size_t i = 0; i < count; ++i) {
        *batch.add_claims() = std::move(mPending.front());
        mPending.pop_front();
    }
    return batch;
}

} // namespace Loom
