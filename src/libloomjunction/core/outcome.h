/*
 * outcome.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Loom {

/** Why a request was refused without running. */
enum class RefusalReason : std::uint8_t
{
    BadRequest,
    UnknownService,
    UnknownAccount,
    AccountOverLimit,
    Overloaded,
    DeadlinePassed,
    NoUpstream,
    UpstreamLeaving,
    VersionNotLoaded,
    UpstreamUnreachable,
    LogUnavailable,
    Revoked,
    Draining,
    NotReady,
    TooLarge,
    EndsUpstreams, ///< earlier attempts of this request broke upstream connections, and none
                   ///< completed
};

/** Why it is unknown whether a request has run. */
enum class UnknownReason : std::uint8_t
{
    LinkCut,
    UpstreamCut,
    DeadlinePassed,
    HomeGone,
    KeyExpired,
    VersionMismatch,
    StillRunning,
    NotSettled, ///< this request was not passed to an upstream, but an earlier one with the same
                ///< key may have run
};

/** The caller has received the complete answer to its request. */
struct Answered
{
    int status = 0; ///< HTTP status of the upstream
};

/** The request has not run, and no delayed duplicate of it can run later. */
struct NotRun
{
    RefusalReason reason = RefusalReason::Overloaded;
    Milliseconds retryAfter{0}; ///< zero if a retry of the unchanged request is futile
};

/** The request may have run. It is not run again unless it is marked as repeatable. */
struct Unknown
{
    UnknownReason reason = UnknownReason::LinkCut;
    Milliseconds retryAfter{0}; ///< when to retry with the same key; zero if that is futile
};

/** The outcome of a request; these three cases are exhaustive. */
using Outcome = std::variant<Answered, NotRun, Unknown>;

std::string_view reasonName(RefusalReason reason);
std::string_view reasonName(UnknownReason reason);

/** Returns "answered", "not-run" or "unknown", the value of the Loom-Outcome header. */
std::string_view outcomeName(const Outcome &outcome);

/** Returns the HTTP status for @p outcome. */
int httpStatus(const Outcome &outcome);

/** Returns the reason with this name; Overloaded or LinkCut for an unknown name. */
RefusalReason refusalReason(std::string_view name);
UnknownReason unknownReason(std::string_view name);

} // namespace Loom
