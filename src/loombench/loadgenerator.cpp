/*
 * loadgenerator.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loombench).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "loadgenerator.h"

#include "clock.h"
#include "idempotencykey.h"
#include "jsonhttp.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::uint64_t sKeysPerAnswer = 16;
constexpr std::chrono::milliseconds sAddressRetry{100};
constexpr std::size_t sUnknownIdsKept = 10'000;

double millisecondsSince(std::chrono::steady_clock::time_point begun)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begun)
        .count();
}

} // namespace

double quantileOf(std::vector<double> values, double quantile)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

boost::json::object LoadResult::toJson() const
{
    boost::json::object object;
    object["sent"] = sent;
    object["answered"] = answered;
    object["notRun"] = notRun;
    object["unknown"] = unknown;
    object["failed"] = failed;
    object["bad"] = bad;
    object["seconds"] = seconds;
    object["answeredPerSecond"] = seconds > 0 ? static_cast<double>(answered) / seconds : 0.0;
    object["p50Ms"] = quantileOf(firstByteMs, 0.5);
    object["p95Ms"] = quantileOf(firstByteMs, 0.95);
    object["p99Ms"] = quantileOf(firstByteMs, 0.99);
    object["refusalP99Ms"] = quantileOf(refusalMs, 0.99);
    boost::json::object byAccount;
    for (const auto &[account, counts] : accounts) {
        boost::json::object row;
        row["sent"] = counts.sent;
        row["answered"] = counts.answered;
        byAccount[account] = std::move(row);
    }
    object["accounts"] = std::move(byAccount);
    boost::json::object byReason;
    for (const auto &[reason, count] : reasons) {
        byReason[reason] = count;
    }
    object["reasons"] = std::move(byReason);
    boost::json::object byVersion;
    for (const auto &[version, count] : versions) {
        byVersion[version] = count;
    }
    object["versions"] = std::move(byVersion);
    boost::json::array ids;
    for (const std::string &id : unknownIds) {
        ids.emplace_back(id);
    }
    object["unknownIds"] = std::move(ids);
    return object;
}

LoadGenerator::LoadGenerator(const asio::any_io_executor &executor, LoadOptions options)
    : mExecutor(executor)
    , mOptions(std::move(options))
    , mHttp(executor)
    , mRandom(mOptions.seed)
{
}

awaitable<void> LoadGenerator::run()
{
    const auto begun = std::chrono::steady_clock::now();
    const bool endless = mOptions.seconds <= 0;
    mEnd = endless ? std::chrono::steady_clock::time_point::max()
                   : begun
            + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                         std::chrono::duration<double>(mOptions.seconds));
    std::vector<std::string> byWorker;
    for (std::size_t i = 0; i < mOptions.accounts.size(); ++i) {
        const std::uint32_t share = i < mOptions.shares.size() ? mOptions.shares[i] : 1;
        byWorker.insert(byWorker.end(), share, mOptions.accounts[i]);
    }
    for (std::uint32_t i = 0; i < mOptions.concurrency; ++i) {
        ++mRunning;
        asio::co_spawn(mExecutor, worker(byWorker[i % byWorker.size()], i), asio::detached);
    }
    while (mRunning > 0) {
        co_await sleepFor(std::chrono::milliseconds(10));
    }
    mResult.seconds = millisecondsSince(begun) / 1000;
}

awaitable<void> LoadGenerator::worker(std::string account, std::uint64_t number)
{
    Addresses addresses;
    const double rate = mOptions.ratePerSecond / std::max<std::uint32_t>(mOptions.concurrency, 1);
    const std::chrono::duration<double> gap(rate > 0 ? 1 / rate : 0);
    auto due = std::chrono::steady_clock::now()
        + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                   gap * (static_cast<double>(number) / mOptions.concurrency));
    while (!mStopped && std::chrono::steady_clock::now() < mEnd) {
        if (rate > 0) {
            const auto now = std::chrono::steady_clock::now();
            if (due > now) {
                co_await sleepFor(std::chrono::duration_cast<std::chrono::microseconds>(due - now));
            }
            due += std::chrono::duration_cast<std::chrono::steady_clock::duration>(gap);
        }
        const auto pause = co_await one(addresses, account, mNext++);
        if (pause.count() > 0 && mOptions.obeyRetryAfter) {
            co_await sleepFor(pause);
            due = std::max(due, std::chrono::steady_clock::now());
        }
    }
    --mRunning;
}

awaitable<void> LoadGenerator::askAddresses(Addresses &addresses, const std::string &account)
{
    std::vector<Tcp::endpoint> asked = addresses.entries;
    asked.insert(asked.end(), mOptions.seeds.begin(), mOptions.seeds.end());
    std::ranges::shuffle(asked, mRandom);
    for (const Tcp::endpoint &entry : asked) {
        HttpCall call;
        call.endpoint = entry;
        call.method = "GET";
        call.target = "/v1/addresses?service=" + mOptions.service + "&account=" + account
            + (mOptions.once ? "&keys=" + std::to_string(sKeysPerAnswer) : "");
        call.timeout = std::chrono::milliseconds(1'000);
        const auto response = co_await mHttp.send(std::move(call));
        if (!response || response->status != 200) {
            continue;
        }
        const boost::json::object body = jsonObject(response->body);
        addresses = {};
        for (const boost::json::value &item : body.at("addresses").as_array()) {
            if (const auto endpoint = parseEndpoint(item.as_string())) {
                addresses.entries.push_back(*endpoint);
            }
        }
        for (const boost::json::value &item : body.at("keys").as_array()) {
            addresses.keys.emplace_back(item.as_string());
        }
        addresses.until = std::chrono::steady_clock::now()
            + std::chrono::milliseconds(jsonInteger(body, "lifetimeMs", 0));
        if (!addresses.entries.empty()) {
            co_return;
        }
    }
}

HttpCall LoadGenerator::callFor(const Addresses &addresses, const std::string &account,
                                const std::string &id, std::uint64_t number, const std::string &key)
{
    HttpCall call;
    call.method = "POST";
    call.timeout = std::chrono::milliseconds(mOptions.deadlineMs + 2'000);
    const std::uint64_t prefix = mOptions.prefixes == 0 ? number : mRandom() % mOptions.prefixes;
    std::string prompt = "essay-" + std::to_string(prefix) + "-";
    prompt.resize(std::max<std::size_t>(prompt.size(), mOptions.promptCharacters), 'x');
    boost::json::object body;
    body["id"] = id;
    body["prompt"] = prompt;
    body["maxTokens"] = mOptions.tokens;
    body["stream"] = mOptions.stream;
    call.body = boost::json::serialize(body);
    if (mOptions.direct.port() != 0) {
        call.endpoint = mOptions.direct;
        call.target = "/v1/generate";
        call.headers = {{"Engine-Version", mOptions.directVersion}};
        return call;
    }
    call.endpoint = addresses.entries.front();
    call.target = "/v1/services/" + mOptions.service + "/calls";
    call.headers
        = {{"Loom-Account", account}, {"Loom-Deadline-Ms", std::to_string(mOptions.deadlineMs)}};
    if (mOptions.stream) {
        call.headers.push_back({"Loom-Stream", "1"});
    }
    if (!key.empty()) {
        call.headers.push_back({"Loom-Key", key});
    }
    return call;
}

awaitable<std::chrono::milliseconds>
LoadGenerator::one(Addresses &addresses, const std::string &account, std::uint64_t number)
{
    const bool direct = mOptions.direct.port() != 0;
    const bool stale = std::chrono::steady_clock::now() >= addresses.until
        || (mOptions.once && addresses.keys.empty());
    if (!direct && (stale || addresses.entries.empty())) {
        co_await askAddresses(addresses, account);
        if (addresses.entries.empty() || (mOptions.once && addresses.keys.empty())) {
            co_return sAddressRetry;
        }
    }
    std::string key;
    if (mOptions.once) {
        key = addresses.keys.back();
        addresses.keys.pop_back();
    } else if (mOptions.ownKeys) {
        key = makeUuid7(wallNow(), mRandom(), mRandom());
    }
    const std::string id
        = account + "-" + std::to_string(mOptions.seed) + "-" + std::to_string(number);
    const auto begun = std::chrono::steady_clock::now();
    ++mResult.sent;
    ++mResult.accounts[account].sent;
    double firstByte = -1;
    std::string body;
    const HttpDataHandler onData
        = [&](const HttpResponse &, std::string_view data) -> awaitable<bool> {
        if (firstByte < 0) {
            firstByte = millisecondsSince(begun);
        }
        body += data;
        co_return true;
    };
    auto response = co_await mHttp.stream(callFor(addresses, account, id, number, key), onData);
    const double took = millisecondsSince(begun);
    if (!response) {
        const bool cut = response.error().failure != HttpFailure::NotConnected;
        ++(cut ? mResult.unknown : mResult.failed);
        ++mResult.reasons[cut ? "cut" : "refused-connection"];
        if (cut && mResult.unknownIds.size() < sUnknownIdsKept) {
            mResult.unknownIds.push_back(id);
        }
        // The next address of the answer is there for this.
        if (!addresses.entries.empty()) {
            addresses.entries.erase(addresses.entries.begin());
        }
        co_return std::chrono::milliseconds(cut || !addresses.entries.empty() ? 0 : 50);
    }
    response->body = std::move(body);
    judge(*response, id, firstByte, took, account);
    const std::string_view retry = response->header("Retry-After");
    if (retry.empty()) {
        co_return std::chrono::milliseconds(0);
    }
    co_return std::chrono::milliseconds(
        jsonInteger(jsonObject(response->body), "retryAfterMs", 1'000));
}

void LoadGenerator::judge(const HttpResponse &response, const std::string &id, double firstByte,
                          double took, const std::string &account)
{
    const std::string_view outcome = response.header("Loom-Outcome");
    const bool answered = response.status == 200;
    if (answered) {
        ++mResult.answered;
        ++mResult.accounts[account].answered;
        mResult.firstByteMs.push_back(firstByte);
        mResult.bad += isWhole(response, id) ? 0 : 1;
        ++mResult.versions[std::string(response.header("Loom-Version"))];
        return;
    }
    mResult.refusalMs.push_back(took);
    ++mResult.reasons[std::string(response.header("Loom-Reason"))];
    if (outcome == "not-run") {
        ++mResult.notRun;
        return;
    }
    ++mResult.unknown;
    if (mResult.unknownIds.size() < sUnknownIdsKept) {
        mResult.unknownIds.push_back(id);
    }
}

bool LoadGenerator::isWhole(const HttpResponse &response, const std::string &id) const
{
    const boost::json::object body = jsonObject(response.body);
    if (jsonText(body, "request") != id) {
        return false;
    }
    if (mOptions.weights.empty()) {
        return true;
    }
    const boost::json::value *tokens = body.if_contains("tokens");
    const bool wholeTokens = tokens != nullptr && tokens->is_array()
        && static_cast<std::int64_t>(tokens->as_array().size()) == mOptions.tokens;
    const std::string version = jsonText(body, "version");
    const auto weights = mOptions.weights.find(version);
    const bool rightVersion
        = mOptions.direct.port() != 0 || response.header("Loom-Version") == version;
    return wholeTokens && rightVersion && weights != mOptions.weights.end()
        && weights->second == jsonText(body, "weights");
}

} // namespace Loom
