/*
 * replica.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "concurrencylimit.h"
#include "instant.h"
#include "logposition.h"
#include "noticestate.h"
#include "replicapermits.h"
#include "replicaratelimit.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** Separates a replica's id from its start time in the name of an incarnation. */
inline constexpr char sIncarnationSeparator = '@';

/** The record that a replica publishes about itself in the store. */
struct ReplicaRecord
{
    std::string id; ///< may be reused after a restart
    std::uint64_t born = 0; ///< start time of this incarnation as it reports it; zero: unknown
    std::string service;
    std::string address; ///< IP:PORT
    std::string dataCentre;
    std::uint32_t slots = 1;
    LogPosition position; ///< in the store
    bool isDraining = false;
    /** Version of the completely loaded weights; zero: none are, or the service has none. */
    std::uint64_t weightsVersion = 0;
    Milliseconds coldLeft{0}; ///< how much longer it is cold, from the arrival of the record on

    /** Name of this incarnation in messages between processes: its id and its start time. */
    std::string incarnation() const { return id + sIncarnationSeparator + std::to_string(born); }

    /**
     * Whether this record may describe the incarnation that began at @p start. An unknown
     * start time on either side matches any incarnation.
     */
    bool isSameIncarnation(std::uint64_t start) const
    {
        return born == 0 || start == 0 || born == start;
    }
    bool isOtherIncarnation(const ReplicaRecord &other) const
    {
        return !isSameIncarnation(other.born);
    }

    /**
     * Whether this record is newer by its content than @p other of the same id: an incarnation
     * starts later, or it begins to leave, or it has newer weights, and never goes back.
     */
    bool isNewerThan(const ReplicaRecord &other) const
    {
        if (isOtherIncarnation(other)) {
            return born > other.born;
        }
        return (isDraining && !other.isDraining) || weightsVersion > other.weightsVersion;
    }

    /**
     * Whether all fields but the position in the store are equal. Of the cold time, which changes
     * with every heartbeat, only whether there is any.
     */
    bool hasSameContent(const ReplicaRecord &other) const
    {
        return id == other.id && born == other.born && service == other.service
            && address == other.address && dataCentre == other.dataCentre && slots == other.slots
            && isDraining == other.isDraining && weightsVersion == other.weightsVersion
            && (coldLeft.count() > 0) == (other.coldLeft.count() > 0);
    }
};

/** A replica's rate limit as another process reports it. */
struct ReportedLimit
{
    std::string incarnation; ///< see ReplicaRecord::incarnation()
    std::optional<double> perSecond; ///< empty: the replica no longer has a limit
    Instant heardAt; ///< when the replica's answer with this limit arrived
    Microseconds wait{0}; ///< time until the limit permits the next request

    /** Id of the replica. */
    std::string_view replica() const
    {
        return std::string_view(incarnation).substr(0, incarnation.rfind(sIncarnationSeparator));
    }
};

/** Current state of a replica as the agent on its box reports it. */
struct ReplicaLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t waitingPatient = 0; ///< waiting requests that any gateway sent as patient
    std::uint64_t waitingTokens = 0; ///< tokens of the waiting prompts; zero: unknown
    std::uint64_t memoryUsed = 0;
    std::uint64_t memoryTotal = 0;
    double pace = 1; ///< slowdown against the engine's nominal speed; one: none
    std::uint64_t weightsVersion = 0; ///< completely loaded weights; zero: none
    bool isLinkSlow = false; ///< the link to its box is congested and delays requests
    bool isAccepting = true; ///< false while it loads weights or shuts down
    /** Whether the waiting requests include those in transit, also those of this gateway. */
    bool includesInTransit = false;
    /** Time between the probe and this answer; zero: the report was unsolicited. */
    Microseconds roundTrip{0};
    std::optional<ReportedLimit> limit; ///< empty: the agent knows no limit
};

