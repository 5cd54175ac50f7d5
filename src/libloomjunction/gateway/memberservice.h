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
#include <variant>
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

/** A process of the system, as described by its membership record in the store. */
struct Member
{
    std::string box;
    std::string dataCentre;
    std::string region; ///< empty if the record names none
    bool isGateway = false;
    Tcp::endpoint peers;
    std::string callers; ///< gateways only: IP:PORT at which callers connect
    std::string service; ///< stagers only
    std::string engine; ///< stagers only: IP:PORT of the replica on the same box
    std::uint64_t incarnation = 0;
};

/** This process owns a key. */
struct OwnedHere
{
};

/** No gateway owns a key: all that are known are leaving or unavailable. */
struct Unowned
{
};

/** The gateway that decides about a key on behalf of all; another one by its peer address. */
using KeyOwner = std::variant<Unowned, OwnedHere, Tcp::endpoint>;

/** State of another gateway, as received from it directly. */
struct GatewayState
{
    bool isReady = false;
    bool isLeaving = false;
    std::uint64_t incarnation = 0;
    std::uint64_t configVersion = 0;
    bool hasStoreFailed = false; ///< its reads of the store have failed recently
    bool isUnreachable = false; ///< the last connection to it failed or was lost
    std::optional<Instant> heardAt;
};

/** Lets another service add data to the status messages that gateways exchange. */
struct StatusExtension
{
    /** Adds the changes after revision @p since to @p status; returns the revision sent. */
    std::function<std::uint64_t(std::uint64_t since, wire::MemberStatus &status)> append;
    /** Current revision of the data; a change is sent at once. Null: it is always zero. */
    std::function<std::uint64_t()> revision;
    /** Processes the data in a status message of the gateway @p sender. */
    std::function<void(const Member &sender, const wire::MemberStatus &status)> apply;
};

/**
 * Tracks the members of the system. Each process writes a membership record to the store
 * when it starts and removes it when it leaves. Each gateway also receives status messages
 * from some other gateways directly, which reveals their failure sooner than the records do.
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

    /** Sets the source of this gateway's own state, which is sent to the other gateways. */
    void setStatusSource(StatusSource source) { mStatusSource = std::move(source); }
    /** Calls @p listener with the configuration version in each status message received. */
    void listenConfigVersions(std::function<void(std::uint64_t version)> listener)
    {
        mConfigVersionListener = std::move(listener);
    }
    /**
     * Adds data to the status messages sent and received; must be called before the first of
     * these, that is while the services start.
     */
    void addStatusExtension(StatusExtension extension)
    {
        mStatusExtensions.push_back(std::move(extension));
    }
    /** Sets the gateways to contact while no other gateway is known. */
    void setSeeds(std::vector<Tcp::endpoint> seeds) { mSettings.seeds = std::move(seeds); }
    /** Sends this gateway's changed state to the other gateways at once. */
    void noteChange();
    /** Removes this process's membership record from the store. */
    awaitable<void> leave();

    /** Members other than this process. */
    std::vector<Member> others() const;
    /** Stagers of @p service, other than this process. */
    std::vector<Member> stagersForService(std::string_view service) const;
    /** Peer address of the agent on the box of the replica at @p engine, if one is known. */
    std::optional<Tcp::endpoint> agentFor(const std::string &engine) const;
    /** Agents that this gateway monitors for failure. */
    std::vector<Member> monitoredStagers() const;
    /**
     * Peer addresses of the gateways heard recently; if there are none, those of all known
     * gateways and the seeds.
     */
    std::vector<Tcp::endpoint> gatewayPeerAddresses() const;
    /** The other gateways with their current availability to callers. */
    std::vector<GatewayAddress> otherGateways() const;
    /** Selects the gateways that read the store on behalf of the others. */
    FeedReaders selectFeedReaders();
    /** Location of the process at the other end of a connection with address @p remote. */
    PeerLocation locationOf(const Tcp::endpoint &remote) const;
    /** Number of gateways that may be alive, including this one. */
    std::uint32_t gatewayCount() const;
    /** The same by data centre. */
    std::map<std::string, std::uint32_t, std::less<>> gatewayCountByDataCentre() const;
    /**
     * The gateway that owns @p key on behalf of all. Gateways that know the same members in the
     * same states agree on it.
     */
    KeyOwner ownerOf(std::string_view key) const;
    /**
     * The same among all gateways with a membership record, whether they are heard or not, so that
     * gateways that are cut off from each other agree on the owner.
     */
    KeyOwner recordedOwnerOf(std::string_view key) const;
    /**
     * Whether this process is the recorded owner of @p key and hears most gateways, and has run and
     * heard them for long enough for all to agree on its record.
     */
    bool isUndisputedOwnerOf(std::string_view key) const;
    /**
     * Whether more than half of the gateways that this one follows, itself included, are heard. A
     * gateway that is cut off with a minority of them does not hear the majority.
     */
    bool isMajorityHeard() const;
    std::uint64_t incarnation() const { return mIncarnation; }
    /** Key of this process's membership record. */
    const std::string &key() const { return mKey; }
    /** Notes that a message of the stager with @p key was received. */
    void noteHeard(const std::string &key);

