/*
 * watchsession.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "watchsession.h"

#include "clock.h"
#include "jsonlog.h"
#include "platformservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// A wake-up may come between two looks at the replica; this bounds what that costs.
constexpr std::chrono::milliseconds sPushCheck{500};

} // namespace

WatchSession::WatchSession(PlatformService &platform, ConfigService &config, PeerStreamPtr stream,
                           Callbacks callbacks)
    : mPlatform(platform)
    , mConfig(config)
    , mStream(std::move(stream))
    , mCallbacks(std::move(callbacks))
    , mHelloSeen(mStream->connection()->executor())
{
}

void WatchSession::sendHello()
{
    wire::WatchFrame frame;
    wire::Hello &hello = *frame.mutable_hello();
    hello.set_box(mPlatform.box());
    hello.set_incarnation(mPlatform.incarnation());
    hello.set_has_config(mConfig.isReady());
    hello.set_config_offset(mConfig.isReady() ? mConfig.state().lastOffset() : 0);
    mStream->send(frame);
}

awaitable<void> WatchSession::run(std::chrono::milliseconds silence)
{
    const auto self = shared_from_this();
    sendHello();
    asio::co_spawn(co_await asio::this_coro::executor, pushConfig(self), asio::detached);
    while (true) {
        const auto deadline = std::chrono::steady_clock::now() + silence;
        const auto frame = co_await mStream->receiveMessage<wire::WatchFrame>(deadline);
        if (!frame || !*frame) {
            break;
        }
        take(**frame);
    }
    mStream->reset();
    mHelloSeen.notify();
}

awaitable<void> WatchSession::pushConfig(std::shared_ptr<WatchSession> self)
{
    while (self->isOpen()) {
        if (!self->mPeerKnown) {
            co_await self->mHelloSeen.waitFor(sPushCheck);
            continue;
        }
        const auto update
            = self->mConfig.replica().updateFor(self->mPeerOffset, self->mPeerHasConfig);
        if (!update) {
            co_await self->mConfig.changed().waitFor(sPushCheck);
            continue;
        }
        wire::WatchFrame frame;
        *frame.mutable_config() = *update;
        self->mStream->send(frame);
        // The stream keeps order and loses nothing while it lives.
        self->mPeerHasConfig = true;
        self->mPeerOffset = update->covers_up_to();
        co_await self->mStream->drained();
    }
}

void WatchSession::take(const wire::WatchFrame &frame)
{
    switch (frame.frame_case()) {
    case wire::WatchFrame::kHello:
        mPeerBox = frame.hello().box();
        mPeerHasConfig = frame.hello().has_config();
        mPeerOffset = frame.hello().config_offset();
        mPeerKnown = true;
        if (mPeerHasConfig) {
            noteAck(mPeerOffset);
        }
        mHelloSeen.notify();
        if (mCallbacks.onHello) {
            mCallbacks.onHello(frame.hello());
        }
        return;
    case wire::WatchFrame::kConfig:
        takeConfig(frame.config());
        return;
    case wire::WatchFrame::kAck:
        noteAck(frame.ack().offset());
        return;
    case wire::WatchFrame::kAgentStatus:
        if (mCallbacks.onAgentStatus) {
            mCallbacks.onAgentStatus(frame.agent_status());
        }
        return;
    case wire::WatchFrame::kEntryStatus:
        if (mCallbacks.onEntryStatus) {
            mCallbacks.onEntryStatus(frame.entry_status());
        }
        return;
    case wire::WatchFrame::FRAME_NOT_SET:
        return;
    }
}

void WatchSession::noteAck(std::uint64_t offset)
{
    if (mCallbacks.onAck) {
        mCallbacks.onAck(offset);
    }
}

void WatchSession::takeConfig(const wire::ConfigUpdate &update)
{
    if (mConfig.applyPeerUpdate(update) == ApplyResult::Gap) {
        // What it thinks we have is wrong; a new hello on a new stream sets it right.
        logLine(LogLevel::Warning, "config-gap", {{"peer", mPeerBox}});
        mStream->reset();
        return;
    }
    if (!mConfig.isReady()) {
        return;
    }
    // It has all it sent: nothing of that needs to go back to it, and it will
    // not acknowledge what it was never sent.
    noteAck(update.covers_up_to());
    mPeerOffset = std::max(mPeerOffset, update.covers_up_to());
    mPeerHasConfig = true;
    wire::WatchFrame frame;
    frame.mutable_ack()->set_offset(mConfig.state().lastOffset());
    mStream->send(frame);
}

} // namespace Loom
