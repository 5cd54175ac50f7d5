/*
 * bootclock.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <chrono>
#include <string>

#include <boost/asio/basic_waitable_timer.hpp>

namespace Loom {

/**
 * Time since the box was started, that in which it was suspended included. Whatever is
 * compared with what others do meanwhile is counted by it: the monotonic clock stands
 * still while others go on.
 */
struct BootClock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;

    /** Where the time comes from. */
    using Source = duration (*)();
    /** For tests: null is the box itself. */
    static void setSource(Source source);
};

/** Identifies the boot from which BootClock counts; empty if the system does not tell. */
std::string bootId();

/** Its time may come while the box is suspended; it fires soon after the wake then. */
using BootTimer = boost::asio::basic_waitable_timer<BootClock>;

} // namespace Loom
