/*
 * runtest.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"

#include <exception>
#include <functional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace Loom {

/** Runs @p context until @p test has ended. Throws what the test throws. */
inline void runTest(asio::io_context &context, std::function<awaitable<void>()> test)
{
    std::exception_ptr thrown;
    asio::co_spawn(context, std::move(test), [&](std::exception_ptr error) {
        thrown = error;
        context.stop();
    });
    context.run();
    if (thrown) {
        std::rethrow_exception(thrown);
    }
}

} // namespace Loom
