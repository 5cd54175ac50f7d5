/*
 * platformservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "platformservice.h"

#include "clock.h"
#include "peerconnection.h"

namespace Loom {

namespace {

constexpr unsigned sIncarnationRandomBits = 16;
constexpr std::uint64_t sIncarnationMask = (std::uint64_t{1} << 62U) - 1;

} // namespace

PlatformService::PlatformService(const asio::any_io_executor &executor, DaemonSettings settings)
    : mSettings(std::move(settings))
    , mRandom(std::random_device{}())
    , mIncarnation(0)
    , mHttp(executor)
    , mLog(mHttp, mSettings.log)
{
    // The time alone could repeat when a box's clock is set back; nothing
    // compares incarnations by size, they only have to differ.
    const auto time = static_cast<std::uint64_t>(wallNow().count());
    const std::uint64_t noise = mRandom() & ((std::uint64_t{1} << sIncarnationRandomBits) - 1);
    mIncarnation = ((time << sIncarnationRandomBits) | noise) & sIncarnationMask;
}

HttpResponse PlatformService::metricsResponse()
{
    mMetrics.set("peer_bytes", "", static_cast<std::int64_t>(PeerConnection::totalBytes()));
    HttpResponse response;
    response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    response.body = mMetrics.text();
    return response;
}

} // namespace Loom
