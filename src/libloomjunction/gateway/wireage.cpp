/*
 * wireage.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "wireage.h"

#include "wire.pb.h"

#include <algorithm>

namespace Loom {

namespace {

// A greater age says no more than an unknown one.
constexpr Microseconds sMaxAge = std::chrono::hours(24 * 365);

std::uint64_t toWire(Microseconds age)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0));
}

std::optional<Microseconds> fromWire(std::uint64_t age)
{
    const auto max = static_cast<std::uint64_t>(sMaxAge.count());
    return age <= max ? std::optional(Microseconds(static_cast<std::int64_t>(age))) : std::nullopt;
}

} // namespace

wire::EventAge toWireAge(const EventTime &event, Instant now)
{
    wire::EventAge age;
    if (const auto min = event.minAge(now)) {
        age.set_at_least_us(toWire(*min));
    }
    if (const auto max = event.maxAge(now)) {
        age.set_at_most_us(toWire(*max));
    }
    return age;
}

EventTime fromWireAge(const wire::EventAge &age, Instant sentAfter, Instant now)
{
    EventTime event = EventTime::before(now);
    if (age.has_at_most_us()) {
        if (const auto max = fromWire(age.at_most_us())) {
            event.notBefore(sentAfter - *max);
        }
    }
    if (age.has_at_least_us()) {
        if (const auto min = fromWire(age.at_least_us())) {
            event.notAfter(now - *min);
        }
    }
    return event;
}

} // namespace Loom
