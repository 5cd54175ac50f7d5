/*
 * weightstandin.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomstandin).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "http.h"
#include "instant.h"
#include "tokenbucket.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace Loom {

/** Stands in for the weight store and the origin: uploads in, rate-limited reads out. */
class WeightStandIn
{
public:
    struct Options
    {
        double egressBytesPerSecond = 0; ///< zero: no limit
        std::uint64_t seed = 1;
    };

    explicit WeightStandIn(Options options);

    awaitable<void> handle(HttpExchange &exchange);

private:
    awaitable<void> read(HttpExchange &exchange, const std::string &path);
    awaitable<void> control(HttpExchange &exchange);

    TokenBucket mEgress;
    std::map<std::string, std::string> mObjects; ///< by path
    std::uint64_t mBytesOut = 0;
    std::uint64_t mReads = 0;
    bool mDown = false;
    std::int64_t mCorruptPerMille = 0;
    std::mt19937_64 mRandom;
};

} // namespace Loom
