/*
 * callquarantine.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"
#include "quarantineservice.h"
#include "quarantinesubject.h"

#include <optional>
#include <string>
#include <vector>

namespace Loom {

struct CallState;
class ReplicaAttempt;

/**
 * The quarantine as one call uses it. The whole request is hashed only if some crash is known.
 * Owned by the call.
 */
class CallQuarantine
{
public:
    explicit CallQuarantine(const CallState &call);

    /** Why the request is refused; empty if it may run. */
    std::optional<QuarantineRefusal> refusal();
    /** Whether the request must not be sent to a second replica. */
    bool isRetryForbidden();
    void noteSent();
    /** @p attempt has forwarded events; after some time this shows that the prompt is sound. */
    void noteWriting(const ReplicaAttempt &attempt);
    void noteSuccess();
    /** The replica closed the connection of @p attempt before the response was complete. */
    awaitable<void> noteConnectionLost(const ReplicaAttempt &attempt);

    /** Identifies equal requests in logs; empty if the request was not hashed. */
    std::string requestText() const;
    /** The subject of the last refusal, for logs; empty if there was none. */
    std::string refusedSubjectText() const;

private:
    const std::vector<QuarantineSubject> &subjects();
    std::vector<QuarantineSubject> partSubjects() const;

    const CallState &mCall;
    std::vector<QuarantineSubject> mSubjects; ///< computed on first use
    std::optional<QuarantineSubject> mRefusedSubject;
    bool mIsPromptSound = false; ///< the current attempt has shown it
};

} // namespace Loom
