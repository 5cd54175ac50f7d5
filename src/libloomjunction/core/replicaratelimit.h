/*
 * replicaratelimit.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>
#include <optional>

namespace Loom {

/** What news of a replica's limit changed. */
enum class LimitChange : std::uint8_t
{
    Nothing, ///< known already, or older than what is known
    Started,
    Changed,
    Removed,
};

/**
 * The requests a second that a replica takes from all gateways together, as one process
 * knows them. Of several reports the newest counts, in whatever order they come.
 */
class ReplicaRateLimit
{
public:
    /** Requests a second; nothing: the replica takes what it can. */
    std::optional<double> perSecond() const { return mPerSecond; }
    /** When the answer came that said so, here or at the process that told of it. */
    Instant heardAt() const { return mHeardAt; }

    /** An answer that came here @p now named @p perSecond. */
    LimitChange name(double perSecond, Instant now);
    /** An answer without a limit came @p now to a request that was sent at @p sentAt. */
    LimitChange noteNoLimit(Instant sentAt, Instant now);
    /** Another process heard @p perSecond, or that there is none, at @p at. */
    LimitChange hear(std::optional<double> perSecond, Instant at);

private:
    LimitChange change(std::optional<double> perSecond, Instant at);

    std::optional<double> mPerSecond;
    Instant mHeardAt;
};

} // namespace Loom
