/*
 * gatewayserver.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "http.h"
#include "kernel.h"
#include "membersettings.h"
#include "ports.h"

#include <memory>

namespace Loom {

class OperatorConfigService;
class FeedService;
class MemberService;
class Metrics;
class QuarantineService;
class ReplicaService;

/** Accepts the requests of callers, and tells whether this gateway is ready for them. */
class GatewayServer final : public Service
{
public:
    static constexpr std::string_view sName = "gateway-front";

    GatewayServer(CallPort &calls, Metrics &metrics, const MemberSettings &settings);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    awaitable<void> drain() override;
    void stop() override;

    /** Whether callers may be sent to this gateway. */
    bool isReady() const;
    bool isLeaving() const { return mIsLeaving; }
    /** Whether a request that arrives now might not finish before the process stops. */
    bool refusesNewRequests() const { return mIsLeaving && BootClock::now() > mRefusesFrom; }
    /** The address listened on, including the port that the system chose for port 0. */
    Tcp::endpoint localEndpoint() const { return mServer->localEndpoint(); }
    std::uint32_t inFlight() const { return mInFlight; }

private:
    awaitable<void> handle(HttpExchange &exchange);
    void noteLostRequest(const HttpLossReport &report);
    void applyLimits();

    CallPort &mCalls;
    Metrics &mMetrics;
    const MemberSettings &mSettings;
    OperatorConfigService *mConfig = nullptr;
    FeedService *mFeeds = nullptr;
    MemberService *mMembers = nullptr;
    ReplicaService *mReplicas = nullptr;
    QuarantineService *mQuarantine = nullptr;
    std::unique_ptr<HttpServer> mServer;
    std::uint32_t mInFlight = 0;
    BootClock::time_point mLastCallAt;
    BootClock::time_point mRefusesFrom; ///< new requests are refused after this time while leaving
    bool mIsLeaving = false;
};

} // namespace Loom
