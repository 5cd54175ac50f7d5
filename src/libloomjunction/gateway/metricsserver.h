/*
 * metricsserver.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "http.h"
#include "kernel.h"

#include <memory>

namespace Loom {

class ConnectionBudget;
class Metrics;

/** Serves the metrics of the process over HTTP, in the Prometheus text exposition format. */
class MetricsServer final : public Service
{
public:
    static constexpr std::string_view sName = "stats-front";

    MetricsServer(Metrics &metrics, Tcp::endpoint address);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

private:
    awaitable<void> handle(HttpExchange &exchange);

    Metrics &mMetrics;
    std::shared_ptr<const ConnectionBudget> mBudget;
    Tcp::endpoint mAddress;
    std::unique_ptr<HttpServer> mServer;
};

} // namespace Loom
