/*
 * liststandin.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomstandin).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "http.h"
#include "instant.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <boost/json.hpp>

namespace Loom {

/** Stands in for the platform's list of live and leaving boxes, which lags. */
class ListStandIn
{
public:
    struct Options
    {
        Milliseconds lag{1'000};
        Milliseconds probeEvery{1'000}; ///< zero: boxes are never probed
    };

    explicit ListStandIn(Options options);

    awaitable<void> handle(HttpExchange &exchange);
    /** Notices dead boxes, as the platform would. Runs for ever. */
    awaitable<void> probeLoop();

private:
    struct Box
    {
        boost::json::object description;
        int failures = 0;
    };

    awaitable<void> answer(HttpExchange &exchange);
    void changed();
    void publishDue();
    boost::json::array liveBoxes() const;
    awaitable<void> probe(std::string name);

    Options mOptions;
    std::map<std::string, Box> mBoxes;
    struct Pending
    {
        Instant due;
        boost::json::array boxes;
    };
    std::deque<Pending> mPending;
    boost::json::array mVisible;
    std::uint64_t mVersion = 1;
};

} // namespace Loom
