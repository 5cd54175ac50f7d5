/*
 * linkservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "kernel.h"
#include "peerserver.h"
#include "upstreamtable.h"
#include "wire.pb.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace Loom {

class ConfigService;
class ListService;
class PlatformService;
struct ListedBox;

/** What an entry knows of one agent beyond what routing needs. */
struct AgentView
{
    wire::AgentStatus status;
    std::optional<std::uint64_t> configOffset; ///< in force there
};

/**
 * The entry's links: one watch stream to each agent that it is responsible
 * for and to the other entries. Keeps the upstream table and spreads the
 * configuration.
 */
class LinkService final : public Service
{
public:
    static constexpr std::string_view sName = "links";

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

    UpstreamTable &upstreams() { return mUpstreams; }
    /** The connection to an agent; null where there is none now. */
    PeerConnectionPtr connection(std::string_view box) const;
    /** Connects anew, for a question that must not go over a doubtful connection. */
    awaitable<PeerConnectionPtr> freshConnection(std::string box,
                                                 std::chrono::milliseconds timeout);
    /** The link to @p box does not deliver: makes a new one; calls on the old one go on. */
    void doubt(std::string_view box);
    const std::map<std::string, AgentView, std::less<>> &agents() const { return mAgents; }
    /** Whether another entry has said lately that it is draining. */
    bool isDraining(std::string_view entry) const;
    /** Tells the other entries, now and from time to time, that this one drains. */
    void announceDraining();

    /** The entries that hold links to agents of @p service; callers are sent to them. */
    std::vector<ListedBox> entriesFor(std::string_view service) const;

private:
    struct Link
    {
        Tcp::endpoint endpoint;
        PeerConnectionPtr connection;
        std::shared_ptr<class WatchSession> session;
        bool wanted = true;
        bool isAgent = false;
    };
    using LinkPtr = std::shared_ptr<Link>;

    void takeList();
    /** Those of @p entries that hold a link to @p agent; the same on every entry. */
    std::vector<std::string> linkedEntries(const ListedBox &agent,
                                           std::span<const std::string> entries) const;
    void ensureLink(const ListedBox &box);
    static awaitable<void> keep(LinkService &self, std::string box, LinkPtr link);
    awaitable<void> watch(const std::string &box, const LinkPtr &link);
    void takeAgentStatus(const std::string &box, const wire::AgentStatus &status);
    awaitable<void> servePeer(PeerStreamPtr stream);
    void takeEntryStatus(const wire::EntryStatus &status);
    void relay(const wire::EntryStatus &status);
    static awaitable<void> repeatDraining(LinkService &self);

    PlatformService *mPlatform = nullptr;
    ConfigService *mConfig = nullptr;
    ListService *mList = nullptr;
    asio::any_io_executor mExecutor;
    UpstreamTable mUpstreams;
    std::map<std::string, LinkPtr, std::less<>> mLinks;
    std::map<std::string, AgentView, std::less<>> mAgents;
    struct Draining
    {
        std::uint64_t announcement = 0;
        Instant heard;
    };
    std::map<std::string, Draining, std::less<>> mDrainingEntries;
    /** By service, made anew with each list: address answers must not compute it. */
    std::map<std::string, std::set<std::string>, std::less<>> mServiceEntries;
    std::vector<std::weak_ptr<class WatchSession>> mServed;
    std::unique_ptr<PeerServer> mServer;
    std::uint64_t mLastAnnouncement = 0; ///< zero: not draining
    bool mStopped = false;
};

} // namespace Loom
