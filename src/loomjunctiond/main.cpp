/*
 * main.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "adminapi.h"
#include "agentlinks.h"
#include "agentport.h"
#include "burnservice.h"
#include "callfront.h"
#include "callservice.h"
#include "claimservice.h"
#include "configservice.h"
#include "configtail.h"
#include "connectionservice.h"
#include "daemonsettings.h"
#include "directdaemon.h"
#include "jsonlog.h"
#include "kernel.h"
#include "linkservice.h"
#include "listservice.h"
#include "metricsservice.h"
#include "orderservice.h"
#include "overload.h"
#include "platformservice.h"
#include "processlimits.h"
#include "upstreamservice.h"
#include "weightservice.h"

#include <csignal>
#include <iostream>
#include <memory>

#include <CLI/CLI.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <malloc.h>

using namespace Loom;

namespace {

// Documented in docs/operators/daemon.md.
constexpr int sExitSettings = 2;
constexpr int sExitStart = 3;

// Bodies of this size are returned to the system at once when they are freed. The allocator would
// raise the size by itself after the first one.
constexpr int sLargeBlockBytes = 256 * 1024;

/** One daemon process: its event loop, kernel and planned stop. */
class Daemon
{
public:
    explicit Daemon(DaemonSettings settings)
        : mKernel(mContext.get_executor())
        , mSignals(mContext, SIGTERM, SIGINT)
    {
        auto platform
            = std::make_unique<PlatformService>(mContext.get_executor(), std::move(settings));
        PlatformService &parts = *platform;
        mKernel.add(std::move(platform));
        mKernel.add(std::make_unique<ConnectionService>(connectionBoundsFor(processLimits())));
        mKernel.add(std::make_unique<ListService>());
        mKernel.add(std::make_unique<ConfigService>(mContext.get_executor()));
        std::visit(Overload{
                       [&](const EntrySettings &) { addEntry(); },
                       [&](const AgentSettings &agent) { addAgent(agent, parts.incarnation()); },
                   },
                   parts.settings().role);
    }

    int run()
    {
        const auto started = mKernel.start();
        if (!started) {
            std::cerr << started.error() << "\n";
            return sExitStart;
        }
        logLine(LogLevel::Info, "started", {});
        waitForSignal();
        mContext.run();
        logLine(LogLevel::Info, "stopped", {});
        return 0;
    }

private:
    void addEntry()
    {
        const auto executor = mContext.get_executor();
        mKernel.add(std::make_unique<ConfigTail>());
        mKernel.add(std::make_unique<LinkService>());
        mKernel.add(std::make_unique<ClaimService>(executor));
        mKernel.add(std::make_unique<BurnService>());
        mKernel.add(std::make_unique<CallFront>(executor));
        mKernel.add(std::make_unique<AdminApi>([this] { beginStop(); }));
    }

    void addAgent(const AgentSettings &agent, std::uint64_t incarnation)
    {
        const auto executor = mContext.get_executor();
        mKernel.add(std::make_unique<UpstreamService>(executor, incarnation));
        mKernel.add(std::make_unique<AgentLinks>());
        mKernel.add(std::make_unique<OrderService>());
        mKernel.add(std::make_unique<CallService>(executor));
        mKernel.add(std::make_unique<WeightService>(executor, agent));
        mKernel.add(std::make_unique<AgentPort>());
        mKernel.add(std::make_unique<MetricsService>());
    }

    void waitForSignal()
    {
        mSignals.async_wait([this](const boost::system::error_code &error, int) {
            if (!error) {
                beginStop();
                waitForSignal();
            }
        });
    }

    // The first call drains, a second one stops at once.
    void beginStop()
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

    awaitable<void> drainAndStop()
    {
        co_await mKernel.drain();
        mKernel.stop();
        // Last answers and GOAWAY frames leave before the loop ends.
        co_await sleepFor(std::chrono::milliseconds(200));
        mContext.stop();
    }

    asio::io_context mContext{1};
    Kernel mKernel;
    asio::signal_set mSignals;
    bool mStopping = false;
};

// The roles that work with replicas directly; see docs/decisions/0007-platform.md.
int runDirect(const std::string &path, bool checkOnly)
{
    auto settings = loadMemberSettings(path);
    if (!settings) {
        std::cerr << settings.error() << "\n";
        return sExitSettings;
    }
    if (checkOnly) {
        std::cout << path << ": well\n";
        return 0;
    }
    initializeLog("loomjunctiond", settings->box, settings->logLevel);
    DirectDaemon daemon(path, std::move(*settings));
    const auto ended = daemon.run();
    if (!ended) {
        std::cerr << ended.error() << "\n";
        return sExitStart;
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{"loomjunction daemon: the entry or agent role of one box"};
    std::string path;
    bool checkOnly = false;
    app.add_option("--config", path, "settings file (JSON)")->required();
    app.add_flag("--check", checkOnly, "only check the settings file");
    CLI11_PARSE(app, argc, argv);
    mallopt(M_MMAP_THRESHOLD, sLargeBlockBytes);

    if (hasMemberRole(path)) {
        return runDirect(path, checkOnly);
    }
    auto settings = loadDaemonSettings(path);
    if (!settings) {
        std::cerr << settings.error() << "\n";
        return sExitSettings;
    }
    if (checkOnly) {
        std::cout << path << ": well\n";
        return 0;
    }
    initializeLog("loomjunctiond", settings->box, settings->logLevel);
    Daemon daemon(std::move(*settings));
    return daemon.run();
}
