/*
 * metricsserver.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "metricsserver.h"

#include "connectionservice.h"
#include "jsonhttp.h"
#include "metrics.h"

namespace Loom {

MetricsServer::MetricsServer(Metrics &metrics, Tcp::endpoint address)
    : mMetrics(metrics)
    , mAddress(std::move(address))
{
}

tl::expected<void, std::string> MetricsServer::start(Kernel &kernel)
{
    mServer = std::make_unique<HttpServer>(
        kernel.executor(), [this](HttpExchange &exchange) { return handle(exchange); });
    mServer->setBudget(ConnectionService::budgetOf(kernel));
    mBudget = ConnectionService::budgetOf(kernel);
    return mServer->listen(mAddress);
}

void MetricsServer::stop()
{
    mServer->stopListening();
}

awaitable<void> MetricsServer::handle(HttpExchange &exchange)
{
    HttpResponse response = errorResponse(404, "no such path");
    if (exchange.request().path() == "/metrics") {
        const auto gauge = [this](std::string_view name, std::size_t value) {
            mMetrics.set(name, "", static_cast<std::int64_t>(value));
        };
        gauge("client_connections", mBudget->connections());
        gauge("client_bytes", mBudget->bytes());
        gauge("client_connections_closed_for_others", mBudget->closedCount());
        gauge("client_requests_refused_for_others", mBudget->refusedCount());
        response = {200, {{"Content-Type", "text/plain; version=0.0.4"}}, mMetrics.text()};
    }
    co_await exchange.respond(std::move(response));
}

} // namespace Loom
