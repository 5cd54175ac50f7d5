/*
 * logstandin.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomstandin).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "logstandin.h"

#include "clock.h"
#include "jsonhttp.h"
#include "logclient.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr std::uint64_t sMostPerRead = 1'000;

} // namespace

LogStandIn::LogStandIn(const asio::any_io_executor &executor, Options options)
    : mOptions(options)
    , mAppended(executor)
{
}

awaitable<void> LogStandIn::handle(HttpExchange &exchange)
{
    std::string_view path = exchange.request().path();
    const std::string_view first = takeSegment(path);
    if (first == "control" || first == "stats") {
        co_await control(exchange);
        co_return;
    }
    const std::string name(takeSegment(path));
    if (first != "streams" || name.empty()) {
        co_await exchange.respond(errorResponse(404, "no such path"));
        co_return;
    }
    if (mSlow.count() > 0) {
        co_await sleepFor(mSlow);
    }
    if (mDown) {
        co_await exchange.respond(errorResponse(503, "log is down"));
        co_return;
    }
    if (exchange.request().method == "POST") {
        co_await append(exchange, name);
    } else {
        co_await read(exchange, name);
    }
}

bool LogStandIn::takeAppendRate()
{
    const Instant at = now();
    if (at - mSecondStart >= std::chrono::seconds(1)) {
        mSecondStart = at;
        mSecondAppends = 0;
    }
    return ++mSecondAppends <= mOptions.appendsPerSecond;
}

awaitable<void> LogStandIn::append(HttpExchange &exchange, const std::string &name)
{
    if (!takeAppendRate()) {
        co_await exchange.respond(errorResponse(429, "too many appends"));
        co_return;
    }
    Stream &stream = mStreams[name];
    trim(stream);
    const std::uint64_t offset = stream.next();
    stream.records.push_back({exchange.request().body, now()});
    ++mAppends;
    mAppended.notify();
    if (mAnswersToLose > 0) {
        --mAnswersToLose;
        exchange.abort();
        co_return;
    }
    const boost::json::object answer{{"offset", offset}};
    co_await exchange.respond(jsonResponse(200, answer));
}

awaitable<void> LogStandIn::read(HttpExchange &exchange, const std::string &name)
{
    const std::uint64_t from = queryNumber(exchange.request(), "from", 0);
    const std::uint64_t most = queryNumber(exchange.request(), "max", sMostPerRead);
    const auto until = std::chrono::steady_clock::now()
        + std::chrono::milliseconds(queryNumber(exchange.request(), "waitMs", 0));
    ++mReads;
    while (!mDown && from >= mStreams[name].next() && std::chrono::steady_clock::now() < until) {
        co_await mAppended.waitFor(std::chrono::milliseconds(100));
    }
    if (mDown) {
        co_await exchange.respond(errorResponse(503, "log is down"));
        co_return;
    }
    Stream &stream = mStreams[name];
    trim(stream);
    co_await exchange.respond(answer(stream, from, std::min(most, sMostPerRead)));
}

HttpResponse LogStandIn::answer(const Stream &stream, std::uint64_t from, std::uint64_t most) const
{
    boost::json::array records;
    const Instant at = now();
    for (std::uint64_t offset = std::max(from, stream.first); offset < stream.next(); ++offset) {
        if (records.size() >= most) {
            break;
        }
        const Record &record = stream.records[offset - stream.first];
        const auto age = std::chrono::duration_cast<Milliseconds>(at - record.at);
        records.push_back(boost::json::object{
            {"offset", offset}, {"ageMs", age.count()}, {"data", toBase64(record.data)}});
    }
    return jsonResponse(200,
                        boost::json::object{{"first", stream.first},
                                            {"next", stream.next()},
                                            {"retentionMs", mOptions.retention.count()},
                                            {"records", std::move(records)}});
}

void LogStandIn::trim(Stream &stream)
{
    const Instant oldest = now() - mOptions.retention;
    while (!stream.records.empty() && stream.records.front().at < oldest) {
        stream.records.pop_front();
        ++stream.first;
    }
}

awaitable<void> LogStandIn::control(HttpExchange &exchange)
{
    const boost::json::object body = jsonObject(exchange.request().body);
    mDown = jsonBool(body, "down", mDown);
    mSlow = Milliseconds(jsonInteger(body, "slowMs", mSlow.count()));
    mAnswersToLose = jsonInteger(body, "loseAnswers", mAnswersToLose);
    mOptions.retention = Milliseconds(jsonInteger(body, "retentionMs", mOptions.retention.count()));
    mAppended.notify();
    const boost::json::object counts{{"appends", mAppends}, {"reads", mReads}};
    co_await exchange.respond(jsonResponse(200, counts));
}

} // namespace Loom
