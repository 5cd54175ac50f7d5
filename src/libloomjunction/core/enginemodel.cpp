/*
 * enginemodel.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "enginemodel.h"

#include "announcedsizes.h"

#include <algorithm>

namespace Loom {

namespace {

// Requests arrive in the middle of a pass on average.
constexpr double sMeanPassFraction = 0.5;
constexpr double sTokensPerK = 1'000;

} // namespace

double EngineModel::passMs(double generating) const
{
    const double context
        = (mFigures.meanPromptTokens + mFigures.meanAnswerTokens / 2) / sTokensPerK;
    const double perRequest = mFigures.perSequenceMs + mFigures.contextMsPer1kTokens * context;
    return mFigures.stepsPerPass * (mFigures.stepMs + generating * perRequest);
}

double EngineModel::steadyPassMs(double generating) const
{
    const double events = mFigures.meanAnswerTokens / std::max(mFigures.stepsPerPass, 1U);
    const double startedPerPass = events > 0 ? generating / events : 0;
    return passMs(generating) + startedPerPass * promptReadMs(mFigures.meanPromptTokens);
}

double EngineModel::promptReadMs(double tokens) const
{
    return mFigures.prefillTokensPerMs > 0 ? tokens / mFigures.prefillTokensPerMs : 0;
}

double EngineModel::completionIntervalMs() const
{
    if (mFigures.slots == 0 || mFigures.stepsPerPass == 0) {
        return 0;
    }
    const double stepMs = passMs(mFigures.slots) / mFigures.stepsPerPass;
    return promptReadMs(mFigures.meanPromptTokens)
        + mFigures.meanAnswerTokens * stepMs / mFigures.slots;
}

double EngineModel::firstEventMs(const EngineLoad &load, double promptTokens) const
{
    const double slots = std::max<std::uint32_t>(mFigures.slots, 1);
    const double total = load.running + load.waitingPrompts;
    const double queued = std::max(0.0, total + 1 - slots);
    // The next pass reads only the prompts of requests that find a free slot.
    const double promptsBefore = std::max(0.0, load.waitingPrompts - queued);
    const double tokens = promptTokens > 0 ? promptTokens : mFigures.meanPromptTokens;
    const double tokensBefore = load.waitingTokens > 0 && load.waitingPrompts > 0
        ? load.waitingTokens / load.waitingPrompts
        : mFigures.meanPromptTokens;
    const double reading = promptsBefore * promptReadMs(tokensBefore) + promptReadMs(tokens);
    const double waiting = queued * completionIntervalMs();
    const double passes
        = sMeanPassFraction * steadyPassMs(load.running) + passMs(std::min(total + 1, slots));
    return load.pace * (waiting + passes + reading);
}

double EngineModel::room(const EngineLoad &load, double promptTokens, double limit) const
{
    EngineLoad withMore = load;
    double room = 0;
    while (room < mFigures.slots && firstEventMs(withMore, promptTokens) <= limit) {
        withMore.waitingPrompts += 1;
        if (withMore.waitingTokens > 0) {
            withMore.waitingTokens += mFigures.meanPromptTokens;
        }
        room += 1;
    }
    return room;
}

// A single absurd size would make a replica look full to all gateways.
std::uint64_t EngineModel::knownTokens(std::uint64_t tokens, std::uint32_t prompts) const
{
    const std::uint64_t limit
        = mFigures.kvCacheTokens > 0 ? mFigures.kvCacheTokens : sMaxPromptTokens;
    return prompts > 0 && tokens / prompts <= limit ? tokens : 0;
}

} // namespace Loom
