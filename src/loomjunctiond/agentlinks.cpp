/*
 * agentlinks.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "agentlinks.h"

#include "clock.h"
#include "listservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::chrono::milliseconds sConnectTimeout{1'000};
// A rollout asks many agents once; their connections must not stay for ever.
constexpr std::chrono::seconds sIdle{30};
constexpr std::chrono::seconds sSweepEvery{10};

} // namespace

tl::expected<void, std::string> AgentLinks::start(Kernel &kernel)
{
    mList = &kernel.find<ListService>(ListService::sName);
    asio::co_spawn(kernel.executor(), closeIdle(), asio::detached);
    return {};
}

void AgentLinks::stop()
{
    mStopped = true;
    for (const auto &[box, link] : mLinks) {
        link.connection->close();
    }
    mLinks.clear();
}

awaitable<void> AgentLinks::closeIdle()
{
    while (!mStopped) {
        co_await sleepFor(sSweepEvery);
        std::erase_if(mLinks, [](const auto &pair) {
            const Link &link = pair.second;
            const bool idle = link.connection->openStreams() == 0 && now() - link.lastUsed > sIdle;
            if (idle) {
                link.connection->close();
            }
            return idle || !link.connection->isOpen();
        });
    }
}

awaitable<PeerStreamPtr> AgentLinks::open(std::string box, std::string path)
{
    const auto openKept = [&]() -> PeerStreamPtr {
        const auto it = mLinks.find(box);
        if (it == mLinks.end() || !it->second.connection->isOpen()) {
            return nullptr;
        }
        it->second.lastUsed = now();
        return it->second.connection->open(path);
    };
    if (PeerStreamPtr stream = openKept()) {
        co_return stream;
    }
    const ListedBox *listed = mList->find(box);
    if (listed == nullptr) {
        co_return nullptr;
    }
    auto connected = co_await PeerConnection::connect(listed->peers, sConnectTimeout);
    if (!connected) {
        co_return nullptr;
    }
    // Another coroutine may have connected meanwhile; one connection is enough.
    if (PeerStreamPtr stream = openKept()) {
        (*connected)->close();
        co_return stream;
    }
    mLinks[box] = {*connected, now()};
    co_return (*connected)->open(path);
}

} // namespace Loom
