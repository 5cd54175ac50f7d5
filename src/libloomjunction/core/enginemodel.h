/*
 * enginemodel.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "routetable.h"

#include <cstdint>

namespace Loom {

/** Load of an engine at the time of a choice. */
struct EngineLoad
{
    double running = 0; ///< requests that generate tokens
    double waitingPrompts = 0; ///< requests whose prompts have not been read yet
    double pace = 1; ///< slowdown against the configured figures; one: none
    double waitingTokens = 0; ///< of the waiting prompts; zero: unknown
};

/**
 * Timing model of an inference engine that works in passes. Each pass reads waiting
 * prompts, as far as slots are free, and runs some token steps for all requests that
 * generate. The figures come from the operator's configuration; all times are in
 * milliseconds.
 */
class EngineModel
{
public:
    explicit EngineModel(const EngineProfile &figures)
        : mFigures(figures)
    {
    }

    /** Duration of a pass with @p generating requests, without reading prompts. */
    double passMs(double generating) const;
    /** Duration of a pass at a steady load, with the prompts of requests that replace others. */
    double steadyPassMs(double generating) const;
    /** Time to read a prompt of @p tokens. */
    double promptReadMs(double tokens) const;
    /** Mean time between two completions at a full engine. */
    double completionIntervalMs() const;
    /** Time from a request's arrival to its first event. @p promptTokens: zero for the usual. */
    double firstEventMs(const EngineLoad &load, double promptTokens) const;
    /** Number of further such requests that get their first event within @p limit. */
    double room(const EngineLoad &load, double promptTokens, double limit) const;
    /** @p tokens, or zero for unknown if @p prompts of this engine cannot have so many. */
    std::uint64_t knownTokens(std::uint64_t tokens, std::uint32_t prompts) const;

private:
    const EngineProfile &mFigures;
};

} // namespace Loom
