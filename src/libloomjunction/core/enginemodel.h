/*
 * enginemodel.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "routetable.h"

namespace Loom {

/** What is known of an engine's work at the moment of a choice. */
struct EngineLoad
{
    double running = 0; ///< requests that write
    double waitingPrompts = 0; ///< requests whose prompts are still to be read
    double pace = 1; ///< above one: slower than its figures say
};

/**
 * Times of a model engine that works in passes: each pass reads the prompts
 * that wait, as far as there are free slots, and plays some token steps for
 * all that write. Built from the operators' own figures. All milliseconds.
 */
class EngineModel
{
public:
    explicit EngineModel(const EngineFigures &figures)
        : mFigures(figures)
    {
    }

    /** One pass for @p writers, without reading. */
    double passMs(double generating) const;
    /** The same with the prompts that are read in it while @p writers come and go. */
    double steadyPassMs(double generating) const;
    /** Reading a prompt of @p tokens. */
    double promptReadMs(double tokens) const;
    /** Mean time between two ends of requests at a full engine. */
    double completionIntervalMs() const;
    /** From the arrival of a request to its first event. @p promptTokens: zero for the usual. */
    double firstEventMs(const EngineLoad &work, double promptTokens) const;
    /** How many more such requests may come, each with its first event within @p limit. */
    double room(const EngineLoad &work, double promptTokens, double limit) const;

private:
    const EngineFigures &mFigures;
};

} // namespace Loom
