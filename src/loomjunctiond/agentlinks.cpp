/*
 * agentlinks.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "agentlinks.h"

#include "listservice.h"

namespace Loom {

namespace {

constexpr std::chrono::milliseconds sConnectTimeout{1'000};

} // namespace

tl::expected<void, std::string> AgentLinks::start(Kernel &kernel)
{
    mList = &kernel.find<ListService>(ListService::sName);
    return {};
}

void AgentLinks::stop()
{
    for (const auto &[box, connection] : mConnections) {
        connection->close();
    }
    mConnections.clear();
}

awaitable<PeerStreamPtr> AgentLinks::open(std::string box, std::string path)
{
    auto it = mConnections.find(box);
    if (it != mConnections.end() && it->second->isOpen()) {
        co_return it->second->open(path);
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
    it = mConnections.find(box);
    if (it != mConnections.end() && it->second->isOpen()) {
        (*connected)->close();
        co_return it->second->open(path);
    }
    mConnections[box] = *connected;
    co_return (*connected)->open(path);
}

} // namespace Loom
