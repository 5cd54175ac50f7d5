/*
 * enginestandin.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomstandin).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "http.h"
#include "instant.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Loom {

/** Stands in for a model engine: versions, orders, fencing, batching, a prefix cache. */
class EngineStandIn
{
public:
    struct Options
    {
        bool checksFence = true;
        std::uint32_t slots = 16; ///< requests run at once; more wait
        std::uint32_t queue = 64; ///< requests that may wait
        Milliseconds prefill{0}; ///< before the first token
        Milliseconds cachedPrefill{0}; ///< the same after a prefix-cache hit
        std::string cutsOn; ///< a prompt with it breaks its connection off; empty: none
        Milliseconds perToken{0};
        Milliseconds load{200};
        std::size_t cachedPrefixes = 64;
        Milliseconds reportLag{0}; ///< load reports are this old
    };

    EngineStandIn(const asio::any_io_executor &executor, Options options);

    awaitable<void> handle(HttpExchange &exchange);

private:
    struct Weights
    {
        std::uint32_t chunkCount = 0;
        std::map<std::uint32_t, std::string> digests; ///< of the chunks' real bytes
    };

    struct Loaded
    {
        std::string manifestDigest;
        std::string weightsDigest; ///< of the digests of the chunks really loaded
    };

    struct Refusal
    {
        int status;
        std::string text;
    };

    awaitable<void> generate(HttpExchange &exchange);
    awaitable<void> runRequest(HttpExchange &exchange, const std::string &version);
    awaitable<void> order(HttpExchange &exchange);
    awaitable<void> load(HttpExchange &exchange, std::string version, std::string manifest);
    awaitable<void> putChunk(HttpExchange &exchange, std::string_view rest);
    awaitable<void> state(HttpExchange &exchange);
    awaitable<void> control(HttpExchange &exchange);
    std::optional<Refusal> refusal(const std::string &version) const;
    bool notePrefix(std::string_view prompt);

    Options mOptions;
    std::map<std::string, Weights> mWeights; ///< by manifest digest
    std::map<std::string, Loaded> mLoaded; ///< by version
    std::uint64_t mHighestFence = 0;
    std::uint64_t mOrdersRefused = 0;
    std::uint32_t mRunning = 0;
    std::uint32_t mWaiting = 0;
    std::uint64_t mServed = 0;
    std::uint64_t mCacheHits = 0;
    std::uint64_t mCancelled = 0;
    std::uint64_t mCuts = 0;
    std::uint32_t mReportedRunning = 0;
    Instant mReportedAt;
    std::list<std::string> mPrefixes; ///< most recent first
    Signal mSlotFree;
};

} // namespace Loom
