/*
 * logstandin.h
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
#include <memory>
#include <string>

namespace Loom {

/** Stands in for the platform's append-only log: offsets, retention, outages, lost answers. */
class LogStandIn
{
public:
    struct Options
    {
        Milliseconds retention{3'600'000};
        std::uint64_t appendsPerSecond = 400;
    };

    LogStandIn(const asio::any_io_executor &executor, Options options);

    awaitable<void> handle(HttpExchange &exchange);

private:
    struct Record
    {
        std::string data;
        Instant at;
    };

    struct Stream
    {
        std::uint64_t first = 0;
        std::deque<Record> records;

        std::uint64_t next() const { return first + records.size(); }
    };

    awaitable<void> append(HttpExchange &exchange, const std::string &name);
    awaitable<void> read(HttpExchange &exchange, const std::string &name);
    awaitable<void> control(HttpExchange &exchange);
    HttpResponse answer(const Stream &stream, std::uint64_t from, std::uint64_t most) const;
    void trim(Stream &stream);
    bool takeAppendRate();

    Options mOptions;
    std::map<std::string, Stream> mStreams;
    Signal mAppended;
    bool mDown = false;
    Milliseconds mSlow{0};
    std::int64_t mAnswersToLose = 0;
    std::uint64_t mAppends = 0;
    std::uint64_t mReads = 0;
    Instant mSecondStart;
    std::uint64_t mSecondAppends = 0;
};

} // namespace Loom
