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
    mLinks = std::make_unique<PeerLinks>(kernel.executor(), sConnectTimeout);
    mLinks->start();
    return {};
}

void AgentLinks::stop()
{
    mLinks->stop();
}

awaitable<PeerStreamPtr> AgentLinks::open(std::string box, std::string path)
{
    // A box that the list lost for a while is reached where it was.
    if (const ListedBox *listed = mList->find(box)) {
        mAddresses[box] = listed->peers;
    }
    const auto it = mAddresses.find(box);
    if (it == mAddresses.end()) {
        co_return nullptr;
    }
    co_return co_await mLinks->open(it->second, std::move(path));
}

} // namespace Loom
