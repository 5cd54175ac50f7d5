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

/** Effect of a report on the known limit of a replica. */
enum class LimitChange : std::uint8_t
{
    Nothing, ///< the report is known already or outdated
    Started,
    Changed,
    Removed,
};

/**
 * The rate limit that a replica has stated for the requests of all gateways together, as
 * known to one process. The newest report is valid, regardless of the order of arrival.
 */
class ReplicaRateLimit
{
public:
    /** Limit in requests per second, or nothing if the replica stated no limit. */
    std::optional<double> perSecond() const { return mPerSecond; }
    /** When the answer with this limit was received, here or at the reporting process. */
    Instant heardAt() const { return mHeardAt; }

    /** An answer received @p now stated the limit @p perSecond. */
    LimitChange name(double perSecond, Instant now);
    /** An answer received @p now to a request sent at @p sentAt stated no limit. */
    LimitChange noteNoLimit(Instant sentAt, Instant now);
    /** Another process received @p perSecond, or an answer without a limit, at @p at. */
    LimitChange hear(std::optional<double> perSecond, Instant at);

private:
    LimitChange change(std::optional<double> perSecond, Instant at);

    std::optional<double> mPerSecond;
    Instant mHeardAt;
};

} // namespace Loom
