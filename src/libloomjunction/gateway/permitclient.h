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
#include "peerstream.h"
#include "replica.h"
#include "wire.pb.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Loom {

class MemberService;
class PeerHub;
class PermitService;

/**
 * Asks whoever hands out the sends to a replica that named a limit, right before a send,
 * and tells it what the replica's answers name. Keeps one stream to each such process
 * while it is used; nothing is sent while no replica names a limit. Owned by the replica
 * service.
 */
class PermitClient
{
public:
    explicit PermitClient(Kernel &kernel);

    /** Asks for one send to @p replica; nothing: no answer came in time. */
    awaitable<std::optional<wire::PermitAnswer>> ask(Replica replica);
    /** Tells what @p replica named, without an answer. */
    void reportLimit(const Replica &replica);
    /** The limit of this life began anew: what was sent until now counts again. */
    void resetReportedSends(const std::string &incarnation) { mSendsReportedTo.erase(incarnation); }
    /** Ends the streams that nobody used for long. */
    void closeUnused();
    void stop() { mStopped = true; }

private:
    /** A question that waits for its answer. */
    struct PendingRequest
    {
        explicit PendingRequest(const asio::any_io_executor &executor)
            : answered(executor)
        {
        }

        Signal answered;
        std::string incarnation; ///< of the replica
        std::optional<wire::PermitAnswer> answer;
        bool isCancelled = false; ///< there will be no answer
        Instant sentAt;
    };
    using PendingRequestPtr = std::shared_ptr<PendingRequest>;

    struct Link
    {
        PeerStreamPtr stream;
        bool isConnecting = false;
        std::deque<wire::PermitQuery> unsent; ///< for the connection
        std::deque<PendingRequestPtr> pending; ///< in the order of their answers
        Instant lastUsedAt;
    };

    wire::PermitQuery queryFor(const Replica &replica, const std::string &owner);
    std::optional<Tcp::endpoint> permitOwnerOf(const Replica &replica) const;
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
    std::map<std::string, Link> mLinks; ///< by the keeper's address
    std::map<std::string, std::string>
        mSendsReportedTo; ///< by life: the keeper that knows the sends
    bool mStopped = false;
};

} // namespace Loom
