/*
 * main.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomstandin).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "enginestandin.h"
#include "liststandin.h"
#include "logstandin.h"
#include "plainstandin.h"
#include "weightstandin.h"

#include <csignal>
#include <iostream>
#include <memory>
#include <vector>

#include <CLI/CLI.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

using namespace Loom;

namespace {

constexpr int sExitUsage = 2;
constexpr int sExitListen = 3;
constexpr double sBytesPerMbit = 125'000;

/** Options of the command line that several stand-ins share. */
struct CommonOptions
{
    std::string listen = "127.0.0.1:0";
    std::uint16_t count = 1;
};

/** Keeps servers alive while the event loop runs. */
class Host
{
public:
    Host()
        : mSignals(mContext, SIGTERM, SIGINT)
    {
        mSignals.async_wait([this](const boost::system::error_code &, int) { mContext.stop(); });
    }

    asio::any_io_executor executor() { return mContext.get_executor(); }

    bool serve(const Tcp::endpoint &endpoint, HttpHandler handler)
    {
        HttpLimits limits;
        limits.bodyBytes = 64 * 1024 * 1024;
        limits.idle = std::chrono::hours(1);
        mServers.push_back(std::make_unique<HttpServer>(executor(), std::move(handler), limits));
        const auto listening = mServers.back()->listen(endpoint);
        if (!listening) {
            std::cerr << listening.error() << "\n";
            return false;
        }
        return true;
    }

    int run()
    {
        mContext.run();
        return 0;
    }

private:
    asio::io_context mContext{1};
    asio::signal_set mSignals;
    std::vector<std::unique_ptr<HttpServer>> mServers;
};

template <class StandIn> HttpHandler handlerOf(const std::shared_ptr<StandIn> &standIn)
{
    return [standIn](HttpExchange &exchange) { return standIn->handle(exchange); };
}

/** Serves @p count stand-ins from @p make on consecutive ports. */
template <class Make> int serveAll(const CommonOptions &common, Make make)
{
    auto first = parseEndpoint(common.listen);
    if (!first) {
        std::cerr << "--listen: " << first.error() << "\n";
        return sExitUsage;
    }
    Host host;
    for (std::uint16_t i = 0; i < common.count; ++i) {
        const Tcp::endpoint endpoint(first->address(),
                                     static_cast<std::uint16_t>(first->port() + i));
        if (!host.serve(endpoint, make(host))) {
            return sExitListen;
        }
    }
    return host.run();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{
        "Stand-ins for what the platform gives: log, live list, weights, engines, services"};
    app.require_subcommand(1);
    CommonOptions common;
    const auto addCommon = [&](CLI::App *command) {
        command->add_option("--listen", common.listen, "IP:PORT of the first one");
        command->add_option("--count", common.count, "how many, on consecutive ports");
    };
    std::int64_t retentionMs = 3'600'000;
    std::uint64_t appendsPerSecond = 400;
    std::int64_t lagMs = 1'000;
    std::int64_t probeMs = 1'000;
    double egressMbit = 0;
    std::uint64_t seed = 1;
    EngineStandIn::Options engine;
    std::int64_t prefillMs = 0;
    std::int64_t cachedPrefillMs = 0;
    std::int64_t perTokenMs = 0;
    std::int64_t loadMs = 200;
    std::int64_t reportLagMs = 0;
    std::int64_t delayMs = 0;

    CLI::App *log = app.add_subcommand("log", "append-only log with offsets");
    addCommon(log);
    log->add_option("--retention-ms", retentionMs, "how long records are kept");
    log->add_option("--appends-per-second", appendsPerSecond, "appends taken a second");

    CLI::App *list = app.add_subcommand("list", "lagging list of live and leaving boxes");
    addCommon(list);
    list->add_option("--lag-ms", lagMs, "how late changes show");
    list->add_option("--probe-ms", probeMs, "how often boxes are probed; 0: never");

    CLI::App *weights = app.add_subcommand("weights", "weight store and origin");
    addCommon(weights);
    weights->add_option("--egress-mbit", egressMbit, "megabits a second out; 0: no limit");
    weights->add_option("--seed", seed, "of the faults");

    CLI::App *engines = app.add_subcommand("engine", "model engines");
    addCommon(engines);
    engines->add_flag("!--ignore-fence", engine.checksFence, "take orders with any fencing number");
    engines->add_option("--slots", engine.slots, "requests run at once");
    engines->add_option("--queue", engine.queue, "requests that may wait");
    engines->add_option("--prefill-ms", prefillMs, "before the first token");
    engines->add_option("--cached-prefill-ms", cachedPrefillMs, "the same after a prefix hit");
    engines->add_option("--token-ms", perTokenMs, "between tokens");
    engines->add_option("--load-ms", loadMs, "how long loading takes");
    engines->add_option("--cuts-on", engine.cutsOn,
                        "a prompt with this text breaks its connection off");
    engines->add_option("--report-lag-ms", reportLagMs, "age of load reports");
    engines->add_option("--cached-prefixes", engine.cachedPrefixes, "prefixes kept");

    CLI::App *plain = app.add_subcommand("plain", "plain services");
    addCommon(plain);
    plain->add_option("--delay-ms", delayMs, "before each answer");

    CLI11_PARSE(app, argc, argv);

    if (*log) {
        return serveAll(common, [&](Host &host) {
            const LogStandIn::Options options{Milliseconds(retentionMs), appendsPerSecond};
            return handlerOf(std::make_shared<LogStandIn>(host.executor(), options));
        });
    }
    if (*list) {
        return serveAll(common, [&](Host &host) {
            const ListStandIn::Options options{Milliseconds(lagMs), Milliseconds(probeMs)};
            auto standIn = std::make_shared<ListStandIn>(options);
            asio::co_spawn(
                host.executor(), [standIn] { return standIn->probeLoop(); }, asio::detached);
            return handlerOf(standIn);
        });
    }
    if (*weights) {
        return serveAll(common, [&](Host &) {
            return handlerOf(std::make_shared<WeightStandIn>(
                WeightStandIn::Options{egressMbit * sBytesPerMbit, seed}));
        });
    }
    if (*engines) {
        engine.prefill = Milliseconds(prefillMs);
        engine.cachedPrefill = Milliseconds(cachedPrefillMs);
        engine.perToken = Milliseconds(perTokenMs);
        engine.load = Milliseconds(loadMs);
        engine.reportLag = Milliseconds(reportLagMs);
        return serveAll(common, [&](Host &host) {
            return handlerOf(std::make_shared<EngineStandIn>(host.executor(), engine));
        });
    }
    return serveAll(common, [&](Host &) {
        return handlerOf(std::make_shared<PlainStandIn>(Milliseconds(delayMs)));
    });
}
