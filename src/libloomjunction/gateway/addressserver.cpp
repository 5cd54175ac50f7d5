/*
 * addressserver.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "addressserver.h"

#include "connectionservice.h"
#include "gatewayserver.h"
#include "jsonhttp.h"
#include "memberservice.h"
#include "operatorconfigservice.h"

#include <algorithm>

namespace Loom {

namespace {

// Short enough that callers soon stop using a lost gateway; refreshing costs one small request.
constexpr Milliseconds sAddressLifetime{2'000};
// Proper requests have no body.
constexpr std::uint64_t sMaxBodyBytes = std::uint64_t{64} * 1024;

} // namespace

AddressServer::AddressServer(CallPort &calls, const MemberSettings &settings)
    : mCalls(calls)
    , mSettings(settings)
{
}

tl::expected<void, std::string> AddressServer::start(Kernel &kernel)
{
    mGateway = &kernel.find<GatewayServer>(GatewayServer::sName);
    mMembers = &kernel.find<MemberService>(MemberService::sName);
    mConfig = &kernel.find<OperatorConfigService>(OperatorConfigService::sName);
    const auto handler = [this](HttpExchange &exchange) { return handle(exchange); };
    HttpLimits limits;
    limits.bodyBytes = sMaxBodyBytes;
    mAddressServer = std::make_unique<HttpServer>(kernel.executor(), handler, limits);
    mReadinessServer = std::make_unique<HttpServer>(kernel.executor(), handler, limits);
    mAddressServer->setBudget(ConnectionService::budgetOf(kernel));
    mReadinessServer->setBudget(ConnectionService::budgetOf(kernel));
    const auto &gateway = std::get<GatewaySettings>(mSettings.role);
    if (auto listening = mAddressServer->listen(gateway.addresses); !listening) {
        return listening;
    }
    return mReadinessServer->listen(gateway.readiness);
}

void AddressServer::stop()
{
    mAddressServer->stopListening();
    mReadinessServer->stopListening();
}

awaitable<void> AddressServer::handle(HttpExchange &exchange)
{
    HttpResponse response = errorResponse(404, "no such path");
    if (mCalls.isReadinessCheck(exchange.request())) {
        response = HttpResponse::json(mGateway->isReady() ? 200 : 503, "{}");
    } else if (const auto question = mCalls.addressQuery(exchange.request())) {
        response = resolveAddresses(*question);
    }
    co_await exchange.respond(std::move(response));
}

GatewayAddress AddressServer::ownAddress() const
{
    GatewayAddress place;
    place.callers = endpointText(std::get<GatewaySettings>(mSettings.role).callers);
    place.dataCentre = mSettings.dataCentre;
    place.region = mSettings.region;
    place.availability
        = mGateway->isReady() ? GatewayAvailability::Healthy : GatewayAvailability::Unavailable;
    return place;
}

HttpResponse AddressServer::resolveAddresses(const AddressQuery &question) const
{
    std::vector<GatewayAddress> places = mMembers->otherGateways();
    places.push_back(ownAddress());
    const RouteTablePtr &table = mConfig->table();
    const auto *regions = table ? table->regionsForHost(question.host) : nullptr;
    const CallerLocation caller{question.dataCentre, question.region};
    const FailureTolerance tolerance = mSettings.failureTolerance;
    const std::vector<std::string> addresses = regions == nullptr
        ? AddressSelector(mMembers->key(), places, tolerance).choose(caller)
        : chooseInRegions(mMembers->key(), places, tolerance, caller, *regions);
    if (addresses.empty()) {
        return errorResponse(503, "no gateway is ready");
    }
    return mCalls.addressResponse(addresses,
                                  std::min(sAddressLifetime, mSettings.bounds.addressTtl));
}

} // namespace Loom
