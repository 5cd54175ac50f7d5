/*
 * delayingproxy.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"

#include <chrono>
#include <deque>
#include <memory>
#include <string>

namespace Loom {

/** A TCP proxy that delays every byte from the target to the client by a minimum time. */
class DelayingProxy
{
public:
    DelayingProxy(const asio::any_io_executor &executor, Tcp::endpoint target,
                  std::chrono::milliseconds minDelay);

    Tcp::endpoint address() const { return mAcceptor.local_endpoint(); }

private:
    using Time = std::chrono::steady_clock::time_point;

    struct Piece
    {
        Time dueAt;
        std::string bytes;
    };

    /** One direction of a proxied connection. */
    struct Direction
    {
        std::shared_ptr<Tcp::socket> from;
        std::shared_ptr<Tcp::socket> to;
        std::chrono::milliseconds minDelay{0};
        std::deque<Piece> pieces;
        std::unique_ptr<Signal> changed;
        bool hasEnded = false;
    };
    using DirectionPtr = std::shared_ptr<Direction>;

    awaitable<void> accept();
    awaitable<void> connectTarget(std::shared_ptr<Tcp::socket> caller);
    void start(std::shared_ptr<Tcp::socket> from, std::shared_ptr<Tcp::socket> to,
               std::chrono::milliseconds minDelay);
    static awaitable<void> receive(DirectionPtr direction);
    static awaitable<void> forward(DirectionPtr direction);

    Tcp::acceptor mAcceptor;
    Tcp::endpoint mTarget;
    std::chrono::milliseconds mMinDelay;
};

} // namespace Loom
