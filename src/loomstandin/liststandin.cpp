/*
 * liststandin.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomstandin).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "liststandin.h"

#include "clock.h"
#include "jsonhttp.h"

#include <vector>

namespace Loom {

namespace {

constexpr int sFailuresUntilDead = 2;
constexpr std::chrono::milliseconds sProbeTimeout{500};
constexpr std::chrono::milliseconds sPollStep{50};

} // namespace

ListStandIn::ListStandIn(Options options)
    : mOptions(options)
{
}

awaitable<void> ListStandIn::handle(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    std::string_view path = request.path();
    takeSegment(path); // "boxes"
    const std::string name(takeSegment(path));
    if (request.method == "GET") {
        co_await answer(exchange);
        co_return;
    }
    if (request.method == "PUT" && name.empty()) {
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(request.body, error);
        if (error || !value.is_array()) {
            co_await exchange.respond(errorResponse(400, "expected an array of boxes"));
            co_return;
        }
        for (const boost::json::value &item : value.as_array()) {
            const boost::json::object *box = item.if_object();
            if (box != nullptr) {
                mBoxes[jsonText(*box, "box")] = {*box, 0};
            }
        }
    } else if (request.method == "DELETE") {
        mBoxes.erase(name);
    } else if (takeSegment(path) == "leaving" && mBoxes.contains(name)) {
        mBoxes[name].description["state"] = "leaving";
    }
    changed();
    co_await exchange.respond(jsonResponse(200, boost::json::object{}));
}

awaitable<void> ListStandIn::answer(HttpExchange &exchange)
{
    const std::uint64_t since = queryNumber(exchange.request(), "since", 0);
    const auto until = std::chrono::steady_clock::now()
        + std::chrono::milliseconds(queryNumber(exchange.request(), "waitMs", 0));
    publishDue();
    while (mVersion == since && std::chrono::steady_clock::now() < until) {
        co_await sleepFor(sPollStep);
        publishDue();
    }
    boost::json::object body{{"version", mVersion}};
    if (mVersion != since) {
        body["boxes"] = mVisible;
    }
    co_await exchange.respond(jsonResponse(200, body));
}

void ListStandIn::changed()
{
    mPending.push_back({now() + mOptions.lag, liveBoxes()});
}

void ListStandIn::publishDue()
{
    while (!mPending.empty() && mPending.front().due <= now()) {
        mVisible = std::move(mPending.front().boxes);
        mPending.pop_front();
        ++mVersion;
    }
}

boost::json::array ListStandIn::liveBoxes() const
{
    boost::json::array boxes;
    for (const auto &[name, box] : mBoxes) {
        if (box.failures < sFailuresUntilDead) {
            boxes.push_back(box.description);
        }
    }
    return boxes;
}

awaitable<void> ListStandIn::probeLoop()
{
    while (mOptions.probeEvery.count() > 0) {
        co_await sleepFor(mOptions.probeEvery);
        std::vector<std::string> names;
        for (const auto &[name, box] : mBoxes) {
            names.push_back(name);
        }
        for (const std::string &name : names) {
            co_await probe(name);
        }
    }
}

awaitable<void> ListStandIn::probe(std::string name)
{
    const auto endpoint = parseEndpoint(jsonText(mBoxes[name].description, "peers"));
    if (!endpoint) {
        co_return;
    }
    const bool answers = (co_await connectWithin(*endpoint, sProbeTimeout)).has_value();
    const auto it = mBoxes.find(name);
    if (it == mBoxes.end()) {
        co_return;
    }
    const bool wasDead = it->second.failures >= sFailuresUntilDead;
    it->second.failures = answers ? 0 : it->second.failures + 1;
    const bool isDead = it->second.failures >= sFailuresUntilDead;
    if (wasDead != isDead) {
        changed();
    }
}

} // namespace Loom
