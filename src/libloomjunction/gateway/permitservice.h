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
#include "replicapermits.h"

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

/** Path of the streams on which gateways request permits. */
inline constexpr std::string_view sPermitPath = "/send-permits";

/** Converts a reported limit to a message, which holds its age, and back. */
wire::ReplicaLimit toWireLimit(const ReportedLimit &limit, Instant now);
ReportedLimit fromWireLimit(const wire::ReplicaLimit &limit, Instant now);

/**
 * Grants permits for sending to replicas that state a rate limit or are cold, so that all
 * gateways together keep the limit. Each replica has one permit owner: its agent, or its home
 * gateway if it has no agent. A gateway grants permits only if it regards itself as the home
 * gateway, like the gateway that sent the query; so differing views of the members rarely lead to
 * two owners. Of a cold replica, which crashes under more than its rate, the home gateway does not
 * depend on which gateways are heard, and grants only while it hears most of them.
 */
class PermitService final : public Service
{
public:
    static constexpr std::string_view sName = "permits";

    /** @p replica is the address of this agent's replica; it is empty at a gateway. */
    explicit PermitService(std::string replica = {})
        : mReplicaAddress(std::move(replica))
    {
    }

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override { mStopped = true; }

    /** Answers the query of a gateway, which may be this process. */
    wire::PermitAnswer answer(const wire::PermitQuery &query);
    /** The limit of the replica in the latest query; empty if there is none. */
    std::optional<ReportedLimit> latestLimit() const;

private:
    /** Limit and permits of one incarnation of a replica. */
    struct Entry
    {
        ReplicaPermits permits;
        Instant lastUsedAt;
    };

    awaitable<void> serve(PeerStreamPtr stream);
    bool isPermitOwnerOf(const wire::PermitQuery &query) const;
    bool isColdPermitOwnerOf(const wire::PermitQuery &query) const;
    Entry &entryOf(const std::string &incarnation);
    static void applyQuery(Entry &entry, const wire::PermitQuery &query, Instant now);

    std::string mReplicaAddress;
    MemberService *mMembers = nullptr;
    std::map<std::string, Entry> mEntries; ///< by the replica's incarnation
    std::string mLatestIncarnation; ///< from the latest query
    bool mStopped = false;
};

} // namespace Loom