/** How a request to a replica ended; it affects later choices. */
enum class ReplicaOutcome : std::uint8_t
{
    Answered,
    Failed, ///< the replica answered with an error
    Refused, ///< the replica answered that it did not run the request
    Broken, ///< no answer, or an incomplete or invalid one
    Unreachable, ///< no connection; nothing was sent
    Abandoned, ///< the caller disconnected or its deadline passed
};

/** Why no request may be sent to a replica, independent of its load and weights. */
enum class UnavailableReason : std::uint8_t
{
    Nothing, ///< the replica is available
    Gone, ///< its record was removed
    Displaced, ///< another replica counts as running at its address
    Draining, ///< its record says that it drains
    Leaving, ///< its answers say that it shuts down
    Resting, ///< its answers asked for a pause that has not ended
    Evacuated, ///< operators have evacuated its data centre
};
std::string_view unavailableReasonName(UnavailableReason reason);

/** A request that this gateway sent to a replica. */
struct RequestStart
{
    Instant at;
    std::uint64_t promptTokens = 0; ///< zero: unknown
};

/** State of one replica as this gateway knows it. */
struct Replica
{
    ReplicaRecord record;
    std::uint32_t inFlight = 0; ///< requests of this gateway that have not ended
    std::optional<ReplicaLoad> load; ///< latest report of its agent
    Instant loadAt;
    double reportIntervalMs = 0; ///< smoothed time between reports of its agent
    std::uint32_t startedSinceReport = 0; ///< requests of this gateway that the report lacks
    std::vector<RequestStart> recentStarts; ///< these requests and some earlier ones
    std::uint32_t endedSinceReport = 0; ///< requests of this gateway that ended after the report
    std::uint32_t awaitingFirstByte = 0; ///< requests of this gateway without a first byte yet
    std::uint32_t patientWaiting = 0; ///< requests in awaitingFirstByte that are patient
    Instant avoidedUntil; ///< end of the backoff after failures and refusals
    std::uint32_t failures = 0; ///< consecutive failures
    double failureRate = 0; ///< smoothed fraction of requests that failed
    double answerMs = 0; ///< smoothed time to the answer or its first event
    NoticeState notices;
    ConcurrencyLimit concurrencyLimit;
    ReplicaRateLimit limit;
    ColdTime cold;
    Instant rateLimitedUntil; ///< when the limit or the cold rate permits the next request
    std::deque<Instant> recentSends; ///< send times of this gateway within sSendWindow
    Instant removedAt; ///< when the replica counts as removed; zero: it does not
    /** Until when another replica counts as running at its address in its stead. */
    Instant displacedUntil;
    std::string yieldsTo; ///< id of the replica that answered at its address; empty: none did
    std::string region; ///< of its data centre; empty: unknown
    bool isEvacuated = false; ///< its data centre is evacuated

    /** Decides alone whether requests may be sent to the replica at @p now. */
    UnavailableReason unavailableReason(Instant now) const;

    bool isCold(Instant now) const { return !cold.isOver(now); }
    /** Requests per second that all gateways together may send at @p now; empty: no limit. */
    std::optional<double> ratePerSecond(Instant now) const
    {
        return effectiveRate(limit.perSecond(), cold, now);
    }
    /** Whether the replica has a rate limit that permits no request at @p now. */
    bool isRateLimited(Instant now) const
    {
        return rateLimitedUntil > now && ratePerSecond(now).has_value();
    }
    /** When the replica's rest and its rate limit permit the next request; zero: now. */
    Instant availableAt(Instant now) const;

    /** Requests of all gateways at the replica; without a report, those of this gateway. */
    double heldRequests() const;
    /** The replica asked for a rest when it refused a request of this gateway. */
    void lowerConcurrencyLimit(Instant now);
    /** Whether the learned limit excludes a further request, which would lead to a rest. */
    bool isAtConcurrencyLimit(Instant now) const;

    /** Version of the loaded weights. The agent's report is newer than the store's record. */
    std::uint64_t weightsVersion() const
    {
        return load ? load->weightsVersion : record.weightsVersion;
    }
};

} // namespace Loom
