/*
 * weightstandin.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomstandin).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "weightstandin.h"

#include "clock.h"
#include "jsonhttp.h"

namespace Loom {

namespace {

constexpr double sBurstBytes = 256.0 * 1024;
constexpr std::int64_t sPerMille = 1000;

} // namespace

WeightStandIn::WeightStandIn(Options options)
    : mEgress(options.egressBytesPerSecond, sBurstBytes)
    , mRandom(options.seed)
{
}

awaitable<void> WeightStandIn::handle(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string path(request.path());
    if (path == "/control" || path == "/stats") {
        co_await control(exchange);
        co_return;
    }
    if (mDown) {
        co_await exchange.respond(errorResponse(503, "origin is down"));
        co_return;
    }
    if (request.method == "PUT") {
        mObjects[path] = request.body;
        co_await exchange.respond(jsonResponse(200, boost::json::object{}));
        co_return;
    }
    co_await read(exchange, path);
}

awaitable<void> WeightStandIn::read(HttpExchange &exchange, const std::string &path)
{
    const auto it = mObjects.find(path);
    if (it == mObjects.end()) {
        co_await exchange.respond(errorResponse(404, "no such object"));
        co_return;
    }
    std::string data = it->second;
    co_await sleepFor(mEgress.take(data.size(), now()));
    mBytesOut += data.size();
    ++mReads;
    const bool corrupt = static_cast<std::int64_t>(mRandom() % sPerMille) < mCorruptPerMille;
    if (corrupt && !data.empty()) {
        data[mRandom() % data.size()] ^= 0x5A;
    }
    HttpResponse response;
    response.headers.push_back({"Content-Type", "application/octet-stream"});
    response.body = std::move(data);
    co_await exchange.respond(std::move(response));
}

awaitable<void> WeightStandIn::control(HttpExchange &exchange)
{
    const boost::json::object body = jsonObject(exchange.request().body);
    mDown = jsonBool(body, "down", mDown);
    mCorruptPerMille = jsonInteger(body, "corruptPerMille", mCorruptPerMille);
    if (jsonBool(body, "resetCounts", false)) {
        mBytesOut = 0;
        mReads = 0;
    }
    const boost::json::object counts{{"bytesOut", mBytesOut}, {"reads", mReads}};
    co_await exchange.respond(jsonResponse(200, counts));
}

} // namespace Loom
