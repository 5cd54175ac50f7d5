/*
 * configtail.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "configreplica.h"
#include "kernel.h"
#include "snapshotpolicy.h"
#include "wire.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace Loom {

class ConfigService;
class ListService;
class PlatformService;

/** How an operator's change ended, as far as this entry can say. */
struct ChangeOutcome
{
    std::optional<ChangeResult> result; ///< the fold's verdict, once read back
    bool isSurelyNotAppended = false; ///< with no result: nothing happened
};

/**
 * The entry's side of the configuration log: tails it, appends changes and
 * learns their fate from the fold, and appends snapshots before records expire.
 */
class ConfigTail final : public Service
{
public:
    static constexpr std::string_view sName = "config-tail";

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override { mStopped = true; }

    /** Appends @p change and waits until it is folded here, at most @p wait. */
    awaitable<ChangeOutcome> submit(wire::ConfigChange change, std::chrono::milliseconds wait);

    bool isLogReachable() const { return mLogReachable; }

private:
    awaitable<void> follow();
    awaitable<void> writeSnapshots();
    awaitable<void> writeSnapshot();
    std::size_t ownRank() const;

    PlatformService *mPlatform = nullptr;
    ConfigService *mConfig = nullptr;
    ListService *mList = nullptr;
    SnapshotPolicy mPolicy;
    bool mLogReachable = false;
    bool mStopped = false;
};

} // namespace Loom
