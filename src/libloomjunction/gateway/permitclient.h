/*
 * permitclient.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"
#include "clock.h"
#include "kernel.h"
#include "memberservice.h"
#include "peerstream.h"
#include "replica.h"
#include "wire.pb.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Loom {

class PeerHub;
class PermitService;

/**
 * Requests a permit before each send to a replica that states a rate limit or is cold, from the
 * process that grants the permits of that replica (the permit owner), and reports to it the limits
 * stated in the replica's answers. Keeps one stream to each owner while it is in use; sends
 * nothing while no replica states a limit or is cold. Owned by the replica service.
 */
class PermitClient
{
public:
    explicit PermitClient(Kernel &kernel);

    /** Requests a permit for one send to @p replica; empty if no answer arrives in time. */
    awaitable<std::optional<wire::PermitAnswer>> ask(Replica replica);
    /** Reports the limit of @p replica to its permit owner without requesting a permit. */
    void reportLimit(const Replica &replica);
    /** Makes the next query list the recent sends again, after the limit started or ended. */
    void resetReportedSends(const std::string &incarnation) { mSendsReportedTo.erase(incarnation); }
    /** Closes the streams that have been idle for long. */
    void closeUnused();
    void stop() { mStopped = true; }

private:
    /** A permit request without an answer yet. */
    struct PendingRequest
    {
        explicit PendingRequest(const asio::any_io_executor &executor)
            : answered(executor)
        {
        }

        Signal answered;
        std::string incarnation; ///< of the replica
        std::optional<wire::PermitAnswer> answer;
        bool isCancelled = false; ///< the connection failed; no answer will arrive
        Instant sentAt;
    };
    using PendingRequestPtr = std::shared_ptr<PendingRequest>;

    /** Connection to one permit owner. */
    struct Link
    {
        PeerStreamPtr stream;
        bool isConnecting = false;
        std::deque<wire::PermitQuery> unsent; ///< to be sent once connected
        std::deque<PendingRequestPtr> pending; ///< in the order in which they are answered
        Instant lastUsedAt;
    };

    wire::PermitQuery queryFor(const Replica &replica, const std::string &owner);
    KeyOwner permitOwnerOf(const Replica &replica) const;
    static bool isUnresponsive(const Link &link, Instant now);
    bool send(const Tcp::endpoint &owner, wire::PermitQuery query);
    awaitable<void> connect(Tcp::endpoint owner);
    awaitable<void> receive(std::string owner, PeerStreamPtr stream);
    static void cancelPending(Link &link);
    static void dropConnection(Link &link);

    PeerHub &mHub;
    MemberService &mMembers;
    PermitService &mLocalService;
    asio::any_io_executor mExecutor;
    std::map<std::string, Link> mLinks; ///< by the address of the permit owner
    std::map<std::string, std::string> mSendsReportedTo; ///< owner by incarnation
    bool mStopped = false;
};

} // namespace Loom
