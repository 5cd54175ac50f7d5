/*
 * addressfront.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "addressfront.h"

#include "gatewayfront.h"
#include "jsonhttp.h"
#include "memberservice.h"

#include <algorithm>

namespace Loom {

namespace {

// Short enough that callers leave a lost gateway soon; each answer is one small call.
constexpr Milliseconds sLifetime{2'000};

} // namespace

AddressFront::AddressFront(CallPort &calls, const DirectSettings &settings)
    : mCalls(calls)
    , mSettings(settings)
{
}

tl::expected<void, std::string> AddressFront::start(Kernel &kernel)
{
    mFront = &kernel.find<GatewayFront>(GatewayFront::sName);
    mMembers = &kernel.find<MemberService>(MemberService::sName);
    const auto handler = [this](HttpExchange &exchange) { return handle(exchange); };
    mAddresses = std::make_unique<HttpServer>(kernel.executor(), handler);
    mReadiness = std::make_unique<HttpServer>(kernel.executor(), handler);
    const auto &gateway = std::get<GatewaySettings>(mSettings.role);
    if (auto listening = mAddresses->listen(gateway.addresses); !listening) {
        return listening;
    }
    return mReadiness->listen(gateway.readiness);
}

void AddressFront::stop()
{
    mAddresses->stopListening();
    mReadiness->stopListening();
}

awaitable<void> AddressFront::handle(HttpExchange &exchange)
{
    HttpResponse response = errorResponse(404, "no such path");
    if (mCalls.isReadyCheck(exchange.request())) {
        response = HttpResponse::json(mFront->isReady() ? 200 : 503, "{}");
    } else if (const auto question = mCalls.addressQuestion(exchange.request())) {
        response = answer(*question);
    }
    co_await exchange.respond(std::move(response));
}

GatewayAddress AddressFront::ownPlace() const
{
    GatewayAddress place;
    place.callers = endpointText(std::get<GatewaySettings>(mSettings.role).callers);
    place.dataCentre = mSettings.dataCentre;
    place.region = mSettings.region;
    place.availability
        = mFront->isReady() ? GatewayAvailability::Healthy : GatewayAvailability::Unavailable;
    return place;
}

HttpResponse AddressFront::answer(const AddressQuestion &question) const
{
    std::vector<GatewayAddress> places = mMembers->addressPlaces();
    places.push_back(ownPlace());
    const AddressSelector choice(mMembers->key(), places, mSettings.losses);
    const std::vector<std::string> addresses
        = choice.choose({question.dataCentre, question.region});
    if (addresses.empty()) {
        return errorResponse(503, "no gateway is ready");
    }
    return mCalls.addressAnswer(addresses, std::min(sLifetime, mSettings.bounds.addressLifetime));
}

} // namespace Loom
