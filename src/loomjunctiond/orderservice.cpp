/*
 * orderservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "orderservice.h"

#include "clock.h"
#include "jsonhttp.h"
#include "jsonlog.h"
#include "platformservice.h"

namespace Loom {

namespace {

constexpr std::string_view sLeaseStream = "leases";
constexpr std::chrono::milliseconds sAppendTimeout{2'000};
constexpr std::chrono::milliseconds sAcquireStep{50};
constexpr std::chrono::seconds sAcquireFor{60};
// An order may take as long as its load; the engine has begun it or refused it
// well within the lease's order delay.
constexpr std::chrono::milliseconds sOrderTimeout{120'000};

} // namespace

tl::expected<void, std::string> OrderService::start(Kernel &kernel)
{
    mPlatform = &kernel.find<PlatformService>(PlatformService::sName);
    OrderLease::Options options;
    options.engineChecksFence
        = std::get<AgentSettings>(mPlatform->settings().role).engineChecksFence;
    mLease = std::make_unique<OrderLease>(mPlatform->box(), mPlatform->incarnation(), options);
    return {};
}

awaitable<bool> OrderService::readLeases()
{
    const auto batch = co_await mPlatform->log().read(sLeaseStream, mLease->nextOffset(),
                                                      std::chrono::milliseconds(0));
    if (!batch) {
        co_return false;
    }
    mLease->feed(batch->records, now());
    co_return true;
}

awaitable<bool> OrderService::acquire()
{
    const auto until = std::chrono::steady_clock::now() + sAcquireFor;
    while (std::chrono::steady_clock::now() < until) {
        const bool read = co_await readLeases();
        if (read && mLease->fencingNumber(now())) {
            co_return true;
        }
        const auto claim = read ? mLease->claimIfDue(now()) : std::nullopt;
        if (claim) {
            mPlatform->metrics().count("log_appends", "leases");
            co_await mPlatform->log().append(sLeaseStream, claim->SerializeAsString(),
                                             sAppendTimeout);
            continue;
        }
        co_await sleepFor(sAcquireStep);
    }
    co_return false;
}

awaitable<bool> OrderService::load(std::string version, std::string manifestDigest)
{
    return give("load", std::move(version), std::move(manifestDigest));
}

awaitable<bool> OrderService::unload(std::string version)
{
    return give("unload", std::move(version), {});
}

awaitable<bool> OrderService::give(std::string kind, std::string version,
                                   std::string manifestDigest)
{
    if (!co_await acquire()) {
        logLine(LogLevel::Warning, "order-lease-missing", {{"order", kind}, {"version", version}});
        co_return false;
    }
    // Asked again right before the order: nothing in between may wait.
    const auto fence = mLease->fencingNumber(now());
    if (!fence) {
        co_return false;
    }
    const boost::json::object order{
        {"order", kind}, {"version", version}, {"manifest", manifestDigest}, {"fence", *fence}};
    HttpCall call;
    call.endpoint = std::get<AgentSettings>(mPlatform->settings().role).upstream;
    call.method = "POST";
    call.target = "/v1/orders";
    call.body = boost::json::serialize(order);
    call.timeout = sOrderTimeout;
    const auto response = co_await mPlatform->http().send(std::move(call));
    const bool accepted = response && response->status == 200;
    logLine(accepted ? LogLevel::Info : LogLevel::Warning, "order",
            {{"order", kind},
             {"version", version},
             {"fence", *fence},
             {"accepted", accepted},
             {"status", response ? response->status : 0}});
    co_return accepted;
}

} // namespace Loom
