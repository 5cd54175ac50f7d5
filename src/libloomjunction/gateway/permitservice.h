/*
 * permitservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "kernel.h"
#include "peerstream.h"
#include "replica.h"
#include "replicaratelimit.h"
#include "sendpermits.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Loom {

namespace wire {
class PermitAnswer;
class PermitQuery;
class ReplicaLimit;
}
class MemberService;
class PeerHub;

/** Path of the streams on which gateways ask for permits. */
inline constexpr std::string_view sPermitPath = "/send-permits";

/** What is known of a limit, as a message, and back. */
wire::ReplicaLimit toWireLimit(const ReportedLimit &limit, Instant now);
ReportedLimit fromWireLimit(const wire::ReplicaLimit &limit, Instant now);

/**
 * Hands out the sends to replicas that named a limit, so that all gateways together keep
 * it. An agent does so for the replica beside it. For a replica without an agent the
 * gateway does that is its home; who asks it and the home itself must agree on that, so
 * that two views of the members rarely make two homes.
 */
class PermitService final : public Service
{
public:
    static constexpr std::string_view sName = "permits";

    /** @p replica: address of the replica beside this agent; empty: this is a gateway. */
    explicit PermitService(std::string replica = {})
        : mReplicaAddress(std::move(replica))
    {
    }

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override { mStopped = true; }

    /** Answers a gateway, which may be this process. */
    wire::PermitAnswer answer(const wire::PermitQuery &query);
    /** Of the replica that was asked for last; nothing: none was. */
    std::optional<ReportedLimit> latestLimit() const;

private:
    /** What is known of one life of a replica. */
    struct Entry
    {
        ReplicaRateLimit limit;
        SendPermits permits;
        Instant lastUsedAt;
    };

    awaitable<void> serve(PeerStreamPtr stream);
    bool isPermitOwnerOf(const wire::PermitQuery &query) const;
    Entry &entryOf(const std::string &incarnation);
    static void applyQuery(Entry &entry, const wire::PermitQuery &query, Instant now);

    std::string mReplicaAddress;
    MemberService *mMembers = nullptr;
    std::map<std::string, Entry> mEntries; ///< by the replica's life
    std::string mLatestIncarnation; ///< the life that was asked for last
    bool mStopped = false;
};

} // namespace Loom