private:
    awaitable<void> publishRecord();
    awaitable<void> publishAgain();
    void restoreRecord();
    awaitable<void> followGateways();
    awaitable<void> followGateway(std::string key);
    awaitable<void> serveStatus(PeerStreamPtr stream);
    wire::MemberStatus ownStatus() const;
    std::vector<std::uint64_t> extensionRevisions() const;
    awaitable<void> removeSilentMembers();
    void noteHeardFromDataCentre(const std::string &key);
    bool isOverdue(const std::string &key, const Member &member) const;
    bool mayBeAlive(const std::string &key) const;
    bool knowsOtherGateways() const;
    bool isLastGateway() const;
    void updateContact();
    GatewayAvailability availabilityOf(const std::string &key) const;
    static bool isUsable(const GatewayState &state);
    bool mayReadStore(const std::string &key, bool mayHaveFailed) const;
    std::vector<Tcp::endpoint> earlierReaders() const;
    std::vector<Tcp::endpoint> alternateSources(std::span<const std::string> planned) const;
    std::size_t takeoverRank(std::span<const std::string> planned) const;
    std::vector<std::string> successors(std::span<const std::string> order,
                                        std::span<const std::string> planned) const;
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
    std::function<void(std::uint64_t)> mConfigVersionListener;
    std::vector<StatusExtension> mStatusExtensions;
    std::map<std::string, Member> mMembers;
    std::map<std::string, GatewayState> mGatewayStates;
    std::set<std::string> mGatewaysToFollow; ///< keys of the gateways whose state is to be followed
    std::set<std::string> mFollowedGateways; ///< keys of the gateways that a coroutine follows
    std::map<std::string, Instant> mStagersHeardAt; ///< last message of each stager, by key
    /** Arrival of the first record of each current incarnation, by key. */
    std::map<std::string, Instant> mFirstSeenAt;
    std::map<std::string, std::string> mStagerKeyByEngine; ///< by address of the engine
    std::map<std::string, Instant> mMonitoredSince; ///< start of monitoring, by key
    MemberFailureDetector mFailureDetector;
    std::uint64_t mMemberChangeCount = 0;
    /** Value of mMemberChangeCount at the last update of the plan. */
    std::uint64_t mPlannedMemberChangeCount = 0;
    std::vector<std::string> mGlobalReaders; ///< keys, in order of preference
    std::vector<std::string> mDataCentreReaders; ///< the same for this data centre
    std::unique_ptr<Signal> mStatusChanged;
    std::uint64_t mStatusChangeCount = 0;
    Instant mInContactAt; ///< last check at which most gateways were heard
    /** When all agree on this gateway's record after its start or a loss of contact. */
    Instant mMayOwnFrom;
    bool mIsRecorded = false;
    bool mIsLeaving = false;
    /** No other gateway was known when this one began to leave. */
    bool mWasLastGateway = false;
    bool mStopped = false;
};

} // namespace Loom
