/*
 * eventtime.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <optional>

namespace Loom {

/**
 * When something happened, as far as this process knows: not before `earliest` and not after
 * `latest`. Either may be unknown, and stays so when it is passed on. What forbids after a time
 * asks for the earliest time, what permits after a time for the latest one.
 */
class EventTime
{
public:
    /** Nothing is known. */
    EventTime() = default;
    EventTime(std::optional<Instant> earliest, std::optional<Instant> latest)
        : mEarliest(earliest)
        , mLatest(latest)
    {
    }

    static EventTime at(Instant time) { return {time, time}; }
    /** It happened before @p time, at an unknown time. */
    static EventTime before(Instant time) { return {std::nullopt, time}; }

    std::optional<Instant> earliest() const { return mEarliest; }
    std::optional<Instant> latest() const { return mLatest; }

    /** Age at @p now that it has at most; nothing if that is unknown. */
    std::optional<Microseconds> maxAge(Instant now) const;
    /** Age at @p now that it has at least; nothing if that is unknown. */
    std::optional<Microseconds> minAge(Instant now) const;

    void notBefore(std::optional<Instant> time);
    void notAfter(std::optional<Instant> time);
    /** Combines two statements about the same event. */
    void narrow(const EventTime &other);

private:
    std::optional<Instant> mEarliest;
    std::optional<Instant> mLatest;
};

} // namespace Loom
