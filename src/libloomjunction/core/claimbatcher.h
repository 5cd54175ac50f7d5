/*
 * claimbatcher.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "wire.pb.h"

#include <cstddef>
#include <deque>
#include <string_view>
#include <utility>

namespace Loom {

/**
 * Collects claims into batches, so that the number of log appends depends on
 * the elapsed time and not on the number of calls. Performs no I/O: the owner
 * appends the batches returned by takeBatch().
 */
class ClaimBatcher
{
public:
    void add(wire::KeyClaim claim) { mPending.push_back(std::move(claim)); }
    bool isEmpty() const { return mPending.empty(); }
    /** Removes up to sMaxClaimsPerBatch pending claims and returns them as one record. */
    wire::ClaimBatch takeBatch(std::string_view writer, WallMilliseconds wallNow);

    static constexpr std::size_t sMaxClaimsPerBatch = 512;

private:
    std::deque<wire::KeyClaim> mPending;
};

} // namespace Loom
