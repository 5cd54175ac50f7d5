/*
 * pulltimes.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

namespace Loom {

/**
 * Judges whether announced pulls from the origin are late, by the times that other pulls of
 * the same version took. Owned by a ChunkPlan.
 */
class PullTimes
{
public:
    /** @p maxTimeout: upper bound of both timeouts, used until a pull was observed. */
    explicit PullTimes(Microseconds maxTimeout)
        : mMaxTimeout(maxTimeout)
    {
    }

    /** A pull that started at @p startedAt ended at @p now with its chunk. */
    void noteDone(Instant startedAt, Instant now);
    /** An owner announced a pull @p delay after its chunk's turn. */
    void noteStart(Microseconds delay);

    /** When an open pull counts as failed; @p isAlone: no other open pull is known. */
    Instant deadline(Instant startedAt, bool isAlone) const;
    /** Upper bound of the time from a chunk's turn until its owner announces the pull. */
    Microseconds startTimeout() const;

private:
    Microseconds mMaxTimeout;
    Microseconds mMaxDuration{0};
    Microseconds mMaxStartDelay{0};
    Instant mNewestDoneStart; ///< start of the latest started pull that has ended
};

} // namespace Loom
