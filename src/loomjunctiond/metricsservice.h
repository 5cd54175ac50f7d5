/*
 * metricsservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "http.h"
#include "kernel.h"

#include <memory>
#include <string_view>

namespace Loom {

class ConfigService;
class PlatformService;
class UpstreamService;

/** The operators' side of an agent, where its settings give it an address: metrics and health. */
class MetricsService final : public Service
{
public:
    static constexpr std::string_view sName = "metrics";

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

private:
    awaitable<void> handle(HttpExchange &exchange);
    HttpResponse health() const;

    PlatformService *mPlatform = nullptr;
    ConfigService *mConfig = nullptr;
    UpstreamService *mUpstream = nullptr;
    std::unique_ptr<HttpServer> mServer;
};

} // namespace Loom
