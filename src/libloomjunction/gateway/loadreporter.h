/*
 * loadreporter.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "clock.h"
#include "intransitcount.h"
#include "kernel.h"
#include "peerstream.h"
#include "replica.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Loom {

namespace wire {
class ReplicaLoadReport;
}

class MemberService;
class PeerHub;
class PermitService;

/**
 * Tells gateways how the replica of this box stands, whenever one asks.
 * Answers are at most some milliseconds old: a look at the engine costs less
 * than a wrong choice. What it costs grows with the requests that come here,
 * not with the number of gateways.
 */
class LoadReporter final : public Service
{
public:
    static constexpr std::string_view sName = "load-reporter";
    /** Looks at the engine and calls set(). */
    using EnginePoll = std::function<awaitable<void>()>;

    /** @p replicaAddress: the address under which the replica is recorded. */
    explicit LoadReporter(std::string replicaAddress);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

    /** Tells gateways, too, what is known there of the replica's limit. */
    void setPermits(const PermitService &permits) { mPermits = &permits; }
    void setEnginePoll(EnginePoll poll) { mEnginePoll = std::move(poll); }
    void set(const ReplicaLoad &load);

private:
    awaitable<void> serve(PeerStreamPtr stream);
    awaitable<void> refresh();
    void addLimit(wire::ReplicaLoadReport &report) const;
    std::uint32_t totalPatientWaiting() const;

    std::string mReplicaAddress;
    MemberService *mMembers = nullptr;
    const PermitService *mPermits = nullptr;
    std::unique_ptr<Signal> mLoadUpdated;
    EnginePoll mEnginePoll;
    bool mIsPolling = false;
    std::optional<ReplicaLoad> mLoad;
    Instant mLoadUpdatedAt;
    InTransitCount mInTransit;
    std::map<const PeerStream *, std::uint32_t> mPatientWaiting; ///< waiting here, by gateway
    bool mStopped = false;
};

} // namespace Loom
