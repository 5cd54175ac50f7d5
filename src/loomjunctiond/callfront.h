/*
 * callfront.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "callrunner.h"
#include "http.h"
#include "instant.h"
#include "kernel.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Loom {

class BurnService;
class ConfigService;
class LinkService;
class PlatformService;

/** The callers' side of an entry: address answers, calls, and how their outcomes are told. */
class CallFront final : public Service
{
public:
    static constexpr std::string_view sName = "front";

    explicit CallFront(const asio::any_io_executor &executor);
    ~CallFront() override;

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    /** Stays reachable until no caller can hold an answer that names this entry. */
    awaitable<void> drain() override;
    void stop() override;

    bool isDraining() const { return mDraining; }
    std::uint32_t inFlight() const { return mInFlight; }

private:
    struct ParsedCall
    {
        CallRequest request;
        std::optional<CallEnding> refusal;
    };

    awaitable<void> handle(HttpExchange &exchange);
    awaitable<void> handleAddresses(HttpExchange &exchange);
    awaitable<void> handleCall(HttpExchange &exchange);
    awaitable<void> finish(HttpExchange &exchange, const CallRequest &request, CallEnding ending,
                           Instant arrived, Instant firstByte);
    ParsedCall parse(HttpExchange &exchange, Instant arrived);
    ServiceState *serviceNamed(std::string_view name);

    PlatformService *mPlatform = nullptr;
    ConfigService *mConfig = nullptr;
    LinkService *mLinks = nullptr;
    BurnService *mBurn = nullptr;
    std::unique_ptr<CallRunner> mRunner;
    std::unique_ptr<HttpServer> mServer;
    std::map<std::string, ServiceState, std::less<>> mServices;
    Signal mEnded;
    std::uint32_t mInFlight = 0;
    std::uint64_t mLastRequest = 0;
    bool mDraining = false;
};

} // namespace Loom
