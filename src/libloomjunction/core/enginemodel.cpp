/*
 * enginemodel.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "enginemodel.h"

#include <algorithm>

namespace Loom {

namespace {

// A request comes somewhere within a pass, on average in its middle.
constexpr double sMeanPassFraction = 0.5;
constexpr double sTokensPerK = 1'000;

} // namespace

double EngineModel::passMs(double generating) const
{
    const double context = (mFigures.usualPrompt + mFigures.usualAnswer / 2) / sTokensPerK;
    const double perWriter = mFigures.perSequenceMs + mFigures.contextMsPerK * context;
    return mFigures.stepsPerPass * (mFigures.stepMs + generating * perWriter);
}

double EngineModel::steadyPassMs(double generating) const
{
    const double events = mFigures.usualAnswer / std::max(mFigures.stepsPerPass, 1U);
    const double begun = events > 0 ? generating / events : 0;
    return passMs(generating) + begun * promptReadMs(mFigures.usualPrompt);
}

double EngineModel::promptReadMs(double tokens) const
{
    return mFigures.readTokensPerMs > 0 ? tokens / mFigures.readTokensPerMs : 0;
}

double EngineModel::completionIntervalMs() const
{
    if (mFigures.slots == 0 || mFigures.stepsPerPass == 0) {
        return 0;
    }
    const double step = passMs(mFigures.slots) / mFigures.stepsPerPass;
    return promptReadMs(mFigures.usualPrompt) + mFigures.usualAnswer * step / mFigures.slots;
}

double EngineModel::firstEventMs(const EngineLoad &work, double promptTokens) const
{
    const double slots = std::max<std::uint32_t>(mFigures.slots, 1);
    const double total = work.running + work.waitingPrompts;
    const double queued = std::max(0.0, total + 1 - slots);
    // Only those that find a slot are read in the next pass.
    const double readBefore = std::max(0.0, work.waitingPrompts - queued);
    const double tokens = promptTokens > 0 ? promptTokens : mFigures.usualPrompt;
    const double reading = readBefore * promptReadMs(mFigures.usualPrompt) + promptReadMs(tokens);
    const double waiting = queued * completionIntervalMs();
    const double passes
        = sMeanPassFraction * steadyPassMs(work.running) + passMs(std::min(total + 1, slots));
    return work.pace * (waiting + passes + reading);
}

double EngineModel::room(const EngineLoad &work, double promptTokens, double limit) const
{
    EngineLoad with = work;
    double room = 0;
    while (room < mFigures.slots && firstEventMs(with, promptTokens) <= limit) {
        with.waitingPrompts += 1;
        room += 1;
    }
    return room;
}

} // namespace Loom
