/*
 * claimservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "claimservice.h"

#include "clock.h"
#include "platformservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::string_view sClaimStream = "claims";
constexpr std::chrono::milliseconds sLongPoll{2'000};
constexpr std::chrono::milliseconds sRetry{200};
constexpr std::chrono::milliseconds sAppendTimeout{2'000};
// Claims that come within this time share an append.
constexpr std::chrono::milliseconds sGather{10};

} // namespace

ClaimService::ClaimService(const asio::any_io_executor &executor)
    : mFolded(executor)
    , mWaiting(executor)
{
}

tl::expected<void, std::string> ClaimService::start(Kernel &kernel)
{
    mPlatform = &kernel.find<PlatformService>(PlatformService::sName);
    asio::co_spawn(kernel.executor(), follow(), asio::detached);
    asio::co_spawn(kernel.executor(), write(), asio::detached);
    return {};
}

awaitable<void> ClaimService::follow()
{
    while (!mStopped) {
        const auto batch
            = co_await mPlatform->log().read(sClaimStream, mTable.nextOffset(), sLongPoll);
        mLogReachable = batch.has_value();
        if (!batch) {
            co_await sleepFor(sRetry);
            continue;
        }
        mTable.feed(batch->records, batch->first, wallNow(), now());
        mFolded.notify();
    }
}

awaitable<void> ClaimService::write()
{
    while (!mStopped) {
        if (mBatcher.isEmpty()) {
            co_await mWaiting.waitFor(sLongPoll);
            continue;
        }
        co_await sleepFor(sGather);
        const wire::ClaimBatch batch = mBatcher.takeBatch(mPlatform->box(), wallNow());
        mPlatform->metrics().count("log_appends", "claims");
        // A failed or unanswered append needs no second one: the callers give
        // up by themselves, and a claim that did get in binds everybody alike.
        co_await mPlatform->log().append(sClaimStream, batch.SerializeAsString(), sAppendTimeout);
    }
}

awaitable<ClaimOutcome> ClaimService::settle(CallerKey key, ClaimedHome wanted,
                                             std::chrono::milliseconds wait)
{
    const auto until = std::chrono::steady_clock::now() + wait;
    const auto settled = [&]() -> std::optional<ClaimOutcome> {
        const auto home = mTable.home(key.uuid);
        if (!home) {
            return std::nullopt;
        }
        const bool certain = mTable.coversKeysSince(key.createdAt);
        return ClaimOutcome{certain ? home : std::nullopt, !certain};
    };
    if (const auto known = settled()) {
        co_return *known;
    }
    if (!mLogReachable) {
        co_return ClaimOutcome{};
    }
    wire::KeyClaim claim;
    claim.set_key(key.uuid);
    claim.set_service(wanted.service);
    claim.set_home_box(wanted.box);
    claim.set_home_incarnation(wanted.incarnation);
    mBatcher.add(std::move(claim));
    mWaiting.notify();
    while (std::chrono::steady_clock::now() < until) {
        if (const auto known = settled()) {
            co_return *known;
        }
        co_await mFolded.waitUntil(until);
    }
    co_return ClaimOutcome{};
}

} // namespace Loom
