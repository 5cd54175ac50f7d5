/*
 * agentlinks.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "kernel.h"
#include "peerlinks.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Loom {

class ListService;

/** Connections of this process to agents, opened on demand and kept while in use. */
class AgentLinks final : public Service
{
public:
    static constexpr std::string_view sName = "agent-links";

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

    /** A stream to @p box; null where it cannot be reached. */
    awaitable<PeerStreamPtr> open(std::string box, std::string path);

private:
    ListService *mList = nullptr;
    std::unique_ptr<PeerLinks> mLinks;
    std::map<std::string, Tcp::endpoint> mAddresses; ///< by box, as listed last
};

} // namespace Loom
