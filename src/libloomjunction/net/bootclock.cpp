/*
 * bootclock.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "bootclock.h"

#include <ctime>
#include <fstream>

namespace Loom {

namespace {

std::chrono::nanoseconds ownTime()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

// One thread runs everything that asks.
BootClock::Source sSource = ownTime;

} // namespace

BootClock::time_point BootClock::now() noexcept
{
    return time_point(sSource());
}

void BootClock::setSource(Source source)
{
    sSource = source == nullptr ? ownTime : source;
}

std::string bootId()
{
    std::ifstream file("/proc/sys/kernel/random/boot_id");
    std::string id;
    file >> id;
    return id;
}

} // namespace Loom
