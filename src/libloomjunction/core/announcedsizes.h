/*
 * announcedsizes.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstdint>
#include <deque>

namespace Loom {

/** Largest number of prompt tokens that is taken as valid if the engine's cache size is unknown. */
inline constexpr std::uint64_t sMaxPromptTokens = 10'000'000;

/**
 * Prompt sizes of the last requests that gateways announced for an engine. Estimates the
 * tokens of the prompts that wait there.
 */
class AnnouncedSizes
{
public:
    /** Number of announcements that are kept. */
    static constexpr std::size_t sMaxCount = 256;

    /** Notes an announced request with @p tokens in its prompt; zero: unknown. */
    void note(std::uint64_t tokens);
    /**
     * Tokens of the newest @p waiting requests. Those of unknown size count with the mean of the
     * known ones. Returns zero if no size is known.
     */
    std::uint64_t waitingTokens(std::uint32_t waiting) const;

private:
    std::deque<std::uint64_t> mTokens; ///< oldest first; zero: unknown
};

} // namespace Loom
