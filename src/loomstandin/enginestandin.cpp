/*
 * enginestandin.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomstandin).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "enginestandin.h"

#include "clock.h"
#include "digest.h"
#include "jsonhttp.h"

#include <algorithm>
#include <charconv>

namespace Loom {

namespace {

constexpr std::size_t sPrefixCharacters = 64;
constexpr std::int64_t sDefaultTokens = 4;
constexpr std::int64_t sMostTokens = 4'096;

} // namespace

EngineStandIn::EngineStandIn(const asio::any_io_executor &executor, Options options)
    : mOptions(options)
    , mSlotFree(executor)
{
}

awaitable<void> EngineStandIn::handle(HttpExchange &exchange)
{
    const std::string_view path = exchange.request().path();
    constexpr std::string_view sWeightsPrefix = "/v1/weights/";
    if (path == "/v1/generate") {
        co_await generate(exchange);
    } else if (path == "/v1/orders") {
        co_await order(exchange);
    } else if (path == "/v1/state") {
        co_await state(exchange);
    } else if (path == "/control") {
        co_await control(exchange);
    } else if (path.starts_with(sWeightsPrefix)) {
        co_await putChunk(exchange, path.substr(sWeightsPrefix.size()));
    } else {
        co_await exchange.respond(errorResponse(404, "no such path"));
    }
}

std::optional<EngineStandIn::Refusal> EngineStandIn::refusal(const std::string &version) const
{
    if (!mLoaded.contains(version)) {
        return Refusal{409, "version not loaded"};
    }
    if (mRunning >= mOptions.slots && mWaiting >= mOptions.queue) {
        return Refusal{429, "queue full"};
    }
    return std::nullopt;
}

awaitable<void> EngineStandIn::generate(HttpExchange &exchange)
{
    const std::string version(exchange.request().header("Engine-Version"));
    if (const auto refused = refusal(version)) {
        HttpResponse response = errorResponse(refused->status, refused->text);
        response.headers.push_back({"Engine-Refused", "1"});
        co_await exchange.respond(std::move(response));
        co_return;
    }
    while (mRunning >= mOptions.slots) {
        ++mWaiting;
        co_await mSlotFree.waitFor(std::chrono::seconds(1));
        --mWaiting;
    }
    ++mRunning;
    co_await runRequest(exchange, version);
    --mRunning;
    mSlotFree.notify();
}

awaitable<void> EngineStandIn::runRequest(HttpExchange &exchange, const std::string &version)
{
    const boost::json::object body = jsonObject(exchange.request().body);
    const std::string prompt = jsonText(body, "prompt");
    const std::int64_t tokens
        = std::clamp<std::int64_t>(jsonInteger(body, "maxTokens", sDefaultTokens), 1, sMostTokens);
    const bool stream = jsonBool(body, "stream", false);
    if (!mOptions.cutsOn.empty() && prompt.find(mOptions.cutsOn) != std::string::npos) {
        ++mCuts;
        exchange.abort();
        co_return;
    }
    const Loaded loaded = mLoaded[version];
    const bool hit = notePrefix(prompt);
    const Milliseconds prefill = hit ? mOptions.cachedPrefill : mOptions.prefill;
    if (prefill.count() > 0) {
        co_await sleepFor(prefill);
    }
    ++mServed;

    HttpResponse head;
    head.headers = {{"Content-Type", "application/json"},
                    {"Engine-Version", version},
                    {"Engine-Manifest", loaded.manifestDigest}};
    boost::json::object opening{
        {"request", jsonText(body, "id")}, {"version", version}, {"weights", loaded.weightsDigest}};
    std::string text = boost::json::serialize(opening);
    text.back() = ','; // the object goes on with its tokens
    text += "\"tokens\":[";
    bool alive = true;
    if (stream) {
        alive = co_await exchange.beginStream(head) && co_await exchange.write(text);
        text.clear();
    }
    for (std::int64_t token = 0; token < tokens && alive; ++token) {
        if (mOptions.perToken.count() > 0) {
            co_await sleepFor(mOptions.perToken);
        }
        text += (token == 0 ? "\"t" : ",\"t") + std::to_string(token) + "\"";
        if (stream) {
            alive = co_await exchange.write(text);
            text.clear();
        }
    }
    mCancelled += alive ? 0 : 1;
    text += "]}";
    if (!stream) {
        head.body = std::move(text);
        co_await exchange.respond(std::move(head));
        co_return;
    }
    if (alive) {
        co_await exchange.write(text);
        co_await exchange.endStream();
    }
}

bool EngineStandIn::notePrefix(std::string_view prompt)
{
    const std::string prefix(prompt.substr(0, sPrefixCharacters));
    const auto it = std::ranges::find(mPrefixes, prefix);
    const bool hit = it != mPrefixes.end();
    if (hit) {
        mPrefixes.erase(it);
        ++mCacheHits;
    }
    mPrefixes.push_front(prefix);
    if (mPrefixes.size() > mOptions.cachedPrefixes) {
        mPrefixes.pop_back();
    }
    return hit;
}

awaitable<void> EngineStandIn::order(HttpExchange &exchange)
{
    const boost::json::object body = jsonObject(exchange.request().body);
    const auto fence = static_cast<std::uint64_t>(jsonInteger(body, "fence", 0));
    if (mOptions.checksFence && fence < mHighestFence) {
        ++mOrdersRefused;
        co_await exchange.respond(errorResponse(412, "older fencing number"));
        co_return;
    }
    mHighestFence = std::max(mHighestFence, fence);
    const std::string kind = jsonText(body, "order");
    const std::string version = jsonText(body, "version");
    if (kind == "load") {
        co_await load(exchange, version, jsonText(body, "manifest"));
        co_return;
    }
    mLoaded.erase(version);
    co_await exchange.respond(jsonResponse(200, boost::json::object{}));
}

awaitable<void> EngineStandIn::load(HttpExchange &exchange, std::string version,
                                    std::string manifest)
{
    const auto it = mWeights.find(manifest);
    const bool whole = it != mWeights.end() && it->second.chunkCount > 0
        && it->second.digests.size() == it->second.chunkCount;
    if (!whole) {
        co_await exchange.respond(errorResponse(409, "weights are not whole"));
        co_return;
    }
    std::string digests;
    for (const auto &[index, digest] : it->second.digests) {
        digests += digest;
    }
    mWeights.erase(it);
    co_await sleepFor(mOptions.load);
    mLoaded[version] = {manifest, sha256Hex(digests)};
    co_await exchange.respond(jsonResponse(200, boost::json::object{}));
}

awaitable<void> EngineStandIn::putChunk(HttpExchange &exchange, std::string_view rest)
{
    const std::string manifest(takeSegment(rest));
    const std::string_view indexText = takeSegment(rest);
    std::uint32_t index = 0;
    std::from_chars(indexText.data(), indexText.data() + indexText.size(), index);
    Weights &weights = mWeights[manifest];
    weights.chunkCount
        = static_cast<std::uint32_t>(queryNumber(exchange.request(), "count", weights.chunkCount));
    weights.digests[index] = sha256Hex(exchange.request().body);
    co_await exchange.respond(jsonResponse(200, boost::json::object{}));
}

awaitable<void> EngineStandIn::state(HttpExchange &exchange)
{
    if (now() - mReportedAt >= mOptions.reportLag) {
        mReportedRunning = mRunning + mWaiting;
        mReportedAt = now();
    }
    boost::json::array loaded;
    for (const auto &[version, entry] : mLoaded) {
        loaded.push_back(
            boost::json::object{{"version", version}, {"manifest", entry.manifestDigest}});
    }
    const boost::json::object answer{{"loaded", std::move(loaded)},
                                     {"load", mReportedRunning},
                                     {"slots", mOptions.slots},
                                     {"served", mServed},
                                     {"cacheHits", mCacheHits},
                                     {"cancelled", mCancelled},
                                     {"cuts", mCuts},
                                     {"highestFence", mHighestFence},
                                     {"ordersRefused", mOrdersRefused}};
    co_await exchange.respond(jsonResponse(200, answer));
}

awaitable<void> EngineStandIn::control(HttpExchange &exchange)
{
    const boost::json::object body = jsonObject(exchange.request().body);
    if (jsonBool(body, "restart", false)) {
        mLoaded.clear();
        mWeights.clear();
        mPrefixes.clear();
    }
    mOptions.perToken = Milliseconds(jsonInteger(body, "perTokenMs", mOptions.perToken.count()));
    co_await exchange.respond(jsonResponse(200, boost::json::object{}));
}

} // namespace Loom
