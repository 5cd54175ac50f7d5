/*
 * crashfleet.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "crashfleet.h"

#include "runtest.h"
#include "streamtext.h"

#include <algorithm>

#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

namespace Loom {

namespace {

constexpr std::chrono::seconds sGenerous{20};
constexpr std::string_view sBlank = "\r\n\r\n";

constexpr std::string_view sConfig = R"({"version":1,"routes":[
    {"name":"safe","host":"h","path_prefix":"/safe/","kind":"safe","timeout_ms":8000,
     "goal_ms":500,"service":"plain","max_attempts":2},
    {"name":"stream","host":"h","path_prefix":"/stream/","kind":"stream","timeout_ms":8000,
     "goal_ms":500,"gap_aim_ms":500,"service":"plain","max_attempts":2}],
    "services":[{"name":"plain","max_conns":100}],
    "tenants":[{"name":"t1","api_keys":["k"]}]})";

std::string answerTo(const std::string &head)
{
    return "HTTP/1.1 200 X\r\nLoomjunction-Request-Id: " + requestIdOf(head)
        + "\r\nLoomjunction-Response-Signature: s\r\nContent-Length: 5\r\n\r\nwhole";
}

/** Beginning of an answer to @p head that ends with its connection. */
std::string beginOfUnframedAnswer(const std::string &head)
{
    const bool isStream = head.find(" /stream/") != std::string::npos;
    return "HTTP/1.1 200 X\r\nLoomjunction-Request-Id: " + requestIdOf(head)
        + "\r\nLoomjunction-Response-Signature: s\r\nConnection: close\r\n"
        + (isStream ? "Content-Type: text/event-stream\r\n\r\n" + event(1) : "\r\nwho");
}

std::size_t lengthIn(const std::string &head)
{
    constexpr std::string_view name = "Content-Length: ";
    const std::size_t at = head.find(name);
    return at == std::string::npos ? 0 : std::stoul(head.substr(at + name.size()));
}

} // namespace

CrashingReplica::CrashingReplica(asio::io_context &context)
    : mAcceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , mAddress(endpointText(mAcceptor.local_endpoint()))
{
    asio::co_spawn(context, accept(), asio::detached);
}

awaitable<void> CrashingReplica::accept()
{
    while (true) {
        auto [error, socket] = co_await mAcceptor.async_accept(sAsValue);
        if (error) {
            co_return;
        }
        const auto shared = std::make_shared<Tcp::socket>(std::move(socket));
        mSockets.insert(shared);
        asio::co_spawn(mAcceptor.get_executor(), serve(shared), asio::detached);
    }
}

awaitable<void> CrashingReplica::serve(SocketPtr socket)
{
    std::string buffer;
    while (true) {
        const auto [error, size] = co_await asio::async_read_until(
            *socket, asio::dynamic_buffer(buffer), sBlank, sAsValue);
        if (error) {
            break;
        }
        const std::string head = buffer.substr(0, size);
        buffer.erase(0, size);
        const std::size_t length = lengthIn(head);
        if (buffer.size() < length) {
            const auto [cut, read] = co_await asio::async_read(
                *socket, asio::dynamic_buffer(buffer),
                asio::transfer_exactly(length - buffer.size()), sAsValue);
            if (cut) {
                break;
            }
        }
        mBodies.push_back(buffer.substr(0, length));
        buffer.erase(0, length);
        if (mBodies.back() == sCrashing) {
            end();
            co_return;
        }
        if (head.find(std::string(sCrashingPart) + ":") != std::string::npos) {
            ++mCrashingPartCount;
            if (mCrashMoment == CrashMoment::DuringUnframedBody) {
                const std::string begin = beginOfUnframedAnswer(head);
                co_await asio::async_write(*socket, asio::buffer(begin), sAsValue);
            }
            end();
            co_return;
        }
        const bool isFirst = std::ranges::count(mBodies, sResetting) == 1;
        if (mBodies.back() == sResetting && isFirst) {
            break;
        }
        const bool isHeld = mBodies.back().starts_with(sHolding);
        while (isHeld && mHolds && !mHasEnded) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        if (mHasEnded) {
            co_return;
        }
        const std::string answer = answerTo(head);
        co_await asio::async_write(*socket, asio::buffer(answer), sAsValue);
    }
    boost::system::error_code ignored;
    socket->close(ignored);
    mSockets.erase(socket);
}

