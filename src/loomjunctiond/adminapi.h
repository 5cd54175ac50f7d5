/*
 * adminapi.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "http.h"
#include "kernel.h"

#include <functional>
#include <memory>
#include <string_view>

namespace Loom {

class BurnService;
class CallFront;
class ConfigService;
class ConfigTail;
class LinkService;
class ListService;
class PlatformService;

/** The operators' side of an entry: what loomctl and metrics collectors ask. */
class AdminApi final : public Service
{
public:
    static constexpr std::string_view sName = "admin";

    /** @p requestDrain begins a planned stop of this process. */
    explicit AdminApi(std::function<void()> requestDrain);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

private:
    awaitable<void> handle(HttpExchange &exchange);
    awaitable<void> submitChange(HttpExchange &exchange);
    HttpResponse explain(const HttpRequest &request) const;
    HttpResponse history(const HttpRequest &request) const;
    HttpResponse state() const;
    HttpResponse upstreams() const;
    HttpResponse health() const;
    HttpResponse fate(std::string_view changeId) const;
    HttpResponse entries() const;

    std::function<void()> mRequestDrain;
    PlatformService *mPlatform = nullptr;
    ConfigService *mConfig = nullptr;
    ConfigTail *mTail = nullptr;
    LinkService *mLinks = nullptr;
    ListService *mList = nullptr;
    BurnService *mBurn = nullptr;
    CallFront *mFront = nullptr;
    std::unique_ptr<HttpServer> mServer;
};

} // namespace Loom
