/*
 * memberservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "addressselector.h"
#include "clock.h"
#include "instant.h"
#include "kernel.h"
#include "memberfailuredetector.h"
#include "membersettings.h"
#include "peerstream.h"
#include "ports.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Loom {

namespace wire {
class MemberStatus;
}
class FeedService;
struct FeedReaders;
class PeerHub;
enum class PeerLocation : std::uint8_t;
struct FeedChange;

/** One process of the system, as its record in the store tells. */
struct Member
{
    std::string box;
    std::string dataCentre;
    std::string region; ///< empty: its record does not tell
    bool isGateway = false;
    Tcp::endpoint peers;
    std::string callers; ///< of a gateway: IP:PORT where callers connect
    std::string service; ///< of a stager
    std::string engine; ///< of a stager: IP:PORT of the replica beside it
    std::uint64_t incarnation = 0;
};

/** What a gateway heard of another one directly. */
struct GatewayState
{
    bool isReady = false;
    bool isLeaving = false;
    std::uint64_t incarnation = 0;
    std::uint64_t configVersion = 0;
    bool hasStoreFailed = false; ///< its reads of the store, of late
    bool isUnreachable = false; ///< the last connection to it failed
    std::optional<Instant> heardAt;
};

/** What another service has gateways tell each other with their states. */
struct StatusExtension
{
    /** Adds what changed after @p since; gives the count of changes that is told then. */
    std::function<std::uint64_t(std::uint64_t since, wire::MemberStatus &status)> append;
    std::function<std::uint64_t()> revision; ///< so far
    std::function<void(const wire::MemberStatus &status)> apply;
};

/**
 * Who takes part. Each process puts a record of itself into the store when it
 * starts and takes it away when it leaves; each gateway follows the state of
 * some others over its own links, which tells of dead ones sooner than any list.
 */
class MemberService final : public Service
{
public:
    static constexpr std::string_view sName = "members";
    using StatusSource = std::function<GatewayState()>;

    MemberService(StorePort &store, const MemberSettings &settings, std::uint64_t incarnation);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

    /** This gateway's own state, told to the others. */
    void setStatusSource(StatusSource source) { mStatusSource = std::move(source); }
    /** Told with the own state, and taken from that of others; set before start. */
    void setStatusExtension(StatusExtension news) { mStatusExtension = std::move(news); }
    /** Gateways to ask while no other is known. */
    void setSeeds(std::vector<Tcp::endpoint> seeds) { mSettings.seeds = std::move(seeds); }
    /** Tells the others at once that the own state changed. */
    void noteChange();
    /** Takes the own record away. */
    awaitable<void> leave();

    /** Members other than this process. */
    std::vector<Member> others() const;
    std::vector<Member> stagersForService(std::string_view service) const;
    /** The agent beside the replica at @p engine; nothing: none is known. */
    std::optional<Tcp::endpoint> agentFor(const std::string &engine) const;
    /** Agents whose loss this gateway would have to notice. */
    std::vector<Member> monitoredStagers() const;
    /** Peer addresses of other gateways: those known, else the seeds. */
    std::vector<Tcp::endpoint> gatewayPeerAddresses() const;
    /** The other gateways, as callers may or may not use them now. */
    std::vector<GatewayAddress> otherGateways() const;
    /** Which gateways read the store for all. */
    FeedReaders selectFeedReaders();
    /** Where the process is that a connection from or to @p remote reaches. */
    PeerLocation locationOf(const Tcp::endpoint &remote) const;
    /** Gateways that may be alive, this one among them. */
    std::uint32_t gatewayCount() const;
    /**
     * The gateway that keeps for all what is called @p key; nothing: this one. The same at
     * all gateways that know the same members and hear the same of them.
     */
    std::optional<Tcp::endpoint> ownerOf(std::string_view key) const;
    std::uint64_t incarnation() const { return mIncarnation; }
    /** The key of the own record. */
    const std::string &key() const { return mKey; }
    /** A stager spoke to this gateway. */
    void noteHeard(const std::string &key);

private:
    awaitable<void> publishRecord();
    awaitable<void> followGateways();
    awaitable<void> followGateway(std::string key);
    awaitable<void> serveStatus(PeerStreamPtr stream);
    wire::MemberStatus ownStatus() const;
    std::uint64_t extensionRevision() const
    {
        return mStatusExtension.revision ? mStatusExtension.revision() : 0;
    }
    awaitable<void> removeSilentMembers();
    void noteHeardFromDataCentre(const std::string &key);
    bool isOverdue(const std::string &key, const Member &member) const;
    GatewayAvailability availabilityOf(const std::string &key) const;
    static bool isUsable(const GatewayState &state);
    bool mayReadStore(const std::string &key) const;
    std::vector<Tcp::endpoint> earlierReaders() const;
    void updatePlan();
    const std::string &selectReader(std::span<const std::string> order) const;
    std::vector<Tcp::endpoint> localDataCentreFirst(std::span<const Member> members) const;
    std::optional<Instant> lastHeard(const std::string &key, const Member &member) const;
    void applyRecord(const FeedChange &change);
    std::string ownRecordValue() const;

    StorePort &mStore;
    MemberSettings mSettings;
    std::string mKey;
    std::uint64_t mIncarnation;
    FeedService *mFeeds = nullptr;
    PeerHub *mHub = nullptr;
    StatusSource mStatusSource;
    StatusExtension mStatusExtension;
    std::map<std::string, Member> mMembers;
    std::map<std::string, GatewayState> mGatewayStates;
    std::set<std::string> mGatewaysToFollow; ///< gateways whose state is wanted
    std::set<std::string> mFollowedGateways; ///< gateways that a coroutine follows
    std::map<std::string, Instant> mStagersHeardAt; ///< stagers, by key
    std::map<std::string, Instant> mFirstSeenAt; ///< when a record was first seen
    std::map<std::string, std::string>
        mStagerKeyByEngine; ///< keys of stagers, by their engine's address
    std::map<std::string, Instant> mMonitoredSince; ///< whose loss is noticed here, and since when
    MemberFailureDetector mFailureDetector;
    std::uint64_t mMemberChangeCount = 0;
    std::uint64_t mPlannedMemberChangeCount
        = 0; ///< mMemberChangeCount when all this was worked out
    std::vector<std::string> mGlobalReaders; ///< in order
    std::vector<std::string> mDataCentreReaders; ///< those of this data centre, in order
    std::unique_ptr<Signal> mStatusChanged;
    std::uint64_t mStatusChangeCount = 0;
    bool mIsRecorded = false;
    bool mIsLeaving = false;
    bool mStopped = false;
};

} // namespace Loom