void CrashingReplica::end()
{
    mHasEnded = true;
    boost::system::error_code ignored;
    mAcceptor.close(ignored);
    for (const SocketPtr &socket : mSockets) {
        socket->close(ignored);
    }
    mSockets.clear();
}

CrashFleet::CrashFleet(std::size_t gateways, std::size_t replicas)
{
    store.write(Feed::Operators, "config", std::string(sConfig));
    for (std::size_t i = 0; i < replicas; ++i) {
        addReplica();
    }
    for (std::size_t i = 0; i < gateways; ++i) {
        addGateway();
    }
}

void CrashFleet::addReplica()
{
    mReplicas.push_back(std::make_unique<CrashingReplica>(context));
    const std::string value = R"({"service":"plain","address":")" + mReplicas.back()->address()
        + R"(","zone":"z1","slots":4,"state":"ready"})";
    store.write(Feed::Replicas, "i-" + std::to_string(mReplicas.size()), value);
}

void CrashFleet::addGateway()
{
    const std::string box = "gateway-" + std::to_string(mGateways.size());
    mGateways.push_back(std::make_unique<FleetGateway>(context, store, box));
    if (mIsRunning) {
        mGateways.back()->start();
    }
}

void CrashFleet::run(std::function<awaitable<void>()> test)
{
    for (const auto &gateway : mGateways) {
        gateway->start();
    }
    mIsRunning = true;
    runTest(context, std::move(test));
}

awaitable<HttpResponse> CrashFleet::call(std::size_t index, std::string body,
                                         std::string promptParts)
{
    auto response = co_await tryCall(index, "/safe/a", std::move(body), std::move(promptParts));
    BOOST_REQUIRE(response.has_value());
    co_return std::move(*response);
}

awaitable<std::optional<HttpResponse>>
CrashFleet::tryCall(std::size_t index, std::string path, std::string body, std::string promptParts)
{
    HttpCall request;
    request.endpoint = gateway(index).callers();
    request.method = "POST";
    request.target = std::move(path);
    request.body = std::move(body);
    request.headers = {{"Loomjunction-Request-Id", "id" + std::to_string(++mCalls)},
                       {"Loomjunction-Deadline-Ms", "6000"},
                       {"Authorization", "Token k"},
                       {"Host", "h"}};
    if (!promptParts.empty()) {
        request.headers.push_back({"Loomjunction-Prompt-Prefix", std::move(promptParts)});
    }
    request.timeout = sGenerous;
    HttpClient fresh(context.get_executor());
    auto response = co_await fresh.send(std::move(request));
    if (!response) {
        co_return std::nullopt;
    }
    co_return std::move(*response);
}

awaitable<void> CrashFleet::waitFor(std::function<bool()> condition)
{
    const auto until = std::chrono::steady_clock::now() + sGenerous;
    while (!condition()) {
        BOOST_REQUIRE(std::chrono::steady_clock::now() < until);
        co_await sleepFor(std::chrono::milliseconds(5));
    }
}

awaitable<void> CrashFleet::untilReady()
{
    co_await waitFor([this] {
        return std::ranges::all_of(mGateways, [this](const auto &gateway) {
            return gateway->isReady(mReplicas.size(), mGateways.size() - 1);
        });
    });
}

int CrashFleet::reached(std::string_view body) const
{
    int count = 0;
    for (const auto &replica : mReplicas) {
        count += static_cast<int>(std::ranges::count_if(
            replica->bodies(), [&](const std::string &one) { return one.starts_with(body); }));
    }
    return count;
}

int CrashFleet::endedUnder(std::string_view body) const
{
    return static_cast<int>(std::ranges::count_if(mReplicas, [&](const auto &replica) {
        return replica->hasEnded()
            && std::ranges::find(replica->bodies(), body) != replica->bodies().end();
    }));
}

int CrashFleet::ended() const
{
    return static_cast<int>(
        std::ranges::count_if(mReplicas, [](const auto &replica) { return replica->hasEnded(); }));
}

int CrashFleet::crashingPartSends() const
{
    int count = 0;
    for (const auto &replica : mReplicas) {
        count += replica->crashingPartCount();
    }
    return count;
}

} // namespace Loom
