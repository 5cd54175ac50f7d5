/*
 * gatewayfront.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "gatewayfront.h"

#include "clock.h"
#include "directconfig.h"
#include "feedservice.h"
#include "gatewaycall.h"
#include "jsonlog.h"
#include "memberservice.h"
#include "metrics.h"
#include "quarantineservice.h"
#include "replicaservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// Callers that hold an address answer go on coming for its lifetime and longer.
constexpr std::chrono::milliseconds sLeastDrain{3'000};
// A leaving gateway that got no request for so long is not asked any more.
constexpr std::chrono::milliseconds sQuiet{700};
constexpr std::chrono::milliseconds sDrainStep{50};
// Before the platform's kill: last answers and log lines still have to leave.
constexpr std::chrono::milliseconds sStopMargin{400};
// Time that a request may need when the replicas are full; with less left until
// the stop, another gateway has to take it.
constexpr std::chrono::milliseconds sLongRequest{5'000};
constexpr Milliseconds sElsewhere{50};

} // namespace

GatewayFront::GatewayFront(CallPort &calls, Metrics &metrics, const DirectSettings &settings)
    : mCalls(calls)
    , mMetrics(metrics)
    , mSettings(settings)
{
}

tl::expected<void, std::string> GatewayFront::start(Kernel &kernel)
{
    mConfig = &kernel.find<DirectConfig>(DirectConfig::sName);
    mFeeds = &kernel.find<FeedService>(FeedService::sName);
    mMembers = &kernel.find<MemberService>(MemberService::sName);
    mReplicas = &kernel.find<ReplicaService>(ReplicaService::sName);
    mQuarantine = &kernel.find<QuarantineService>(QuarantineService::sName);
    mMembers->setStatusSource([this] {
        GatewayState state;
        state.isReady = isReady();
        state.isLeaving = mIsLeaving;
        state.configVersion = mConfig->table() ? mConfig->table()->version() : 0;
        return state;
    });
    mConfig->addListener([this] { takeLimits(); });
    mServer = std::make_unique<HttpServer>(
        kernel.executor(), [this](HttpExchange &exchange) { return handle(exchange); });
    mServer->setLossHandler(
        [this](HttpLoss loss, std::string_view problem) { noteLoss(loss, problem); });
    return mServer->listen(std::get<GatewaySettings>(mSettings.role).callers);
}

void GatewayFront::takeLimits()
{
    if (!mConfig->table()) {
        return; // weights may be named before a configuration is known
    }
    const RequestLimits &told = mConfig->table()->config().limits;
    HttpLimits limits;
    limits.bodyBytes = told.bodyBytes;
    limits.headerBytes = told.headerBytes;
    limits.header = told.headerTimeout;
    limits.idle = told.idleTimeout;
    mServer->setLimits(limits);
    mMembers->noteChange();
}

// No call began, or none ended, so no other line tells of the request.
void GatewayFront::noteLoss(HttpLoss loss, std::string_view problem)
{
    const std::string_view how = loss == HttpLoss::NotRead ? "not read whole" : "not answered";
    mMetrics.count("lost_requests", how);
    logLine(LogLevel::Warning, "request-lost", {{"how", how}, {"problem", problem}});
}

bool GatewayFront::isReady() const
{
    return !mIsLeaving && mConfig->table() && mFeeds->age(Feed::Replicas);
}

awaitable<void> GatewayFront::handle(HttpExchange &exchange)
{
    ++mInFlight;
    mLastCall = BootClock::now();
    if (refusesNew()) {
        HttpResponse response = HttpResponse::json(503, R"({"error":"this gateway is leaving"})");
        response.headers.push_back(mCalls.comeBack(sElsewhere));
        co_await exchange.respond(std::move(response));
        mMetrics.count("calls", "refused while leaving");
        --mInFlight;
        co_return;
    }
    GatewayCall call({mSettings, mCalls, *mConfig, *mReplicas, *mQuarantine, *mMembers, mMetrics},
                     exchange);
    co_await call.run();
    --mInFlight;
}

awaitable<void> GatewayFront::drain()
{
    mRefuseFrom = BootClock::time_point::max();
    mIsLeaving = true;
    mServer->beginDrain();
    mMembers->noteChange();
    asio::co_spawn(co_await asio::this_coro::executor, mMembers->leave(), asio::detached);
    const auto begun = BootClock::now();
    const auto end = begun + mSettings.bounds.stopTime - sStopMargin;
    mRefuseFrom = end - sLongRequest;
    while (BootClock::now() < end) {
        const auto time = BootClock::now();
        const bool isQuiet = mInFlight == 0 && time - mLastCall > sQuiet;
        if (isQuiet && time - begun > sLeastDrain) {
            break;
        }
        co_await sleepFor(sDrainStep);
    }
    logLine(LogLevel::Info, "drained", {{"inFlight", mInFlight}});
    mServer->stopListening();
    mServer->closeIdle();
}

void GatewayFront::stop()
{
    mServer->stopListening();
}

} // namespace Loom
