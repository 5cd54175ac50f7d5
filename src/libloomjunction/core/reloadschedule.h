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
 * When an agent may make its replica load a newly named version: the replicas
 * of a service take turns, spread over the time that the version has, so that
 * the others carry the load. Nothing is agreed on: every agent orders the
 * members by the same hash, and a wrong view of them only moves its turn.
 */
class ReloadSchedule
{
public:
    /** @p limit: the time from naming a version until older ones may begin nothing. */
    explicit ReloadSchedule(Milliseconds limit);

    /**
     * The moment of @p self among @p members (with or without it). @p readyAt:
     * when the version was here whole; the others have it at about that time.
     */
    Instant at(std::string_view versionKey, std::string_view self,
               std::span<const std::string> members, Instant announcedAt, Instant readyAt) const;

private:
    Milliseconds mFirstOffset;
    Milliseconds mLastOffset;
};

} // namespace Loom
