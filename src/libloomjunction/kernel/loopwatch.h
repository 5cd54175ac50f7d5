/*
 * loopwatch.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "kernel.h"
#include "loopstep.h"

#include <optional>
#include <string_view>

namespace Loom {

class Metrics;

/** A time in which the event loop ran nothing that was due. */
struct LoopStall
{
    Milliseconds late{0}; ///< how much later than due the loop looked at its timers
    Milliseconds processorTime{0}; ///< of the process, since the look before
    std::string_view in; ///< the step that took most of it; empty: unknown
};

/**
 * Notices when the event loop of this process stood still: a timer that runs
 * later than it was due says for how long everything else waited, too. The
 * processor time tells work (as much as the wait) from a process that got no
 * processor (far less).
 */
class LoopWatch final : public Service
{
public:
    static constexpr std::string_view sName = "loop-watch";

    explicit LoopWatch(Metrics &metrics);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override { mStopped = true; }

    /** The last time that it stood still for long enough to be logged. */
    const std::optional<LoopStall> &lastStall() const { return mLastStall; }
    /** How long the box was suspended the last time that it was. */
    const std::optional<Milliseconds> &lastSleep() const { return mLastSleep; }

private:
    awaitable<void> watch();
    void look(Microseconds late, Microseconds processorTime);
    void lookForSleep(Microseconds slept);

    Metrics &mMetrics;
    std::optional<LoopStall> mLastStall;
    std::optional<Milliseconds> mLastSleep;
    bool mStopped = false;
};

} // namespace Loom
