/*
 * virtualtime.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <functional>

#include <boost/asio/io_context.hpp>

namespace Loom {

/**
 * Simulated time for one io_context: while an object lives, the clocks of this process stand
 * still and advance to the next timer whenever there is nothing left to do. Sockets must be
 * those of the same io_context, over loopback.
 */
class VirtualTime
{
public:
    VirtualTime();
    ~VirtualTime();
    VirtualTime(const VirtualTime &) = delete;
    VirtualTime &operator=(const VirtualTime &) = delete;

    /** Runs @p context for @p maxDuration of simulated time, or until @p isDone; returns the
     * latter. */
    bool run(boost::asio::io_context &context, Milliseconds maxDuration,
             const std::function<bool()> &isDone);
};

} // namespace Loom
