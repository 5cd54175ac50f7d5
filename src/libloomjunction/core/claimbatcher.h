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
 * Gathers claims into one append at a time, so that appends grow with time
 * and not with calls. Pure: the shell sends what take() hands out.
 */
class ClaimBatcher
{
public:
    void add(wire::KeyClaim claim) { mPending.push_back(std::move(claim)); }
    bool isEmpty() const { return mPending.empty(); }
    /** Up to sMaxClaimsPerBatch waiting claims as one record. */
    wire::ClaimBatch takeBatch(std::string_view writer, WallMilliseconds wallNow);

    static constexpr std::size_t sMaxClaimsPerBatch = 512;

private:
    std::deque<wire::KeyClaim> mPending;
};

} // namespace Loom
