/*
 * main.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loombench).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "loadgenerator.h"

#include <csignal>
#include <iostream>

#include <CLI/CLI.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

using namespace Loom;

namespace {

constexpr int sExitUsage = 2;

bool readEndpoint(const std::string &option, const std::string &text, Tcp::endpoint &out)
{
    const auto parsed = parseEndpoint(text);
    if (!parsed) {
        std::cerr << option << ": " << parsed.error() << "\n";
        return false;
    }
    out = *parsed;
    return true;
}

int runLoad(LoadOptions options)
{
    asio::io_context context{1};
    LoadGenerator generator(context.get_executor(), std::move(options));
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &error, int) {
        if (!error) {
            generator.stop();
        }
    });
    asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            co_await generator.run();
            signals.cancel();
        },
        asio::detached);
    context.run();
    std::cout << boost::json::serialize(generator.result().toJson()) << "\n";
    return generator.result().bad == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{"loombench: sends load as callers do and judges every answer"};
    LoadOptions options;
    std::vector<std::string> seeds;
    std::vector<std::string> weights;
    std::string direct;
    app.add_option("--seed-entry", seeds, "entries to ask for addresses")->delimiter(',');
    app.add_option("--direct", direct, "engine to call without the system");
    app.add_option("--direct-version", options.directVersion, "version asked of that engine");
    app.add_option("--service", options.service, "service to call")->required();
    app.add_option("--account", options.accounts, "client accounts")->delimiter(',')->required();
    app.add_option("--shares", options.shares, "workers of each account, relative")->delimiter(',');
    app.add_option("--weights", weights, "VERSION=DIGEST that answers must carry");
    app.add_option("--concurrency", options.concurrency, "workers");
    app.add_option("--rate", options.ratePerSecond, "requests a second; 0: closed loop");
    app.add_option("--seconds", options.seconds, "how long; 0: until SIGTERM");
    app.add_option("--tokens", options.tokens, "tokens asked for");
    app.add_option("--prefixes", options.prefixes, "distinct prompt starts; 0: all differ");
    app.add_option("--deadline-ms", options.deadlineMs, "deadline of each request");
    app.add_option("--seed", options.seed, "of the random choices");
    app.add_flag("--stream", options.stream, "ask for answers in pieces");
    app.add_flag("--once", options.once, "calls that may run once, with issued keys");
    app.add_flag("!--ignore-retry-after", options.obeyRetryAfter, "come back at once when refused");
    CLI11_PARSE(app, argc, argv);

    for (const std::string &seed : seeds) {
        if (!readEndpoint("--seed-entry", seed, options.seeds.emplace_back())) {
            return sExitUsage;
        }
    }
    if (!direct.empty() && !readEndpoint("--direct", direct, options.direct)) {
        return sExitUsage;
    }
    for (const std::string &pair : weights) {
        const std::size_t equals = pair.find('=');
        if (equals == std::string::npos) {
            std::cerr << "--weights: expected VERSION=DIGEST, found '" << pair << "'\n";
            return sExitUsage;
        }
        options.weights[pair.substr(0, equals)] = pair.substr(equals + 1);
    }
    return runLoad(std::move(options));
}
