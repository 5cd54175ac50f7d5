/*
 * metricsservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "metricsservice.h"

#include "configservice.h"
#include "connectionservice.h"
#include "jsonhttp.h"
#include "platformservice.h"
#include "upstreamservice.h"

namespace Loom {

tl::expected<void, std::string> MetricsService::start(Kernel &kernel)
{
    mPlatform = &kernel.find<PlatformService>(PlatformService::sName);
    mConfig = &kernel.find<ConfigService>(ConfigService::sName);
    mUpstream = &kernel.find<UpstreamService>(UpstreamService::sName);
    const auto &operators = mUpstream->settings().operators;
    if (!operators) {
        return {};
    }
    mServer = std::make_unique<HttpServer>(
        kernel.executor(), [this](HttpExchange &exchange) { return handle(exchange); });
    mServer->setBudget(ConnectionService::budgetOf(kernel));
    return mServer->listen(*operators);
}

void MetricsService::stop()
{
    if (mServer) {
        mServer->stopListening();
    }
}

awaitable<void> MetricsService::handle(HttpExchange &exchange)
{
    const std::string_view path = exchange.request().path();
    if (path == "/metrics") {
        co_await exchange.respond(mPlatform->metricsResponse());
    } else if (path == "/admin/health") {
        co_await exchange.respond(health());
    } else {
        co_await exchange.respond(errorResponse(404, "no such path"));
    }
}

HttpResponse MetricsService::health() const
{
    const CallGate &gate = mUpstream->gate();
    boost::json::object answer;
    answer["box"] = mPlatform->box();
    answer["ready"] = mConfig->isReady();
    answer["leaving"] = gate.isLeaving();
    answer["upstreamAlive"] = gate.isUpstreamAlive();
    answer["inFlight"] = gate.inFlight();
    return jsonResponse(200, answer);
}

} // namespace Loom
