/*
 * plainstandin.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomstandin).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "plainstandin.h"

#include "jsonhttp.h"

namespace Loom {

awaitable<void> PlainStandIn::handle(HttpExchange &exchange)
{
    const std::string_view path = exchange.request().path();
    if (path == "/control" || path == "/runs") {
        co_await control(exchange);
    } else {
        co_await run(exchange);
    }
}

awaitable<void> PlainStandIn::run(HttpExchange &exchange)
{
    const std::string id = jsonText(jsonObject(exchange.request().body), "id");
    const std::int64_t runs = ++mRuns[id];
    if (mDelay.count() > 0) {
        co_await sleepFor(mDelay);
    }
    if (mCutsAfterRun > 0) {
        --mCutsAfterRun;
        exchange.abort();
        co_return;
    }
    const boost::json::object answer{{"request", id}, {"runs", runs}};
    co_await exchange.respond(jsonResponse(200, answer));
}

awaitable<void> PlainStandIn::control(HttpExchange &exchange)
{
    const boost::json::object body = jsonObject(exchange.request().body);
    mCutsAfterRun = jsonInteger(body, "cutAfterRun", mCutsAfterRun);
    mDelay = Milliseconds(jsonInteger(body, "delayMs", mDelay.count()));
    boost::json::object runs;
    for (const auto &[id, count] : mRuns) {
        runs[id] = count;
    }
    const boost::json::object answer{{"runs", std::move(runs)}};
    co_await exchange.respond(jsonResponse(200, answer));
}

} // namespace Loom
