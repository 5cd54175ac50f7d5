/*
 * manifestexchange.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "memberservice.h"
#include "membersettings.h"
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
 * Fetches the manifests of versions from the origin or from other agents, and serves
 * the local ones to other agents, because the origin accepts fewer connections than
 * there are agents. Owned by the weight staging service.
 */
class ManifestExchange
{
public:
    /** Version number in a request for the oldest version that the peer still fetches. */
    static constexpr std::uint64_t sOldestNeeded = 0;

    struct Parts
    {
        asio::any_io_executor executor;
        EnginePort &engine;
        MemberService &members;
        PeerHub &hub;
        const MemberSettings &settings;
        std::string service;
        std::function<std::optional<Tcp::endpoint>()> origin;
        /** Returns the text of a local manifest; null if there is none. */
        std::function<const std::string *(std::string_view model, std::uint64_t version)>
            localManifest;
    };

    explicit ManifestExchange(Parts parts);

    void stop() { mStopped = true; }
    /** Fetches the text of a manifest; the error describes the origin's failure. */
    awaitable<tl::expected<std::string, std::string>> fetchManifest(std::string model,
                                                                    std::uint64_t version);
    /**
     * Reads the text of a manifest from the origin until it has arrived twice. The error describes
     * the origin's failure; if it fails after its first answer, that answer is returned.
     */
    awaitable<tl::expected<std::string, std::string>> readOrigin(std::string model,
                                                                 std::uint64_t version);
    /** Fetches the manifest of an older version that peers still fetch; empty if none does. */
    awaitable<std::string> fetchOldestNeeded(std::string model);
    /** Whether one of some random peers fetches the version or has fetched it. */
    awaitable<bool> isFetchedByPeers(std::string model, std::uint64_t version);

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
