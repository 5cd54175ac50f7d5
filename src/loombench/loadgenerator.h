/*
 * loadgenerator.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loombench).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "http.h"
#include "instant.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/json.hpp>

namespace Loom {

/** What to send and how to judge the answers. */
struct LoadOptions
{
    std::vector<Tcp::endpoint> seeds; ///< entries first asked for addresses
    Tcp::endpoint direct; ///< an engine to call without the system; port 0: none
    std::string service;
    std::vector<std::string> accounts;
    std::vector<std::uint32_t> shares; ///< of the accounts, in workers; empty: all alike
    std::string directVersion;
    std::map<std::string, std::string> weights; ///< version -> digest of its whole weights
    std::uint32_t concurrency = 16;
    double ratePerSecond = 0; ///< of all workers together; zero: as fast as answers come
    double seconds = 10; ///< zero: until stopped
    std::int64_t tokens = 4;
    std::uint32_t prefixes = 0; ///< distinct prompt starts; zero: every prompt differs
    std::uint32_t promptCharacters = 64;
    bool stream = false;
    bool once = false; ///< calls that may run once, with issued keys
    bool ownKeys = false; ///< calls that may run once, with keys of our own
    bool obeyRetryAfter = true;
    std::int64_t deadlineMs = 10'000;
    std::uint64_t seed = 1;
};

/** Counts of one client account. */
struct AccountCounts
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
};

/** What became of the requests. */
struct LoadResult
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t failed = 0; ///< connection refused or cut before any answer
    std::uint64_t bad = 0; ///< somebody else's, partial or mixed answers
    std::vector<double> firstByteMs;
    std::vector<double> refusalMs;
    std::map<std::string, AccountCounts> accounts;
    std::map<std::string, std::uint64_t> reasons;
    std::map<std::string, std::uint64_t> versions;
    std::vector<std::string> unknownIds;
    double seconds = 0;

    boost::json::object toJson() const;
};

/** Sends requests as callers do: asks for addresses, keeps them, connects there. */
class LoadGenerator
{
public:
    LoadGenerator(const asio::any_io_executor &executor, LoadOptions options);

    /** Runs all workers to their end. */
    awaitable<void> run();
    void stop() { mStopped = true; }
    const LoadResult &result() const { return mResult; }

private:
    struct Addresses
    {
        std::vector<Tcp::endpoint> entries;
        std::vector<std::string> keys;
        std::chrono::steady_clock::time_point until;
    };

    awaitable<void> worker(std::string account, std::uint64_t number);
    awaitable<void> askAddresses(Addresses &addresses, const std::string &account);
    awaitable<std::chrono::milliseconds> one(Addresses &addresses, const std::string &account,
                                             std::uint64_t number);
    HttpCall callFor(const Addresses &addresses, const std::string &account, const std::string &id,
                     std::uint64_t number, const std::string &key);
    void judge(const HttpResponse &response, const std::string &id, double firstByte, double took,
               const std::string &account);
    bool isWhole(const HttpResponse &response, const std::string &id) const;

    asio::any_io_executor mExecutor;
    LoadOptions mOptions;
    HttpClient mHttp;
    LoadResult mResult;
    std::mt19937_64 mRandom;
    std::chrono::steady_clock::time_point mEnd;
    std::uint64_t mNext = 0;
    std::uint32_t mRunning = 0;
    bool mStopped = false;
};

/** Value at @p quantile (0 to 1) of @p values; zero where there are none. */
double quantileOf(std::vector<double> values, double quantile);

} // namespace Loom
