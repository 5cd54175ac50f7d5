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

ApplyResult ConfigService::applyLog(std::span<const wire::StoredRecord> records,
                                    std::uint64_t logStartOffset)
{
    return mReplica.applyLog(records, logStartOffset, now());
}

ApplyResult ConfigService::applyPeerUpdate(const wire::ConfigUpdate &update)
{
    return mReplica.applyPeerUpdate(update, now());
}

void ConfigService::notify()
{
    mPlatform->metrics().set("config_offset", "", static_cast<std::int64_t>(state().lastOffset()));
    logLine(LogLevel::Debug, "config-changed", {{"offset", state().lastOffset()}});
    for (const auto &listener : mListeners) {
        listener();
    }
    mChanged.notify();
}

} // namespace Loom
