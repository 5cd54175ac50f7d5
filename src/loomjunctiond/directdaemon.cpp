/*
 * directdaemon.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "directdaemon.h"

#include "addressserver.h"
#include "clock.h"
#include "connectionservice.h"
#include "feedservice.h"
#include "gatewayserver.h"
#include "jsonlog.h"
#include "loadreporter.h"
#include "loopwatch.h"
#include "memberservice.h"
#include "metricsserver.h"
#include "operatorconfigservice.h"
#include "peerhub.h"
#include "permitservice.h"
#include "platform.h"
#include "quarantineservice.h"
#include "replicaservice.h"
#include "versiontimeexchange.h"
#include "versiontimerecorder.h"
#include "weightstagingservice.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// Last answers and frames leave before the loop ends.
constexpr std::chrono::milliseconds sLastWords{100};

// A file of a kilobyte: reading it costs less than being told of changes.
constexpr std::chrono::milliseconds sSettingsEvery{1'000};

std::string textOf(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::uint64_t newIncarnation()
{
    std::random_device device;
    // Positive as a signed number, so that it stands in JSON unchanged.
    return (std::uint64_t{device()} << 31 | device() >> 1) & 0x3fffffffffffffffULL;
}

} // namespace

DirectDaemon::DirectDaemon(std::string settingsPath, MemberSettings settings)
    : mSettingsPath(std::move(settingsPath))
    , mSettings(std::move(settings))
    , mIncarnation(newIncarnation())
    , mPorts(Platform::makePorts(mContext.get_executor(), mSettings))
    , mKernel(mContext.get_executor())
    , mSignals(mContext, SIGTERM, SIGINT, SIGHUP)
{
    std::signal(SIGPIPE, SIG_IGN);
    addServices();
}

DirectDaemon::~DirectDaemon() = default;

void DirectDaemon::addServices()
{
    const auto preference = mSettings.isGateway() ? FeedPreference::Store : FeedPreference::Peers;
    mKernel.add(std::make_unique<LoopWatch>(mMetrics));
    mKernel.add(std::make_unique<ConnectionService>(mSettings.connections));
    mKernel.add(std::make_unique<PeerHub>(mSettings.peers));
    mKernel.add(std::make_unique<FeedService>(*mPorts.store, mSettings.box, preference));
    mKernel.add(std::make_unique<MemberService>(*mPorts.store, mSettings, mIncarnation));
    mKernel.add(std::make_unique<OperatorConfigService>(*mPorts.records, mSettings.bounds));
    mKernel.add(std::make_unique<VersionTimeExchange>(mSettings.dataCentre));
    mKernel.add(
        std::make_unique<VersionTimeRecorder>(*mPorts.store, mSettings.dataCentre, bootId()));
    mKernel.find<PeerHub>(PeerHub::sName).countInto(mMetrics);
    mKernel.find<FeedService>(FeedService::sName).countInto(mMetrics);
    mKernel.find<OperatorConfigService>(OperatorConfigService::sName).countInto(mMetrics);
    if (mSettings.isGateway()) {
        addGateway();
    } else {
        addStager();
    }
    if (mSettings.metrics) {
        mKernel.add(std::make_unique<MetricsServer>(mMetrics, *mSettings.metrics));
    }
}

void DirectDaemon::addGateway()
{
    mKernel.add(std::make_unique<PermitService>());
    mKernel.add(std::make_unique<ReplicaService>(*mPorts.records, mMetrics, mSettings));
    mKernel.add(std::make_unique<QuarantineService>(*mPorts.store, mMetrics));
    mKernel.add(std::make_unique<GatewayServer>(*mPorts.calls, mMetrics, mSettings));
    mKernel.add(std::make_unique<AddressServer>(*mPorts.calls, mSettings));
}

void DirectDaemon::addStager()
{
    const auto &stager = std::get<StagerSettings>(mSettings.role);
    const std::string replica = endpointText(stager.engine);
    mKernel.add(std::make_unique<PermitService>(replica));
    mKernel.add(std::make_unique<LoadReporter>(replica));
    mKernel.find<LoadReporter>(LoadReporter::sName)
        .setPermits(mKernel.find<PermitService>(PermitService::sName));
    mKernel.add(std::make_unique<WeightStagingService>(*mPorts.engine, mMetrics, mSettings));
}

tl::expected<void, std::string> DirectDaemon::run()
{
    auto started = mKernel.start();
    if (!started) {
        return started;
    }
    logLine(LogLevel::Info, "started",
            {{"role", mSettings.isGateway() ? "gateway" : "stager"},
             {"incarnation", mIncarnation},
             {"dataCentre", mSettings.dataCentre},
             {"boot", bootId()},
             {"bootClockMs",
              std::chrono::duration_cast<Milliseconds>(now().time_since_epoch()).count()},
             {"peers", endpointText(mSettings.peers)},
             {"store", endpointText(mSettings.store)}});
    mSettingsText = textOf(mSettingsPath);
    asio::co_spawn(mContext, watchSettings(), asio::detached);
    waitForSignal();
    mContext.run();
    logLine(LogLevel::Info, "stopped", {});
    return {};
}

void DirectDaemon::waitForSignal()
{
    mSignals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reload("signal");
        } else {
            beginStop();
        }
        waitForSignal();
    });
}

// The file is taken as a whole or refused as a whole.
void DirectDaemon::reload(std::string_view cause)
{
    mSettingsText = textOf(mSettingsPath);
    const auto settings = loadMemberSettings(mSettingsPath);
    if (!settings) {
        logLine(LogLevel::Error, "reload-refused",
                {{"cause", cause}, {"problem", settings.error()}});
        return;
    }
    const std::vector<std::string> later = fieldsRequiringRestart(mSettings, *settings);
    mSettings.bounds = settings->bounds;
    mSettings.failureTolerance = settings->failureTolerance;
    mSettings.logLevel = settings->logLevel;
    mSettings.seeds = settings->seeds;
    mSettings.regions = settings->regions;
    setLogLevel(mSettings.logLevel);
    mKernel.find<MemberService>(MemberService::sName).setSeeds(mSettings.seeds);
    mKernel.find<OperatorConfigService>(OperatorConfigService::sName).setBounds(mSettings.bounds);
    if (mSettings.isGateway()) {
        auto &replicas = mKernel.find<ReplicaService>(ReplicaService::sName);
        replicas.setBounds(mSettings.bounds);
        replicas.updateRegions();
    }
    logLine(LogLevel::Info, "reloaded",
            {{"cause", cause},
             {"drainMs", mSettings.bounds.drainTimeout.count()},
             {"stopMs", mSettings.bounds.shutdownTimeout.count()},
             {"addressLifetimeMs", mSettings.bounds.addressTtl.count()},
             {"weightsMs", mSettings.bounds.weightsGracePeriod.count()},
             {"configMs", mSettings.bounds.maxConfigAge.count()},
             {"retryRatio", mSettings.bounds.retries.ratio},
             {"retryExtra", mSettings.bounds.retries.extra},
             {"dataCentresLost", mSettings.failureTolerance.dataCentres},
             {"regionsLost", mSettings.failureTolerance.regions},
             {"regions", mSettings.regions.size()},
             {"seeds", mSettings.seeds.size()}});
    for (const std::string &field : later) {
        logLine(LogLevel::Warning, "reload-needs-restart", {{"field", field}});
    }
}

// The file may change without a signal.
awaitable<void> DirectDaemon::watchSettings()
{
    while (!mStopping) {
        co_await sleepFor(sSettingsEvery);
        if (textOf(mSettingsPath) != mSettingsText) {
            reload("the file changed");
        }
    }
}

// The first call drains, a second one stops at once.
void DirectDaemon::beginStop()
{
    if (mStopping) {
        logLine(LogLevel::Warning, "stopping-at-once", {});
        mContext.stop();
        return;
    }
    mStopping = true;
    logLine(LogLevel::Info, "stopping", {});
    asio::co_spawn(mContext, drainAndStop(), asio::detached);
}

awaitable<void> DirectDaemon::drainAndStop()
{
    co_await mKernel.drain();
    mKernel.stop();
    co_await sleepFor(sLastWords);
    mContext.stop();
}

} // namespace Loom
