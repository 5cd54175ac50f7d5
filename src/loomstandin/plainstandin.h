/*
 * plainstandin.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomstandin).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "http.h"
#include "instant.h"

#include <cstdint>
#include <map>
#include <string>

namespace Loom {

/** Stands in for a plain service; counts how often each call ran, by the "id" in its body. */
class PlainStandIn
{
public:
    explicit PlainStandIn(Milliseconds delay)
        : mDelay(delay)
    {
    }

    awaitable<void> handle(HttpExchange &exchange);

private:
    awaitable<void> run(HttpExchange &exchange);
    awaitable<void> control(HttpExchange &exchange);

    Milliseconds mDelay;
    std::map<std::string, std::int64_t> mRuns;
    std::int64_t mCutsAfterRun = 0;
};

} // namespace Loom
