/*
 * callrunner.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "admission.h"
#include "callrequest.h"
#include "callsender.h"
#include "quarantine.h"
#include "retrybudget.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Loom {

class ClaimService;
class LinkService;
class PlatformService;

/** What an entry keeps for one service. */
struct ServiceState
{
    ServicePolicy policy;
    Admission admission;
    RetryBudget budget;
};

/**
 * Brings an admitted request to its end: which upstream, which attempts, and
 * where a call runs that may run once. Owned by the callers' front.
 */
class CallRunner
{
public:
    CallRunner(PlatformService &platform, LinkService &links, ClaimService &claims);

    /** Runs @p request; pieces of a streamed answer go to @p onPiece. */
    awaitable<CallEnding> run(ServiceState &service, const CallRequest &request,
                              const PieceHandler &onPiece);

    /** The version that requests of @p service are sent to now; empty for plain services. */
    std::string versionFor(std::string_view service, const ServicePolicy &policy) const;
    /** An upstream for @p request, none of @p excluded; nothing where none fits. */
    std::optional<std::string> chooseBox(const CallRequest &request, std::string_view version,
                                         std::span<const std::string> excluded);
    /** A key whose home is the agent of @p box as it lives now. */
    IssuedKey issueKey(const std::string &box);

private:
    awaitable<CallEnding> runRepeatable(ServiceState &service, const CallRequest &request,
                                        const PieceHandler &onPiece);
    awaitable<CallEnding> runOnce(ServiceState &service, const CallRequest &request);
    awaitable<CallEnding> runUnkeyed(ServiceState &service, const CallRequest &request);
    awaitable<CallEnding> runAtHome(ServiceState &service, const CallRequest &request,
                                    std::string box, std::uint64_t incarnation);
    awaitable<CallEnding> runClaimed(ServiceState &service, const CallRequest &request,
                                     CallerKey key);
    std::optional<CallEnding> refusedAsCrashing(const CallRequest &request) const;
    void noteAttempt(const CallRequest &request, std::string_view box, const Outcome &outcome);
    static bool mayRetry(ServiceState &service, const Outcome &outcome);
    static wire::CallStart startOf(const CallRequest &request, std::string_view version);

    PlatformService &mPlatform;
    LinkService &mLinks;
    ClaimService &mClaims;
    CallSender mSender;
    Quarantine mCrashing; ///< requests under which upstreams broke off, as this entry saw it
    std::uint64_t mCuts = 0;
};

} // namespace Loom
