/*
 * reloadschedule.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Loom {

/**
 * Determines when an agent may make its replica load a new version. The replicas of a
 * service reload in turn, spread over the time allowed for the version, so that the others
 * can take over their load. The agents need no coordination: each orders the members by
 * the same hash, and an outdated member list only shifts its own turn.
 */
class ReloadSchedule
{
public:
    /** @p limit is the time from announcing a version until older ones may start no request. */
    explicit ReloadSchedule(Milliseconds limit);

    /**
     * Time of the reload of @p self among @p members (which may lack it). @p readyAt is
     * when this box had the complete version; other boxes have it at about that time.
     */
    Instant at(std::string_view versionKey, std::string_view self,
               std::span<const std::string> members, Instant announcedAt, Instant readyAt) const;

private:
    Milliseconds mFirstOffset;
    Milliseconds mLastOffset;
};

} // namespace Loom
