/*
 * wireage.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "eventtime.h"

namespace Loom {

namespace wire {
class EventAge;
}

/** Ages of @p event in a message that is sent at @p now; what is unknown stays absent. */
wire::EventAge toWireAge(const EventTime &event, Instant now);
/** Time of an event from a message that was sent after @p sentAfter and arrived at @p now. */
EventTime fromWireAge(const wire::EventAge &age, Instant sentAfter, Instant now);

} // namespace Loom
