/*
 * loopwatch.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "loopwatch.h"

#include "clock.h"
#include "jsonlog.h"
#include "metrics.h"

#include <algorithm>
#include <ctime>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// Twenty wake-ups a second measure a standstill to within a twentieth of a second.
constexpr Milliseconds sLookEvery{50};
// Longer than an answer of a near agent or gateway takes: whoever waited for this
// process could tell.
constexpr Milliseconds sStoodStill{100};
// The two clocks are read one after the other, and the process may get no processor between.
constexpr Milliseconds sLeastSleep{500};
// A step is named as the cause only where it took at least this part of the wait.
constexpr int sNamedPart = 2;

Microseconds processorTime()
{
    timespec time{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    const auto exact = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return std::chrono::duration_cast<Microseconds>(exact);
}

} // namespace

LoopWatch::LoopWatch(Metrics &metrics)
    : mMetrics(metrics)
{
}

tl::expected<void, std::string> LoopWatch::start(Kernel &kernel)
{
    asio::co_spawn(kernel.executor(), watch(), asio::detached);
    return {};
}

awaitable<void> LoopWatch::watch()
{
    while (!mStopped) {
        const Instant begun = now();
        const auto begunAwake = std::chrono::steady_clock::now();
        const Microseconds usedBefore = processorTime();
        co_await sleepFor(sLookEvery);
        const auto awake = std::chrono::duration_cast<Microseconds>(std::chrono::steady_clock::now()
                                                                    - begunAwake);
        lookForSleep(now() - begun - awake);
        look(std::max(awake - sLookEvery, Microseconds(0)), processorTime() - usedBefore);
    }
}

void LoopWatch::lookForSleep(Microseconds slept)
{
    if (slept < sLeastSleep) {
        return;
    }
    mLastSleep = std::chrono::duration_cast<Milliseconds>(slept);
    mMetrics.count("box_suspended");
    logLine(LogLevel::Warning, "box-was-suspended", {{"ms", mLastSleep->count()}});
}

void LoopWatch::look(Microseconds late, Microseconds processorTime)
{
    const LoopStepTime longest = LoopStep::takeLongest();
    mMetrics.observe("loop_late_ms", "", static_cast<double>(late.count()) / 1'000);
    if (late < sStoodStill) {
        return;
    }
    const bool isCause = longest.took * sNamedPart >= late;
    mLastStall = {std::chrono::duration_cast<Milliseconds>(late),
                  std::chrono::duration_cast<Milliseconds>(processorTime),
                  isCause ? longest.name : std::string_view()};
    mMetrics.count("loop_stood_still", mLastStall->in);
    logLine(LogLevel::Warning, "loop-stood-still",
            {{"ms", mLastStall->late.count()},
             {"cpuMs", mLastStall->processorTime.count()},
             {"in", mLastStall->in}});
}

} // namespace Loom
