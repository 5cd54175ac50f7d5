/*
 * loadreporter.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "kernel.h"
#include "peerstream.h"
#include "replicaset.h"

#include <map>
#include <memory>
#include <string>

namespace Loom {

class MemberService;
class PeerHub;

/** Tells every gateway how the replica of this box stands, as soon as it changes. */
class LoadReporter final : public Service
{
public:
    static constexpr std::string_view sName = "load-reporter";

    /** @p replica: the address under which the replica is recorded. */
    explicit LoadReporter(std::string replica);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

    void set(const ReplicaLoad &load);

private:
    awaitable<void> followMembers();
    awaitable<void> reportTo(std::string key, Tcp::endpoint address);
    awaitable<void> send(PeerStreamPtr stream);
    static awaitable<void> takeCounts(LoadReporter &self, PeerStreamPtr stream, std::string key);
    std::uint32_t patientWaiting() const;

    std::string mReplica;
    MemberService *mMembers = nullptr;
    PeerHub *mHub = nullptr;
    std::unique_ptr<Signal> mChanged;
    std::optional<ReplicaLoad> mLoad;
    std::uint64_t mChanges = 0;
    std::uint64_t mUrgent = 0; ///< changes that must not wait for the pause between reports
    std::map<std::string, bool> mReported;
    std::map<std::string, std::uint32_t> mPatient; ///< waiting here, by gateway
    bool mStopped = false;
};

} // namespace Loom
