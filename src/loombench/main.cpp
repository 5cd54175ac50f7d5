/*
 * main.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loombench).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "loadgenerator.h"
#include "statebench.h"

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
    CLI::App app{"loombench: sends load as callers do and judges every answer; measures state"};
    app.require_subcommand(1);
    CLI::App *load = app.add_subcommand("load", "send requests and judge the answers");
    LoadOptions options;
    std::vector<std::string> seeds;
    std::vector<std::string> weights;
    std::string direct;
    load->add_option("--seed-entry", seeds, "entries to ask for addresses")->delimiter(',');
    load->add_option("--direct", direct, "engine to call without the system");
    load->add_option("--direct-version", options.directVersion, "version asked of that engine");
    load->add_option("--service", options.service, "service to call")->required();
    load->add_option("--account", options.accounts, "client accounts")->delimiter(',')->required();
    load->add_option("--shares", options.shares, "workers of each account")->delimiter(',');
    load->add_option("--weights", weights, "VERSION=DIGEST that answers must carry");
    load->add_option("--concurrency", options.concurrency, "workers");
    load->add_option("--rate", options.ratePerSecond, "requests a second; 0: closed loop");
    load->add_option("--seconds", options.seconds, "how long; 0: until SIGTERM");
    load->add_option("--tokens", options.tokens, "tokens asked for");
    load->add_option("--prefixes", options.prefixes, "distinct prompt starts; 0: all differ");
    load->add_option("--deadline-ms", options.deadlineMs, "deadline of each request");
    load->add_option("--seed", options.seed, "of the random choices");
    load->add_flag("--stream", options.stream, "ask for answers in pieces");
    load->add_flag("--once", options.once, "calls that may run once, with issued keys");
    load->add_flag("--own-keys", options.ownKeys, "calls that may run once, with own UUIDv7 keys");
    load->add_flag("!--ignore-retry-after", options.obeyRetryAfter, "come back at once");
    CLI::App *state = app.add_subcommand("state", "memory and time of the state kept");
    std::uint32_t services = 1'000;
    std::uint32_t keys = 50'000;
    state->add_option("--services", services, "services, of ten values each");
    state->add_option("--keys", keys, "once keys, claims and attempts");
    CLI11_PARSE(app, argc, argv);

    if (*state) {
        std::cout << boost::json::serialize(measureState(services, keys)) << "\n";
        return 0;
    }
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
