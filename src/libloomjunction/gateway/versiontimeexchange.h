/*
 * versiontimeexchange.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"
#include "kernel.h"
#include "memberservice.h"
#include "peerstream.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Loom {

class FeedService;
class OperatorConfigService;
class PeerHub;

/**
 * Asks other processes when versions of the weights were superseded, while this process does
 * not know it because it has just started, and answers such queries. A few members are asked
 * at a time, those of the own data centre first; before them the one that records such times.
 */
class VersionTimeExchange final : public Service
{
public:
    static constexpr std::string_view sName = "version-times";

    /** @p dataCentre: of this process. */
    explicit VersionTimeExchange(std::string dataCentre);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override { mStopped = true; }

private:
    awaitable<void> run();
    std::vector<Member> nextMembers();
    bool isRecorder(const Member &member) const;
    awaitable<void> ask(Member member);
    awaitable<void> serve(PeerStreamPtr stream);

    std::string mDataCentre;
    FeedService *mFeeds = nullptr;
    MemberService *mMembers = nullptr;
    OperatorConfigService *mConfig = nullptr;
    PeerHub *mHub = nullptr;
    asio::any_io_executor mExecutor;
    std::uint64_t mSeed = 0; ///< of the order in which members are asked
    std::size_t mAskedCount = 0;
    std::size_t mAskedRecorderCount = 0;
    bool mStopped = false;
};

} // namespace Loom
