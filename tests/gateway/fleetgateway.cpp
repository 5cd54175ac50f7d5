/*
 * fleetgateway.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "fleetgateway.h"

#include "connectionservice.h"

#include <algorithm>
#include <cstdint>
#include <random>
#include <set>

#include <boost/test/unit_test.hpp>

namespace Loom {

namespace {

MemberSettings memberSettings(asio::io_context &context, std::string box)
{
    const Tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
    MemberSettings settings;
    settings.box = std::move(box);
    settings.dataCentre = "z1";
    settings.region = "r1";
    settings.peers = freeEndpoint(context);
    settings.store = anyPort;
    settings.bounds.retries = {10.0, 100, Milliseconds(1'000)};
    settings.bounds.maxConfigAge = Milliseconds(600'000);
    settings.role = GatewaySettings{anyPort, anyPort, anyPort};
    return settings;
}

} // namespace

Tcp::endpoint freeEndpoint(asio::io_context &context)
{
    // Between this check and the start of the gateway, an outgoing connection of any process may
    // take a port that the system chose. It takes none below the range of such ports.
    constexpr std::uint16_t minPort = 15'000;
    constexpr std::uint16_t maxPort = 31'999;
    static std::mt19937 random{std::random_device{}()};
    static std::set<std::uint16_t> given; // a fleet may ask for many before it listens
    std::uniform_int_distribution<std::uint16_t> pick(minPort, maxPort);
    Tcp::acceptor acceptor(context, Tcp::v4());
    while (true) {
        Tcp::endpoint endpoint(asio::ip::address_v4::loopback(), pick(random));
        boost::system::error_code error;
        if (given.insert(endpoint.port()).second && !acceptor.bind(endpoint, error)) {
            return endpoint;
        }
    }
}

FleetGateway::FleetGateway(asio::io_context &context, MemoryStore &store, std::string box)
    : mSettings(memberSettings(context, std::move(box)))
    , mKernel(context.get_executor())
{
    mKernel.add(std::make_unique<ConnectionService>());
    mKernel.add(std::make_unique<PeerHub>(mSettings.peers));
    mKernel.add(std::make_unique<FeedService>(store, mSettings.box, FeedPreference::Store));
    mKernel.add(std::make_unique<MemberService>(store, mSettings, 1));
    mKernel.add(std::make_unique<OperatorConfigService>(mRecords, mSettings.bounds));
    mKernel.add(std::make_unique<PermitService>());
    mKernel.add(std::make_unique<ReplicaService>(mRecords, mMetrics, mSettings));
    mKernel.add(std::make_unique<QuarantineService>(store, mMetrics));
    mKernel.add(std::make_unique<GatewayServer>(mCalls, mMetrics, mSettings));
}

void FleetGateway::start()
{
    BOOST_REQUIRE(mKernel.start().has_value());
}

std::string FleetGateway::memberRecord() const
{
    const auto &role = std::get<GatewaySettings>(mSettings.role);
    return R"({"box":")" + mSettings.box + R"(","dataCentre":"z1","region":"r1","role":"gateway",)"
        + R"("peers":")" + endpointText(mSettings.peers) + R"(","callers":")"
        + endpointText(role.callers) + R"(","incarnation":1})";
}

bool FleetGateway::isReady(std::size_t replicas, std::size_t others)
{
    const auto &members = mKernel.find<MemberService>(MemberService::sName);
    const auto gateways = members.otherGateways();
    const auto healthyCount = std::ranges::count_if(gateways, [](const GatewayAddress &gateway) {
        return gateway.availability == GatewayAvailability::Healthy;
    });
    return mKernel.find<GatewayServer>(GatewayServer::sName).isReady()
        && static_cast<std::size_t>(healthyCount) >= others
        && mKernel.find<ReplicaService>(ReplicaService::sName).replicas().all().size() >= replicas;
}

} // namespace Loom
