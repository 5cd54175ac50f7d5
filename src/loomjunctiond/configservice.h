/*
 * configservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "configreplica.h"
#include "kernel.h"

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace Loom {

class PlatformService;

/** Holds this process's copy of the configuration and tells others of changes. */
class ConfigService final : public Service
{
public:
    static constexpr std::string_view sName = "config";

    explicit ConfigService(const asio::any_io_executor &executor);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;

    const ConfigState &state() const { return mReplica.state(); }
    const ConfigReplica &replica() const { return mReplica; }
    bool isReady() const { return mReplica.isReady(); }

    ApplyResult applyLog(std::span<const wire::StoredRecord> records, std::uint64_t logStartOffset);
    ApplyResult applyPeerUpdate(const wire::ConfigUpdate &update);

    /** Wakes after each change. */
    Signal &changed() { return mChanged; }
    void addListener(std::function<void()> listener) { mListeners.push_back(std::move(listener)); }

private:
    void notify();

    PlatformService *mPlatform = nullptr;
    ConfigReplica mReplica;
    Signal mChanged;
    std::vector<std::function<void()>> mListeners;
};

} // namespace Loom
