/*
 * callsender.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "outcome.h"
#include "peerconnection.h"
#include "wire.pb.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Loom {

class LinkService;
class PlatformService;

/** How one attempt at an agent ended. */
struct AttemptResult
{
    Outcome outcome;
    std::string body;
    bool streamed = false; ///< pieces have gone to the caller already
    bool isKeySpent = false; ///< the home refused the call's key for good
};

/** Takes pieces of a streamed answer; false when the caller is gone. */
using PieceHandler = std::function<awaitable<bool>(const wire::CallEvent &event)>;

/** Sends one attempt of a call to an agent and finds out how it ended. */
class CallSender
{
public:
    CallSender(PlatformService &platform, LinkService &links);

    /**
     * Sends @p start, whose attempt id is filled in here. @p onPiece may be
     * empty; then the answer is gathered. An attempt given up is revoked at
     * the agent, so that "not run" is said only when it is certain.
     */
    awaitable<AttemptResult> send(std::string box, wire::CallStart start, Instant deadline,
                                  PieceHandler onPiece);

private:
    awaitable<AttemptResult> exchange(const std::string &box, const PeerStreamPtr &stream,
                                      const wire::CallStart &start, Instant deadline,
                                      const PieceHandler &onPiece);
    awaitable<AttemptResult> giveUp(const std::string &box, const PeerStreamPtr &stream,
                                    const wire::CallStart &start, UnknownReason reason,
                                    AttemptResult soFar);
    awaitable<bool> revoke(std::string box, wire::AttemptId attempt);
    bool isSilent(const std::string &box) const;
    static Outcome outcomeOf(const wire::CallEvent &event);

    PlatformService &mPlatform;
    LinkService &mLinks;
    std::string mEntryName;
    std::uint64_t mLastSequence = 0;
};

} // namespace Loom
