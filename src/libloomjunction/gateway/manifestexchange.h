/*
 * manifestexchange.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "directsettings.h"
#include "memberservice.h"
#include "ports.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

class PeerHub;

/**
 * Gets the manifests of versions from the origin and from other agents, and gives
 * them those that are here. The origin has fewer connections than there are agents.
 * Owned by the stage service.
 */
class ManifestExchange
{
public:
    /** Asks for the oldest version that a box still has to do with. */
    static constexpr std::uint64_t sOldestNeeded = 0;

    struct Parts
    {
        asio::any_io_executor executor;
        EnginePort &engine;
        MemberService &members;
        PeerHub &hub;
        const DirectSettings &settings;
        std::string service;
        std::function<std::optional<Tcp::endpoint>()> origin;
        /** The text of a manifest that is here; null: it is not. */
        std::function<const std::string *(std::string_view model, std::uint64_t version)>
            localManifest;
    };

    explicit ManifestExchange(Parts parts);

    void stop() { mStopped = true; }
    /** The manifest of @p version; the error says what the origin answered. */
    awaitable<tl::expected<std::string, std::string>> fetchManifest(std::string model,
                                                                    std::uint64_t version);
    /** The manifest of the oldest version that some other agent has to do with, or nothing. */
    awaitable<std::string> fetchOldestNeeded(std::string model);

private:
    struct PeerQuery;

    std::vector<Member> originReaders(const std::string &model, std::uint64_t version) const;
    std::vector<Member> sampleStagers() const;
    awaitable<std::string> fetchFromPeers(std::string model, std::uint64_t version,
                                          std::vector<Member> peers);
    awaitable<void> queryPeer(std::shared_ptr<PeerQuery> query, Tcp::endpoint peer,
                              std::string model, std::uint64_t version);
    awaitable<void> serveManifest(PeerStreamPtr stream);

    Parts mParts;
    bool mStopped = false;
};

} // namespace Loom
