/*
 * loadreporter.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "announcedsizes.h"
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
 * Answers load queries of gateways about the replica on this box. Reports are at most a
 * few milliseconds old, since polling the engine costs less than a wrong choice of a
 * replica. The number of queries grows with the requests that are sent to this replica,
 * not with the number of gateways.
 */
class LoadReporter final : public Service
{
public:
    static constexpr std::string_view sName = "load-reporter";
    /** Polls the engine and calls set() with its load. */
    using EnginePoll = std::function<awaitable<void>()>;

    /** @p replicaAddress: the address in the replica's record. */
    explicit LoadReporter(std::string replicaAddress);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

    /** Adds the replica's newest rate limit, as known to @p permits, to the reports. */
    void setPermits(const PermitService &permits) { mPermits = &permits; }
    void setEnginePoll(EnginePoll poll) { mEnginePoll = std::move(poll); }
    /** Sets the load that is reported to gateways. */
    void set(const ReplicaLoad &load);
    /** The load that is reported to gateways; empty before the first set(). */
    const std::optional<ReplicaLoad> &load() const { return mLoad; }

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
    AnnouncedSizes mAnnouncedSizes;
    std::map<const PeerStream *, std::uint32_t> mPatientWaiting; ///< by the gateway's stream
    bool mStopped = false;
};

} // namespace Loom
