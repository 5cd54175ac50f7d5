/*
 * limitfleet.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "limitfleet.h"

#include "runtest.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

namespace Loom {

namespace {

constexpr std::chrono::seconds sGenerous{20};
constexpr Milliseconds sWork{15};
constexpr std::string_view sService = "served";

// Goals are long, so that a slow machine refuses nobody for being late.
std::string configText(LimitFleet::Kind kind, double coldPerSecond)
{
    const bool hasEngines = kind == LimitFleet::Kind::Engines;
    const std::string engine
        = R"(,"engine":{"slots":64,"step_ms":5,"read_per_s":100000,"stride":1,"layers":1,)"
          R"("usual":{"prompt":10,"answer":10},"models":[{"name":"m"}]})";
    return R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/r/","kind":")"
        + std::string(hasEngines ? "stream" : "safe")
        + R"(","timeout_ms":8000,"goal_ms":4000,"gap_aim_ms":4000,"service":"served",)"
          R"("max_attempts":2,"resumable":true}],"services":[{"name":"served","max_conns":1000)"
        + (hasEngines ? engine : std::string())
        + (coldPerSecond != 0 ? R"(,"cold_per_s":)" + std::to_string(coldPerSecond) : "")
        + R"(}],"tenants":[{"name":"t1","api_keys":["k"]}]})";
}

MemberSettings agentSettings(asio::io_context &context, std::string box,
                             const LimitedReplica &replica)
{
    const Tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
    MemberSettings settings;
    settings.box = std::move(box);
    settings.dataCentre = "z1";
    settings.region = "r1";
    settings.peers = freeEndpoint(context);
    settings.store = anyPort;
    settings.role = StagerSettings{std::string(sService), *parseEndpoint(replica.address()), 0};
    return settings;
}

} // namespace

LimitedReplica::LimitedReplica(asio::io_context &context, bool answersEvents)
    : mAnswersEvents(answersEvents)
    , mReplica(context, [this](const std::string &head) { return answer(head); })
{
}

ScriptedReplica::Answer LimitedReplica::answer(const std::string &head)
{
    mArrivals.push_back(now());
    std::string text = "HTTP/1.1 200 OK\r\nLoomjunction-Response-Signature: s\r\n"
                       "Loomjunction-Request-Id: "
        + requestIdOf(head) + "\r\n";
    if (mNamed) {
        text += "Server-Limit: " + std::to_string(*mNamed) + "\r\n";
    }
    if (mColdLeft) {
        text += "Loomjunction-Cold-Ms: " + std::to_string(mColdLeft->count()) + "\r\n";
    }
    // Long beside what the loop takes, so that no replica seems slow by chance.
    const auto holds = [until = now() + sWork] { return now() < until; };
    if (!mAnswersEvents) {
        return {"", false, holds, text + "Content-Length: 5\r\n\r\nwhole"};
    }
    text += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            "f\r\nid: 1\ndata: e\n\n\r\n0\r\n\r\n";
    return {"", false, holds, std::move(text)};
}

int LimitedReplica::arrivedIn(Instant from, Instant to) const
{
    return static_cast<int>(std::ranges::count_if(
        mArrivals, [&](Instant arrival) { return arrival >= from && arrival < to; }));
}

int LimitedReplica::mostIn(Milliseconds length, Instant from) const
{
    int most = 0;
    for (const Instant end : mArrivals) {
        if (end >= from) {
            most = std::max(most, arrivedIn(end - length, end + Microseconds(1)));
        }
    }
    return most;
}

FleetAgent::FleetAgent(asio::io_context &context, MemoryStore &store, std::string box,
                       const LimitedReplica &replica)
    : mSettings(agentSettings(context, std::move(box), replica))
    , mKernel(context.get_executor())
{
    mKernel.add(std::make_unique<PeerHub>(mSettings.peers));
    mKernel.add(std::make_unique<FeedService>(store, mSettings.box, FeedPreference::Store));
    mKernel.add(std::make_unique<MemberService>(store, mSettings, 1));
    mKernel.add(std::make_unique<PermitService>(replica.address()));
    mKernel.add(std::make_unique<LoadReporter>(replica.address()));
    auto &reporter = mKernel.find<LoadReporter>(LoadReporter::sName);
    reporter.setPermits(mKernel.find<PermitService>(PermitService::sName));
    reporter.setEnginePoll([&reporter]() -> awaitable<void> {
        ReplicaLoad load;
        load.weightsVersion = 1;
        reporter.set(load);
        co_return;
    });
}

void FleetAgent::start()
{
    BOOST_REQUIRE(mKernel.start().has_value());
}

LimitFleet::LimitFleet(Kind kind, std::size_t gateways, std::size_t replicas, ColdFields cold)
    : mKind(kind)
    , mIsKilled(gateways, false)
{
    store.write(Feed::Operators, "config", configText(kind, cold.perSecond));
    for (std::size_t index = 0; index < replicas; ++index) {
        mReplicas.push_back(std::make_unique<LimitedReplica>(context, kind == Kind::Engines));
        const std::string number = std::to_string(index);
        writeRecord(index, cold.left);
        if (kind == Kind::Engines) {
            mAgents.push_back(
                std::make_unique<FleetAgent>(context, store, "side-" + number, *mReplicas.back()));
        }
    }
    for (std::size_t index = 0; index < gateways; ++index) {
        mGateways.push_back(
            std::make_unique<FleetGateway>(context, store, "gateway-" + std::to_string(index)));
    }
}

void LimitFleet::writeRecord(std::size_t index, Milliseconds coldLeft)
{
    const std::string left = coldLeft.count() > 0
        ? R"("cold_left_ms":)" + std::to_string(coldLeft.count()) + ","
        : std::string();
    store.write(Feed::Replicas, "i-" + std::to_string(index),
                R"({"service":"served","address":")" + mReplicas[index]->address()
                    + R"(","zone":"z1","slots":64,"state":"ready",)" + left
                    + R"("models":[{"name":"m","version":1}]})");
}

void LimitFleet::addGateway()
{
    const std::size_t index = mGateways.size();
    mGateways.push_back(
        std::make_unique<FleetGateway>(context, store, "gateway-" + std::to_string(index)));
    mIsKilled.push_back(false);
    mGateways.back()->start();
    if (mIsCalling) {
        asio::co_spawn(context, keepCalling(index, mCallsPerSecond), asio::detached);
    }
}

void LimitFleet::run(std::function<awaitable<void>()> test)
{
    for (const auto &agent : mAgents) {
        agent->start();
    }
    for (const auto &gateway : mGateways) {
        gateway->start();
    }
    runTest(context, std::move(test));
}

awaitable<void> LimitFleet::waitFor(std::function<bool()> condition)
{
    const auto until = std::chrono::steady_clock::now() + sGenerous;
    while (!condition()) {
        BOOST_REQUIRE(std::chrono::steady_clock::now() < until);
        co_await sleepFor(std::chrono::milliseconds(5));
    }
}

awaitable<void> LimitFleet::untilReady()
{
    co_await waitFor([this] {
        return std::ranges::all_of(mGateways, [this](const auto &gateway) {
            return gateway->isReady(mReplicas.size(), mGateways.size() - 1);
        });
    });
}

void LimitFleet::startCallers(double perSecond)
{
    mIsCalling = true;
    mCallsPerSecond = perSecond;
    for (std::size_t index = 0; index < mGateways.size(); ++index) {
        asio::co_spawn(context, keepCalling(index, perSecond), asio::detached);
    }
}

awaitable<void> LimitFleet::stopCallers()
{
    mIsCalling = false;
    co_await waitFor([this] { return mOpen == 0; });
}

void LimitFleet::kill(std::size_t index)
{
    mIsKilled[index] = true;
    mGateways[index]->kill();
}

void LimitFleet::leave(std::size_t index)
{
    asio::co_spawn(context, mGateways[index]->drain(), asio::detached);
}

bool LimitFleet::haveAllLeft()
{
    return std::ranges::all_of(
        mGateways, [](const auto &gateway) { return gateway->members().others().empty(); });
}

awaitable<void> LimitFleet::keepCalling(std::size_t gateway, double perSecond)
{
    const auto pause = std::chrono::microseconds(static_cast<std::int64_t>(1e6 / perSecond));
    while (mIsCalling && !mIsKilled[gateway]) {
        asio::co_spawn(context, call(gateway), asio::detached);
        co_await sleepFor(pause);
    }
}

awaitable<void> LimitFleet::call(std::size_t gateway)
{
    HttpCall request;
    request.endpoint = mGateways[gateway]->callers();
    request.method = "POST";
    request.target = "/r/a";
    request.headers = {{"Loomjunction-Request-Id", "id" + std::to_string(++mCalls)},
                       {"Loomjunction-Deadline-Ms", "6000"},
                       {"Loomjunction-Model", "m"},
                       {"Authorization", "Token k"},
                       {"Host", "h"}};
    request.timeout = sGenerous;
    ++mOpen;
    HttpClient fresh(context.get_executor());
    const auto response = co_await fresh.send(std::move(request));
    mServed += response && response->status == 200 ? 1 : 0;
    mRefused += response && response->status == 503 ? 1 : 0;
    --mOpen;
}

} // namespace Loom
