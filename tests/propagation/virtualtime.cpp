/*
 * virtualtime.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "virtualtime.h"

#include "clock.h"

#include <algorithm>
#include <cstdint>

#include <sched.h>
#include <sys/syscall.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

namespace {

constexpr std::int64_t sNanosecondsPerSecond = 1'000'000'000;
constexpr std::int64_t sStepNanoseconds = 1'000'000;
constexpr int sIdlePolls = 3;

bool sIsActive = false;
std::int64_t sNow = 0; ///< nanoseconds
std::int64_t sNextTimer = 0; ///< nanoseconds; when the earliest timer of the io_context expires

timespec toTimespec(std::int64_t nanoseconds)
{
    return {nanoseconds / sNanosecondsPerSecond, nanoseconds % sNanosecondsPerSecond};
}

std::int64_t fromTimespec(const timespec &time)
{
    return time.tv_sec * sNanosecondsPerSecond + time.tv_nsec;
}

} // namespace

// These definitions replace those of the C library in this test program only.
extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    if (!sIsActive) {
        return static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
    }
    *time = toTimespec(sNow);
    return 0;
}

// The io_context tells here how long it would sleep. Its timer descriptor is made ready at once, so
// that the timers are compared with the simulated time at every poll.
extern "C" int timerfd_settime(int descriptor, int flags, const itimerspec *next,
                               itimerspec *previous) noexcept
{
    if (!sIsActive) {
        return static_cast<int>(::syscall(SYS_timerfd_settime, descriptor, flags, next, previous));
    }
    const bool isExpired = (flags & TFD_TIMER_ABSTIME) != 0;
    sNextTimer = isExpired ? sNow : sNow + fromTimespec(next->it_value);
    const itimerspec atOnce{{0, 0}, {0, 1}};
    return static_cast<int>(::syscall(SYS_timerfd_settime, descriptor, 0, &atOnce, previous));
}

namespace Loom {

VirtualTime::VirtualTime()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    sNow = fromTimespec(time);
    sNextTimer = sNow;
    sIsActive = true;
}

VirtualTime::~VirtualTime()
{
    sIsActive = false;
}

bool VirtualTime::run(boost::asio::io_context &context, Milliseconds maxDuration,
                      const std::function<bool()> &isDone)
{
    const Instant until = now() + maxDuration;
    while (now() < until && !isDone()) {
        context.restart();
        // Bytes of a loopback connection may become readable shortly after they were written.
        int idlePollCount = 0;
        while (idlePollCount < sIdlePolls) {
            const bool hasWorked = context.poll() > 0;
            idlePollCount = hasWorked ? 0 : idlePollCount + 1;
            ::sched_yield();
        }
        sNow = std::max(sNow + sStepNanoseconds, sNextTimer);
    }
    return isDone();
}

} // namespace Loom
