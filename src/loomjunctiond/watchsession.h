/*
 * watchsession.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "configservice.h"
#include "peerconnection.h"
#include "wire.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace Loom {

class PlatformService;

/**
 * One end of a watch stream between two processes: both push configuration
 * to each other as it changes, and whatever statuses the roles have. Owned
 * by the coroutine that runs it.
 */
class WatchSession : public std::enable_shared_from_this<WatchSession>
{
public:
    struct Callbacks
    {
        std::function<void(const wire::Hello &)> onHello;
        std::function<void(const wire::AgentStatus &)> onAgentStatus;
        std::function<void(const wire::EntryStatus &)> onEntryStatus;
        std::function<void(std::uint64_t)> onAck; ///< offset in force at the other side
    };

    WatchSession(PlatformService &platform, ConfigService &config, PeerStreamPtr stream,
                 Callbacks callbacks);

    /** Runs until the stream ends or stays silent for @p silence. */
    awaitable<void> run(std::chrono::milliseconds silence);
    void send(const wire::WatchFrame &frame) { mStream->send(frame); }
    bool isOpen() const { return mStream->isOpen(); }
    /** Ends the stream; run() returns. */
    void end() { mStream->reset(); }
    const std::string &peerBox() const { return mPeerBox; }

private:
    static awaitable<void> pushConfig(std::shared_ptr<WatchSession> self);
    void sendHello();
    void noteAck(std::uint64_t offset);
    void take(const wire::WatchFrame &frame);
    void takeConfig(const wire::ConfigUpdate &update);

    PlatformService &mPlatform;
    ConfigService &mConfig;
    PeerStreamPtr mStream;
    Callbacks mCallbacks;
    std::string mPeerBox;
    bool mPeerKnown = false;
    bool mPeerHasConfig = false;
    std::uint64_t mPeerOffset = 0;
    Signal mHelloSeen;
};

} // namespace Loom
