/*
 * versiontimerecorder.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"
#include "feedstate.h"
#include "kernel.h"
#include "versiontimerecord.h"

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Loom {

class FeedService;
class MemberService;
class OperatorConfigService;
class StorePort;

/**
 * Keeps in the store when versions of the weights were superseded, by the clock of this box, which
 * goes on when its processes start again. One process of each data centre does so; after a start of
 * all processes, the others ask it.
 */
class VersionTimeRecorder final : public Service
{
public:
    static constexpr std::string_view sName = "version-time-records";

    /** @p bootId: changes when the clock of the box begins anew; empty: nothing is recorded. */
    VersionTimeRecorder(StorePort &store, std::string dataCentre, std::string bootId);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

private:
    using VersionKey = std::pair<std::string, std::uint64_t>; ///< model and version

    awaitable<void> run();
    BoxBoot boot() const;
    void applyRecord(const FeedChange &change);
    bool isRecorder() const;
    /** Versions that may still start requests. */
    std::vector<SupersededVersion> currentVersions() const;
    bool isRecorded(const std::vector<SupersededVersion> &versions) const;

    StorePort &mStore;
    std::string mDataCentre;
    std::string mBootId;
    std::string mKey; ///< of this process's record
    FeedService *mFeeds = nullptr;
    MemberService *mMembers = nullptr;
    OperatorConfigService *mConfig = nullptr;
    std::unique_ptr<Signal> mChanged;
    std::set<VersionKey> mRecorded; ///< in the store
    bool mStopped = false;
};

} // namespace Loom
