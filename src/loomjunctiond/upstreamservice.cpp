/*
 * upstreamservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "upstreamservice.h"

#include "clock.h"
#include "jsonhttp.h"
#include "jsonlog.h"
#include "platformservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::chrono::milliseconds sPollEvery{500};
constexpr std::chrono::milliseconds sPollTimeout{2'000};

} // namespace

UpstreamService::UpstreamService(const asio::any_io_executor &executor, std::uint64_t incarnation)
    : mGate(incarnation)
    , mChanged(executor)
{
}

tl::expected<void, std::string> UpstreamService::start(Kernel &kernel)
{
    mPlatform = &kernel.find<PlatformService>(PlatformService::sName);
    mSettings = &std::get<AgentSettings>(mPlatform->settings().role);
    mGate.setCapacity(mSettings->capacity);
    asio::co_spawn(kernel.executor(), follow(), asio::detached);
    return {};
}

awaitable<void> UpstreamService::follow()
{
    while (!mStopped) {
        co_await refresh();
        co_await sleepFor(sPollEvery);
    }
}

awaitable<void> UpstreamService::refresh()
{
    if (mSettings->isEngine) {
        co_await askEngine();
    } else {
        co_await askPlain();
    }
}

awaitable<void> UpstreamService::askEngine()
{
    HttpCall call{mSettings->upstream, "GET", "/v1/state", {}, {}, sPollTimeout};
    const auto response = co_await mPlatform->http().send(std::move(call));
    const bool alive = response && response->status == 200;
    if (alive) {
        takeReport(response->body);
    } else {
        mVersions.clearEngineReport();
        mGate.setVersions({});
    }
    setAlive(alive);
}

void UpstreamService::takeReport(std::string_view body)
{
    const boost::json::object report = jsonObject(body);
    std::vector<LoadedVersion> loaded;
    const boost::json::value *list = report.if_contains("loaded");
    if (list != nullptr && list->is_array()) {
        for (const boost::json::value &item : list->as_array()) {
            const boost::json::object *entry = item.if_object();
            if (entry != nullptr) {
                loaded.push_back({jsonText(*entry, "version"), jsonText(*entry, "manifest")});
            }
        }
    }
    mEngineLoad = static_cast<std::uint32_t>(jsonInteger(report, "load", 0));
    mVersions.setEngineReport(loaded, now());
    std::vector<std::string> announced = mVersions.announced();
    if (announced != mGate.versions()) {
        mGate.setVersions(std::move(announced));
        noteChange();
    }
}

awaitable<void> UpstreamService::askPlain()
{
    // Its protocol is the callers' own; all that can be asked is whether it listens.
    const auto connected = co_await connectWithin(mSettings->upstream, sPollTimeout);
    setAlive(connected.has_value());
}

void UpstreamService::setAlive(bool alive)
{
    if (alive == mGate.isUpstreamAlive()) {
        return;
    }
    mGate.setUpstreamAlive(alive);
    logLine(alive ? LogLevel::Info : LogLevel::Warning, "upstream-alive", {{"alive", alive}});
    noteChange();
}

} // namespace Loom
