/*
 * gatewayfixture.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "gatewayfixture.h"

#include "connectionservice.h"
#include "runtest.h"

#include <boost/test/unit_test.hpp>

namespace Loom {

namespace {

constexpr std::chrono::seconds sTestTimeout{20};

std::string configText(std::uint64_t version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
        {"name":"once","host":"h","path_prefix":"/once/","kind":"unsafe","timeout_ms":8000,
         "goal_ms":500,"service":"plain","max_attempts":2},
        {"name":"safe","host":"h","path_prefix":"/safe/","kind":"safe","timeout_ms":8000,
         "goal_ms":500,"service":"plain","max_attempts":2},
        {"name":"long","host":"h","path_prefix":"/long/","kind":"unsafe","timeout_ms":600000,
         "goal_ms":500,"service":"plain","max_attempts":1},
        {"name":"brief","host":"h","path_prefix":"/brief/","kind":"safe","timeout_ms":300,
         "goal_ms":100,"service":"plain","max_attempts":1},
        {"name":"stream","host":"h","path_prefix":"/stream/","kind":"stream","timeout_ms":8000,
         "goal_ms":500,"gap_aim_ms":500,"service":"plain","max_attempts":2,"resumable":true},
        {"name":"quick","host":"h","path_prefix":"/quick/","kind":"stream","timeout_ms":8000,
         "goal_ms":100,"gap_aim_ms":100,"service":"plain","max_attempts":2,"resumable":true},
        {"name":"quickonce","host":"h","path_prefix":"/quickonce/","kind":"stream",
         "timeout_ms":8000,"goal_ms":100,"gap_aim_ms":100,"service":"plain","max_attempts":2},
        {"name":"calm","host":"h","path_prefix":"/calm/","kind":"stream","timeout_ms":600000,
         "goal_ms":600000,"gap_aim_ms":600000,"service":"plain","max_attempts":1},
        {"name":"model","host":"h","path_prefix":"/model/","kind":"stream","timeout_ms":8000,
         "goal_ms":500,"gap_aim_ms":500,"service":"engine","max_attempts":2,"resumable":true},
        {"name":"patient","host":"h","path_prefix":"/patient/","kind":"stream","timeout_ms":8000,
         "goal_ms":5000,"gap_aim_ms":500,"service":"engine","max_attempts":2,"resumable":true},
        {"name":"judge","host":"h","path_prefix":"/judge/","kind":"unsafe","timeout_ms":8000,
         "goal_ms":5000,"service":"engine","max_attempts":2}],
        "services":[{"name":"plain","max_conns":100},
        {"name":"engine","max_conns":100,"engine":{"slots":4,"step_ms":5,"read_per_s":100000,
         "stride":1,"layers":1,"usual":{"prompt":10,"answer":10},"models":[{"name":"m"}]}}],
        "tenants":[{"name":"t1","api_keys":["k)"
        + std::to_string(version) + R"(","k"]}]})";
}

} // namespace

MemberSettings GatewayFixture::settings()
{
    const Tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
    MemberSettings settings;
    settings.box = "gateway-1";
    settings.dataCentre = "z1";
    settings.region = "r1";
    settings.regions = {{"z2", "r2"}};
    settings.peers = anyPort;
    settings.store = anyPort;
    // The retry budget is full from the start; tests of the budget set their own.
    settings.bounds.retries = {10.0, 100, Milliseconds(1'000)};
    // The configuration becomes stale only in tests that lower this limit.
    settings.bounds.maxConfigAge = Milliseconds(600'000);
    settings.role = GatewaySettings{anyPort, anyPort, anyPort};
    return settings;
}

GatewayFixture::GatewayFixture()
{
    mKernel.add(std::make_unique<ConnectionService>());
    mKernel.add(std::make_unique<PeerHub>(mSettings.peers));
    mKernel.add(std::make_unique<FeedService>(store, mSettings.box, FeedPreference::Store));
    mKernel.add(std::make_unique<MemberService>(store, mSettings, 1));
    mKernel.add(std::make_unique<OperatorConfigService>(mRecords, mSettings.bounds));
    mKernel.find<PeerHub>(PeerHub::sName).countInto(mMetrics);
    feeds().countInto(mMetrics);
    config().countInto(mMetrics);
    mKernel.add(std::make_unique<PermitService>());
    mKernel.add(std::make_unique<ReplicaService>(mRecords, mMetrics, mSettings));
    mKernel.add(std::make_unique<QuarantineService>(store, mMetrics));
    mKernel.add(std::make_unique<GatewayServer>(mCalls, mMetrics, mSettings));
    mKernel.add(std::make_unique<AddressServer>(mCalls, mSettings));
}

ScriptedReplica &GatewayFixture::addReplica(std::string id, std::string service,
                                            ScriptedReplica::Script script, std::uint64_t weights)
{
    mReplicas.push_back(std::make_unique<ScriptedReplica>(context, std::move(script)));
    const std::string value = R"({"service":")" + service + R"(","address":")"
        + mReplicas.back()->address() + R"(","zone":"z1","slots":4,"state":"ready",)"
        + R"("models":[{"name":"m","version":)" + std::to_string(weights) + "}]}";
    store.write(Feed::Replicas, std::move(id), value);
    return *mReplicas.back();
}

void GatewayFixture::writeConfig(std::uint64_t version)
{
    store.write(Feed::Operators, "config", configText(version));
}

void GatewayFixture::run(std::function<awaitable<void>()> test)
{
    BOOST_REQUIRE(mKernel.start().has_value());
    runTest(context, std::move(test));
}

awaitable<tl::expected<HttpResponse, HttpError>>
GatewayFixture::call(std::string method, std::string path, std::string id, std::string key,
                     std::string deadlineMs, std::string tokenCounts)
{
    HttpCall request;
    request.endpoint = front().localEndpoint();
    request.method = std::move(method);
    request.target = std::move(path);
    request.headers = {{"Loomjunction-Request-Id", std::move(id)},
                       {"Loomjunction-Deadline-Ms", std::move(deadlineMs)},
                       {"Loomjunction-Model", "m"},
                       {"Authorization", "Token " + key}};
    request.timeout = sTestTimeout;
    HttpClient fresh(context.get_executor());
    request.headers.push_back({"Host", "h"});
    if (!tokenCounts.empty()) {
        request.headers.push_back({"Loomjunction-Token-Usage", std::move(tokenCounts)});
    }
    co_return co_await fresh.send(std::move(request));
}

awaitable<void> GatewayFixture::waitFor(std::function<bool()> condition)
{
    const auto deadline = std::chrono::steady_clock::now() + sTestTimeout;
    while (!condition()) {
        BOOST_REQUIRE(std::chrono::steady_clock::now() < deadline);
        co_await sleepFor(std::chrono::milliseconds(5));
    }
}

} // namespace Loom
