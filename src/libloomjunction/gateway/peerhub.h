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

class Metrics;

/** Location of the process at the other end of a stream, relative to this process. */
enum class PeerLocation : std::uint8_t
{
    Unknown,
    OwnDataCentre,
    OtherDataCentre,
};
/** Name of @p location in metric labels. */
std::string_view peerLocationName(PeerLocation location);

/** Manages the connections to and from other processes, and dispatches streams by path. */
class PeerHub final : public Service
{
public:
    static constexpr std::string_view sName = "peer-hub";

    using PeerLocator = std::function<PeerLocation(const Tcp::endpoint &remote)>;

    explicit PeerHub(Tcp::endpoint address);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

    /**
     * Counts the bytes that streams send in the metric `peer_bytes`, by path and location of
     * the other end. Excludes the headers and framing of HTTP/2.
     */
    void countInto(Metrics &metrics) { mMetrics = &metrics; }
    /** Sets the function that locates peers, called once per stream. Default: all unknown. */
    void setPeerLocator(PeerLocator locator) { mPeerLocator = std::move(locator); }

    /** Runs @p handler for each stream that another process opens with @p path. */
    void serve(std::string path, PeerStreamHandler handler);

    /** Opens a stream to the process at @p address; null if it cannot be reached. */
    awaitable<PeerStreamPtr> open(Tcp::endpoint address, std::string path);

private:
    awaitable<void> dispatch(PeerStreamPtr stream);
    void countBytes(PeerStream &stream) const;

    Tcp::endpoint mAddress;
    Metrics *mMetrics = nullptr; ///< null if bytes are not counted
    PeerLocator mPeerLocator;
    std::unique_ptr<PeerServer> mServer;
    std::map<std::string, PeerStreamHandler, std::less<>> mHandlers;
    std::unique_ptr<PeerLinks> mLinks;
};

} // namespace Loom
