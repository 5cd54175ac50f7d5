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
#include "namedlimit.h"
#include "noticestate.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** Stands between a replica's id and the start of one of its lives. */
inline constexpr char sIncarnationSeparator = '@';

/** What a replica says of itself in the store. */
struct ReplicaRecord
{
    std::string id; ///< a later life may have the same
    std::uint64_t born = 0; ///< when this life started, as it says; zero: untold
    std::string service;
    std::string address; ///< IP:PORT
    std::string dataCentre;
    std::uint32_t slots = 1;
    std::uint64_t offset = 0; ///< of the record in the store; later lives have higher ones
    bool isDraining = false;
    /** Version of the weights that are loaded whole; zero: none, or a plain service. */
    std::uint64_t weightsVersion = 0;

    /** Tells this life from others in what processes tell each other. */
    std::string incarnation() const { return id + sIncarnationSeparator + std::to_string(born); }

    /** Tells of the life that began at @p start. What was told without a start may be of any. */
    bool isSameIncarnation(std::uint64_t start) const
    {
        return born == 0 || start == 0 || born == start;
    }
    bool isOtherIncarnation(const ReplicaRecord &other) const
    {
        return !isSameIncarnation(other.born);
    }

    /** The same but for its place in the store. */
    bool hasSameContent(const ReplicaRecord &other) const
    {
        return id == other.id && born == other.born && service == other.service
            && address == other.address && dataCentre == other.dataCentre && slots == other.slots
            && isDraining == other.isDraining && weightsVersion == other.weightsVersion;
    }
};

/** What another process knows of a replica's limit. */
struct ReportedLimit
{
    std::string incarnation; ///< of the replica, see ReplicaRecord::life()
    std::optional<double> perSecond; ///< nothing: it named none any more
    Instant heardAt; ///< the answer that said so
    Microseconds wait{0}; ///< until a request may be sent under it

    /** Id of the replica. */
    std::string_view replica() const
    {
        return std::string_view(incarnation).substr(0, incarnation.rfind(sIncarnationSeparator));
    }
};

/** What the agent of a replica's box says of it, as it stands right now. */
struct ReplicaLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t waitingPatient = 0; ///< of those: sent as patient, by all gateways
    std::uint64_t memoryUsed = 0;
    std::uint64_t memoryTotal = 0;
    double pace = 1; ///< above one: slower than it should be
    std::uint64_t weightsVersion = 0; ///< loaded whole; zero: none
    bool isLinkSlow = false; ///< what is sent to its box may arrive late
    bool isAccepting = true; ///< false while it loads weights or leaves
    /** Requests on their way are counted as waiting, those of this entry among them. */
    bool includesInTransit = false;
    /** From the question until this answer to it was here; zero: it was not asked for. */
    Microseconds roundTrip{0};
    std::optional<ReportedLimit> limit; ///< nothing: the agent knows of none
};

/** How a request that was sent to a replica ended, for the choice of later ones. */
enum class ReplicaOutcome : std::uint8_t
{
    Answered,
    Failed, ///< it answered with a failure of its own
    Refused, ///< it said that it did not run the request
    Broken, ///< no answer, or none that can be trusted
    Unreachable, ///< no connection; nothing was sent
    Abandoned, ///< the caller left, or its time was over
};

/** Why nothing may be sent to a replica, whatever its load and weights are. */
enum class UnavailableReason : std::uint8_t
{
    Nothing, ///< it may be sent to
    Gone, ///< the store took its record away, or another life has its address
    Draining, ///< by its record
    Leaving, ///< by its own answers
    Resting, ///< it asked for it, and takes requests again later
};
std::string_view unavailableReasonName(UnavailableReason held);

/** One replica as this entry sees it. */
struct Replica
{
    ReplicaRecord record;
    std::uint32_t inFlight = 0; ///< sent by this entry and not ended
    std::optional<ReplicaLoad> load; ///< what its agent said last
    Instant loadAt;
    double reportIntervalMs = 0; ///< smoothed time between two reports of its agent
    std::uint32_t startedSinceReport = 0; ///< by this entry, that the agent cannot have counted
    std::vector<Instant> recentStarts; ///< times of those, and of some before
    std::uint32_t endedSinceReport = 0; ///< of those, and of earlier ones
    std::uint32_t awaitingFirstByte = 0; ///< sent by this entry, without a first byte of an answer
    std::uint32_t patientWaiting = 0; ///< of those: sent as patient
    Instant avoidedUntil;
    std::uint32_t failures = 0; ///< in a row
    double failureRate = 0; ///< smoothed share of requests that failed
    double answerMs = 0; ///< smoothed time to an answer or a first event
    NoticeState notices;
    ConcurrencyLimit concurrencyLimit;
    NamedLimit limit;
    Instant rateLimitedUntil; ///< under that limit
    std::deque<Instant> recentSends; ///< by this entry, within the span that permits count
    Instant removedAt; ///< the store took its record away; zero: it did not

    /** The one word on whether a request may be sent to it at @p now. */
    UnavailableReason unavailableReason(Instant now) const;

    /** It named a limit, and no send to it is left at @p now. */
    bool isRateLimited(Instant now) const { return limit.perSecond() && rateLimitedUntil > now; }
    /** When a replica that rests or is held up by its limit may be sent to; zero: now. */
    Instant availableAt(Instant now) const;

    /** Requests of all gateways that it holds, as far as its agent told; else of this one. */
    double heldRequests() const;

    /** Of the weights loaded now: the agent knows sooner than the store. */
    std::uint64_t weightsVersion() const
    {
        return load ? load->weightsVersion : record.weightsVersion;
    }
};

} // namespace Loom
