/*
 * claimservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "claimbatcher.h"
#include "claimtable.h"
#include "idempotencykey.h"
#include "kernel.h"

#include <optional>
#include <string>
#include <string_view>

namespace Loom {

class PlatformService;

/** How a claim of a caller's own key ended. */
struct ClaimOutcome
{
    std::optional<ClaimedHome> home;
    bool isTooOld = false; ///< an earlier claim may have been forgotten
};

/** Settles through the log where a caller's own key runs. */
class ClaimService final : public Service
{
public:
    static constexpr std::string_view sName = "claims";

    explicit ClaimService(const asio::any_io_executor &executor);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override { mStopped = true; }

    /**
     * The home of @p key: the one claimed first in the log, or @p wanted when
     * this claim is the first. No home when the log does not answer in time;
     * at once while it is known not to.
     */
    awaitable<ClaimOutcome> settle(CallerKey key, ClaimedHome wanted,
                                   std::chrono::milliseconds wait);

private:
    awaitable<void> follow();
    awaitable<void> write();

    PlatformService *mPlatform = nullptr;
    ClaimTable mTable;
    ClaimBatcher mBatcher;
    Signal mFolded;
    Signal mWaiting;
    bool mLogReachable = true;
    bool mStopped = false;
};

} // namespace Loom
