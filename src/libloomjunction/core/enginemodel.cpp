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
constexpr double sMiddle = 0.5;
constexpr double sPerThousand = 1'000;

} // namespace

double EngineModel::pass(double writers) const
{
    const double context
        = (mFigures.meanPromptTokens + mFigures.meanAnswerTokens / 2) / sPerThousand;
    const double perWriter = mFigures.perSequenceMs + mFigures.contextMsPer1kTokens * context;
    return mFigures.stepsPerPass * (mFigures.stepMs + writers * perWriter);
}

double EngineModel::steadyPass(double writers) const
{
    const double events = mFigures.meanAnswerTokens / std::max(mFigures.stepsPerPass, 1U);
    const double begun = events > 0 ? writers / events : 0;
    return pass(writers) + begun * read(mFigures.meanPromptTokens);
}

double EngineModel::read(double tokens) const
{
    return mFigures.prefillTokensPerMs > 0 ? tokens / mFigures.prefillTokensPerMs : 0;
}

double EngineModel::turn() const
{
    if (mFigures.slots == 0 || mFigures.stepsPerPass == 0) {
        return 0;
    }
    const double step = pass(mFigures.slots) / mFigures.stepsPerPass;
    return read(mFigures.meanPromptTokens) + mFigures.meanAnswerTokens * step / mFigures.slots;
}

double EngineModel::firstEvent(const EngineWork &work, double promptTokens) const
{
    const double slots = std::max<std::uint32_t>(mFigures.slots, 1);
    const double total = work.running + work.unread;
    const double queued = std::max(0.0, total + 1 - slots);
    // Only those that find a slot are read in the next pass.
    const double readBefore = std::max(0.0, work.unread - queued);
    const double tokens = promptTokens > 0 ? promptTokens : mFigures.meanPromptTokens;
    const double reading = readBefore * read(mFigures.meanPromptTokens) + read(tokens);
    const double waiting = queued * turn();
    const double passes = sMiddle * steadyPass(work.running) + pass(std::min(total + 1, slots));
    return work.pace * (waiting + passes + reading);
}

double EngineModel::room(const EngineWork &work, double promptTokens, double limit) const
{
    EngineWork with = work;
    double room = 0;
    while (room < mFigures.slots && firstEvent(with, promptTokens) <= limit) {
        with.unread += 1;
        room += 1;
    }
    return room;
}

} // namespace Loom
