/*
 * configservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "configservice.h"

#include "clock.h"
#include "jsonlog.h"
#include "platformservice.h"

namespace Loom {

ConfigService::ConfigService(const asio::any_io_executor &executor)
    : mChanged(executor)
{
    mReplica.setListener([this] { notify(); });
}

tl::expected<void, std::string> ConfigService::start(Kernel &kernel)
{
    mPlatform = &kernel.find<PlatformService>(PlatformService::sName);
    return {};
}

FeedResult ConfigService::feedLog(std::span<const wire::StoredRecord> records,
                                  std::uint64_t logFirst)
{
    return mReplica.feedLog(records, logFirst, now());
}

FeedResult ConfigService::feedPeer(const wire::ConfigUpdate &update)
{
    return mReplica.feedPeer(update, now());
}

void ConfigService::notify()
{
    mPlatform->metrics().set("config_offset", "", static_cast<std::int64_t>(state().asOf()));
    logLine(LogLevel::Debug, "config-changed", {{"offset", state().asOf()}});
    for (const auto &listener : mListeners) {
        listener();
    }
    mChanged.notify();
}

} // namespace Loom
