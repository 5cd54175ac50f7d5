/*
 * stagecheck.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Loom {

/**
 * Evidence that the staged chunks of one version are intact. A chunk is known to be intact as of
 * the time at which the read that showed it was requested, and may have turned corrupt at any time
 * since. The evidence has an age rather than a result: whoever acts on it states the time of the
 * act.
 */
class StageCheck
{
public:
    explicit StageCheck(std::size_t chunkCount)
        : mReadAt(chunkCount)
    {
    }

    /** The chunk was intact; @p requestedAt is the time at which its read was requested. */
    void noteIntact(std::uint32_t index, Instant requestedAt);
    /** The chunk was corrupt or could not be read. */
    void noteCorrupt(std::uint32_t index);

    /** Indexes of the chunks that are not known to have been intact at @p since or later. */
    std::vector<std::uint32_t> chunksReadBefore(Instant since) const;
    /** When the oldest of the evidence was requested; nothing unless all chunks were intact. */
    std::optional<Instant> oldestRead() const;
    /** Whether all chunks were intact at some time within @p maxAge before @p act. */
    bool holdsAt(Instant act, Milliseconds maxAge) const;

private:
    std::vector<std::optional<Instant>> mReadAt; ///< by chunk index
};

} // namespace Loom
