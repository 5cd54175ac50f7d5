/*
 * provenparts.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "quarantinesubject.h"

#include <list>
#include <map>

namespace Loom {

/**
 * Prompt parts with which requests have succeeded lately. Limited in number; the part that
 * succeeded least recently is forgotten first. Owned by a Quarantine.
 */
class ProvenParts
{
public:
    explicit ProvenParts(std::size_t maxParts)
        : mMaxParts(maxParts)
    {
    }

    void note(const PromptPart &part, Instant now);
    bool contains(const PromptPart &part) const { return mPositions.contains(part); }
    std::size_t size() const { return mPositions.size(); }
    /** Forgets the parts that have not succeeded since @p time. */
    void forgetBefore(Instant time);

private:
    struct Success
    {
        PromptPart part;
        Instant at;
    };

    void forgetOldest();

    std::size_t mMaxParts;
    std::list<Success> mSuccesses; ///< oldest first
    std::map<PromptPart, std::list<Success>::iterator> mPositions;
};

} // namespace Loom
