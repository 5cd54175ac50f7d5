/*
 * gatewayserver.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "gatewayserver.h"

#include "clock.h"
#include "connectionservice.h"
#include "feedservice.h"
#include "gatewaycall.h"
#include "jsonlog.h"
#include "memberservice.h"
#include "metrics.h"
#include "operatorconfigservice.h"
#include "quarantineservice.h"
#include "replicaservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// Callers keep using a cached address response for its lifetime and longer.
constexpr std::chrono::milliseconds sMinDrainTime{3'000};
// A leaving gateway without requests for this long is assumed to get no more.
constexpr std::chrono::milliseconds sQuietTime{700};
constexpr std::chrono::milliseconds sDrainPollInterval{50};
// Time before the platform kills the process, in which the last responses and log lines are sent.
constexpr std::chrono::milliseconds sKillMargin{400};
// Time that a request may need when the replicas are full. With less time left until the stop,
// another gateway has to handle it.
constexpr std::chrono::milliseconds sMaxRequestTime{5'000};
// Other gateways can take the request, so the caller may retry almost at once.
constexpr Milliseconds sLeavingRetryDelay{50};

} // namespace

GatewayServer::GatewayServer(CallPort &calls, Metrics &metrics, const MemberSettings &settings)
    : mCalls(calls)
    , mMetrics(metrics)
    , mSettings(settings)
{
}

tl::expected<void, std::string> GatewayServer::start(Kernel &kernel)
{
    mConfig = &kernel.find<OperatorConfigService>(OperatorConfigService::sName);
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
    mMembers->listenConfigVersions(
        [this](std::uint64_t version) { mConfig->noteReportedVersion(version); });
    mConfig->addListener([this] { applyLimits(); });
    mServer = std::make_unique<HttpServer>(
        kernel.executor(), [this](HttpExchange &exchange) { return handle(exchange); });
    mServer->setBudget(ConnectionService::budgetOf(kernel));
    mServer->setLossHandler([this](const HttpLossReport &report) { noteLostRequest(report); });
    return mServer->listen(std::get<GatewaySettings>(mSettings.role).callers);
}

void GatewayServer::applyLimits()
{
    if (!mConfig->table()) {
        return; // weights may be announced before any configuration is known
    }
    const RequestLimits &configured = mConfig->table()->config().limits;
    HttpLimits limits;
    limits.bodyBytes = configured.bodyBytes;
    limits.headerBytes = configured.headerBytes;
    limits.header = configured.headerTimeout;
    limits.idle = configured.idleTimeout;
    mServer->setLimits(limits);
    mMembers->noteChange();
}

// Such a request has no "call" log line, because its call did not start or did not finish.
void GatewayServer::noteLostRequest(const HttpLossReport &report)
{
    const std::string_view how
        = report.loss == HttpLoss::NotRead ? "not read whole" : "not answered";
    mMetrics.count("lost_requests", how);
    mMetrics.count("unanswered_requests", report.problem);
    logLine(LogLevel::Warning, "request-lost",
            {{"how", how},
             {"problem", report.problem},
             {"detail", report.detail},
             {"client", endpointText(report.client)}});
}

bool GatewayServer::isReady() const
{
    return !mIsLeaving && mConfig->table() && mFeeds->age(Feed::Replicas);
}

awaitable<void> GatewayServer::handle(HttpExchange &exchange)
{
    ++mInFlight;
    mLastCallAt = BootClock::now();
    if (refusesNewRequests()) {
        HttpResponse response = HttpResponse::json(503, R"({"error":"this gateway is leaving"})");
        response.headers.push_back(mCalls.retryAfter(sLeavingRetryDelay));
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

awaitable<void> GatewayServer::drain()
{
    mRefusesFrom = BootClock::time_point::max();
    mIsLeaving = true;
    mServer->beginDrain();
    mMembers->noteChange();
    asio::co_spawn(co_await asio::this_coro::executor, mMembers->leave(), asio::detached);
    const auto startedAt = BootClock::now();
    const auto stopAt = startedAt + mSettings.bounds.shutdownTimeout - sKillMargin;
    mRefusesFrom = stopAt - sMaxRequestTime;
    while (BootClock::now() < stopAt) {
        const auto currentTime = BootClock::now();
        const bool isIdle = mInFlight == 0 && currentTime - mLastCallAt > sQuietTime;
        if (isIdle && currentTime - startedAt > sMinDrainTime) {
            break;
        }
        co_await sleepFor(sDrainPollInterval);
    }
    logLine(LogLevel::Info, "drained", {{"inFlight", mInFlight}});
    mServer->stopListening();
    mServer->closeIdle();
}

void GatewayServer::stop()
{
    mServer->stopListening();
}

} // namespace Loom
