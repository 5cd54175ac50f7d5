/*
 * peerhub.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "kernel.h"
#include "peerlinks.h"
#include "peerserver.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Loom {

/** Connections to and from the other processes of the system; streams by path. */
class PeerHub final : public Service
{
public:
    static constexpr std::string_view sName = "peer-hub";

    explicit PeerHub(Tcp::endpoint address);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

    /** Runs @p handler for each stream that another process opens with @p path. */
    void serve(std::string path, PeerStreamHandler handler);

    /** A stream to the process at @p address; null where it cannot be reached. */
    awaitable<PeerStreamPtr> open(Tcp::endpoint address, std::string path);

private:
    awaitable<void> dispatch(PeerStreamPtr stream);

    Tcp::endpoint mAddress;
    std::unique_ptr<PeerServer> mServer;
    std::map<std::string, PeerStreamHandler, std::less<>> mHandlers;
    std::unique_ptr<PeerLinks> mLinks;
};

} // namespace Loom
