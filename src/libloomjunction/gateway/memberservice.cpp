/*
 * memberservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "memberservice.h"

#include "clock.h"
#include "feedservice.h"
#include "jsonhttp.h"
#include "jsonlog.h"
#include "memberplan.h"
#include "peerhub.h"
#include "rendezvous.h"
#include "wire.pb.h"

#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::string_view sStatusPath = "/gateway-status";
constexpr Milliseconds sStatusInterval{400};
// Three missed status messages: the gateway is dead, cut off or suspended.
constexpr Milliseconds sStatusTimeout{1'300};
constexpr std::chrono::milliseconds sReconnectDelay{300};
constexpr std::chrono::milliseconds sRecordRetryDelay{400};
// Hundreds of processes write their records again when the store has lost them, and the store
// limits the rate of writes. All are listed again two seconds after its return.
constexpr std::chrono::milliseconds sRepublishSpread{1'000};
constexpr std::chrono::milliseconds sFollowCheckInterval{200};
// A gateway that was silent for longer than the retry window has used none of that window's
// retry budget.
constexpr Milliseconds sPresumedAliveTimeout{15'000};
// Longer than a restart takes, so that only records of boxes that stay away are removed.
constexpr Milliseconds sRemovalTimeout{5'000};
// A gateway that was out of contact for so long may have lost its record, and others own its keys.
constexpr Milliseconds sMaxContactLoss{4'000};
// Within this time it has read the removal, and the others its new record; the same holds for a
// gateway that has just started.
constexpr Milliseconds sOwnershipDelay{3'000};
constexpr Milliseconds sRemovalStagger{500};
constexpr std::uint64_t sRemovalSlotCount = 8;
constexpr std::chrono::milliseconds sRemovalCheckInterval{500};
// With fewer gateways than this, each one reads the store itself.
constexpr std::size_t sMinRelayingGateways = 6;
// Limits how many preceding readers a starting gateway waits for: the second one reads if the
// first is down.
constexpr std::size_t sMaxEarlierReaders = 2;
// Number of gateways of a data centre, and of all, that are considered when the readers fail.
constexpr std::size_t sMaxSuccessors = 3;
constexpr std::string_view sGatewayRole = "gateway";
constexpr std::string_view sStagerRole = "stager";

std::optional<Member> readMember(std::string_view value)
{
    const boost::json::object object = jsonObject(value);
    const auto peers = parseEndpoint(jsonText(object, "peers"));
    if (!peers) {
        return std::nullopt;
    }
    Member member;
    member.box = jsonText(object, "box");
    member.dataCentre = jsonText(object, "dataCentre");
    member.region = jsonText(object, "region");
    member.isGateway = jsonText(object, "role") == sGatewayRole;
    member.peers = *peers;
    member.callers = jsonText(object, "callers");
    member.service = jsonText(object, "service");
    member.engine = jsonText(object, "engine");
    member.incarnation = static_cast<std::uint64_t>(jsonInteger(object, "incarnation", 0));
    return member;
}

} // namespace

MemberService::MemberService(StorePort &store, const MemberSettings &settings,
                             std::uint64_t incarnation)
    : mStore(store)
    , mSettings(settings)
    , mKey(endpointText(settings.peers))
    , mIncarnation(incarnation)
    , mFailureDetector(settings.dataCentre, sStatusTimeout)
{
}

tl::expected<void, std::string> MemberService::start(Kernel &kernel)
{
    mInContactAt = now();
    mMayOwnFrom = mInContactAt + sOwnershipDelay;
    mFeeds = &kernel.find<FeedService>(FeedService::sName);
    mHub = &kernel.find<PeerHub>(PeerHub::sName);
    mStatusChanged = std::make_unique<Signal>(kernel.executor());
    mFeeds->listen(Feed::Members, [this](const FeedChange &change) { applyRecord(change); });
    mFeeds->setEraRules(Feed::Members, {nullptr, true});
    mFeeds->listenRestored(Feed::Members, [this](const FeedTable::Keys &) { restoreRecord(); });
    mFeeds->setPeers([this] { return gatewayPeerAddresses(); });
    mHub->setPeerLocator([this](const Tcp::endpoint &remote) { return locationOf(remote); });
    asio::co_spawn(kernel.executor(), publishRecord(), asio::detached);
    if (mSettings.isGateway()) {
        mFeeds->setReaders([this] { return selectFeedReaders(); });
        mHub->serve(std::string(sStatusPath),
                    [this](PeerStreamPtr stream) { return serveStatus(std::move(stream)); });
        asio::co_spawn(kernel.executor(), followGateways(), asio::detached);
        asio::co_spawn(kernel.executor(), removeSilentMembers(), asio::detached);
    }
    return {};
}

void MemberService::stop()
{
    mStopped = true;
    mStatusChanged->notify();
}

std::string MemberService::ownRecordValue() const
{
    boost::json::object value;
    value["box"] = mSettings.box;
    value["dataCentre"] = mSettings.dataCentre;
    value["region"] = mSettings.region;
    value["peers"] = endpointText(mSettings.peers);
    value["incarnation"] = mIncarnation;
    if (const auto *gateway = std::get_if<GatewaySettings>(&mSettings.role)) {
        value["role"] = sGatewayRole;
        value["callers"] = endpointText(gateway->callers);
    } else if (const auto *stager = std::get_if<StagerSettings>(&mSettings.role)) {
        value["role"] = sStagerRole;
        value["service"] = stager->service;
        value["engine"] = endpointText(stager->engine);
    }
    return boost::json::serialize(value);
}

awaitable<void> MemberService::publishRecord()
{
    while (!mStopped && !mIsLeaving && !mIsRecorded) {
        const std::string value = ownRecordValue();
        const std::uint64_t era = mStore.era();
        const auto result = co_await mStore.put(mKey, value);
        // A record of the era before may be lost.
        mIsRecorded = result && (era == 0 || era == mStore.era());
        if (mIsRecorded) {
            logLine(LogLevel::Info, "member-recorded",
                    {{"key", mKey}, {"incarnation", mIncarnation}});
            co_return;
        }
        co_await sleepFor(sRecordRetryDelay);
    }
}

// Writes the own record again, or removes it again, if the store has lost that. The records of
// others are theirs to write; until then they stay valid here.
void MemberService::restoreRecord()
{
    const FeedTable &table = mFeeds->table(Feed::Members);
    const bool isInStore = table.find(mKey) != nullptr && !table.missing().contains(mKey);
    if (mIsLeaving && isInStore) {
        asio::co_spawn(mStatusChanged->executor(), leave(), asio::detached);
    }
    if (!mIsLeaving && !isInStore && mIsRecorded) {
        mIsRecorded = false;
        asio::co_spawn(mStatusChanged->executor(), publishAgain(), asio::detached);
    }
}

awaitable<void> MemberService::publishAgain()
{
    static std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<std::int64_t> spread(0, sRepublishSpread.count());
    co_await sleepFor(std::chrono::milliseconds(spread(random)));
    co_await publishRecord();
}

awaitable<void> MemberService::leave()
{
    if (!std::exchange(mIsLeaving, true)) {
        mWasLastGateway = mSettings.isGateway() && !knowsOtherGateways();
    }
    const auto result = co_await mStore.put(mKey, std::nullopt);
    logLine(result ? LogLevel::Info : LogLevel::Warning, "member-record-removed",
            {{"key", mKey}, {"done", result.has_value()}});
}

void MemberService::applyRecord(const FeedChange &change)
{
    const std::string &key = change.record.key;
    if (key.starts_with(sQuarantineKeys) || key.starts_with(sVersionTimeKeys)) {
        return; // not a membership record; the services that write these handle them
    }
    if (key == mKey) {
        // A delayed write of an earlier incarnation must not replace or remove this record.
        const bool isOwn = change.record.value
            && static_cast<std::uint64_t>(
                   jsonInteger(jsonObject(*change.record.value), "incarnation", 0))
                == mIncarnation;
        if (!isOwn && mIsRecorded && !mIsLeaving) {
            mIsRecorded = false;
            asio::co_spawn(mStatusChanged->executor(), publishRecord(), asio::detached);
        }
        return;
    }
    if (!change.record.value) {
        const auto removed = mMembers.find(key);
        const bool wasKnown = removed != mMembers.end();
        if (wasKnown) {
            const auto agent = mStagerKeyByEngine.find(removed->second.engine);
            if (agent != mStagerKeyByEngine.end() && agent->second == key) {
                mStagerKeyByEngine.erase(agent);
            }
            mMembers.erase(removed);
            ++mMemberChangeCount;
        }
        mFirstSeenAt.erase(key);
        if (wasKnown) {
            logLine(LogLevel::Info, "member-left", {{"member", key}});
        }
        return;
    }
    const auto member = readMember(*change.record.value);
    if (!member) {
        logLine(LogLevel::Warning, "member-record-refused", {{"member", key}});
        return;
    }
    logLine(LogLevel::Info, "member-came",
            {{"member", key}, {"memberBox", member->box}, {"incarnation", member->incarnation}});
    const auto known = mMembers.find(key);
    const bool isNewIncarnation
        = known == mMembers.end() || known->second.incarnation != member->incarnation;
    if (isNewIncarnation) {
        mFirstSeenAt[key] = now();
    }
    if (!member->engine.empty()) {
        mStagerKeyByEngine[member->engine] = key;
    }
    mMembers[key] = *member;
    ++mMemberChangeCount;
}

std::optional<Tcp::endpoint> MemberService::agentFor(const std::string &engine) const
{
    const auto agent = mStagerKeyByEngine.find(engine);
    if (agent == mStagerKeyByEngine.end()) {
        return std::nullopt;
    }
    const auto member = mMembers.find(agent->second);
    return member == mMembers.end() ? std::nullopt : std::optional(member->second.peers);
}

std::vector<Member> MemberService::monitoredStagers() const
{
    std::vector<Member> stagers;
    for (const auto &[key, since] : mMonitoredSince) {
        const auto member = mMembers.find(key);
        if (member != mMembers.end() && !member->second.isGateway) {
            stagers.push_back(member->second);
        }
    }
    return stagers;
}

// Updates which gateways this one follows, which members it monitors and which gateways read
// the store, if members have joined or left.
void MemberService::updatePlan()
{
    if (mPlannedMemberChangeCount == mMemberChangeCount) {
        return;
    }
    mPlannedMemberChangeCount = mMemberChangeCount;
    std::vector<MemberLocation> places;
    for (const auto &[key, member] : mMembers) {
        places.push_back({key, member.dataCentre, member.isGateway});
    }
    const MemberPlan plan({mKey, mSettings.dataCentre, true}, places);
    mGatewaysToFollow = plan.gatewaysToFollow();
    mGlobalReaders = plan.readerOrder(ReaderScope::Global);
    mDataCentreReaders = plan.readerOrder(ReaderScope::DataCentre);
    std::set<std::string> monitored = plan.agentsToWatch();
    monitored.insert(mGatewaysToFollow.begin(), mGatewaysToFollow.end());
    std::erase_if(mMonitoredSince,
                  [&](const auto &item) { return !monitored.contains(item.first); });
    for (const std::string &key : monitored) {
        mMonitoredSince.try_emplace(key, now());
    }
}

// Returns the first gateway of the order that is alive and reaches the store, as far as this
// gateway knows. If the store has failed all of them, the first one that is alive is the first to
// reach it again.
const std::string &MemberService::selectReader(std::span<const std::string> order) const
{
    for (const bool mayHaveFailed : {false, true}) {
        const auto found = std::ranges::find_if(
            order, [&](const std::string &key) { return mayReadStore(key, mayHaveFailed); });
        if (found != order.end()) {
            return *found;
        }
    }
    return mKey;
}

// A starting gateway has heard from few others, and those that start at the same time can't
// serve callers yet. During startup another gateway therefore counts as alive unless it is
// leaving or could not be reached.
bool MemberService::mayReadStore(const std::string &key, bool mayHaveFailed) const
{
    if (key == mKey) {
        return mayHaveFailed || !mFeeds->hasStoreFailed();
    }
    if (!mMembers.contains(key)) {
        return false;
    }
    const auto found = mGatewayStates.find(key);
    const bool isInStartup = mFeeds->isInStartup();
    if (found == mGatewayStates.end()) {
        return isInStartup;
    }
    const GatewayState &state = found->second;
    const bool mayBeAlive = isInStartup && !state.isUnreachable && !state.isLeaving;
    return (mayBeAlive || isUsable(state)) && (mayHaveFailed || !state.hasStoreFailed);
}

// Includes gateways that can't be reached yet, since they may start a moment later than this
// one. When the store returns from a copy, it has failed at all of them shortly before.
std::vector<Tcp::endpoint> MemberService::earlierReaders() const
{
    std::vector<Tcp::endpoint> earlier;
    for (const std::string &key : mDataCentreReaders) {
        if (key == mKey || earlier.size() == sMaxEarlierReaders) {
            break;
        }
        const auto member = mMembers.find(key);
        const auto state = mGatewayStates.find(key);
        const bool hasDeclined = state != mGatewayStates.end()
            && (state->second.isLeaving
                || (state->second.hasStoreFailed && !mFeeds->isRestoring()));
        if (member != mMembers.end() && !hasDeclined) {
            earlier.push_back(member->second.peers);
        }
    }
    return earlier;
}

std::optional<Instant> MemberService::lastHeard(const std::string &key, const Member &member) const
{
    if (!member.isGateway) {
        const auto it = mStagersHeardAt.find(key);
        return it == mStagersHeardAt.end() ? std::nullopt : std::optional(it->second);
    }
    const auto it = mGatewayStates.find(key);
    return it == mGatewayStates.end() ? std::nullopt : it->second.heardAt;
}

void MemberService::noteHeard(const std::string &key)
{
    mStagersHeardAt[key] = now();
    noteHeardFromDataCentre(key);
}

void MemberService::noteHeardFromDataCentre(const std::string &key)
{
    if (const auto member = mMembers.find(key); member != mMembers.end()) {
        mFailureDetector.noteHeard(member->second.dataCentre, now());
    }
}

bool MemberService::isOverdue(const std::string &key, const Member &member) const
{
    const auto monitored = mMonitoredSince.find(key);
    if (monitored == mMonitoredSince.end()) {
        return false;
    }
    Instant since = monitored->second;
    if (const auto firstSeen = mFirstSeenAt.find(key); firstSeen != mFirstSeenAt.end()) {
        since = std::max(since, firstSeen->second);
    }
    if (const auto heard = lastHeard(key, member)) {
        since = std::max(since, *heard);
    }
    // The gateways that monitor a member act one after the other, so that usually only one of
    // them writes to the store.
    const auto slot = static_cast<std::int64_t>(rendezvousWeight(key, mKey) % sRemovalSlotCount);
    return mFailureDetector.isOverdue(member.dataCentre, since, now(),
                                      sRemovalTimeout + sRemovalStagger * slot);
}

// A process on a box that fails for good doesn't remove its record, and members for which it
// stays responsible would keep waiting for it. A gateway therefore removes the records of members
// that stay silent, unless most of those it monitors are silent: then the gateway itself may be
// cut off. A member that is alive after all writes its record again.
awaitable<void> MemberService::removeSilentMembers()
{
    while (!mStopped && !mIsLeaving) {
        co_await sleepFor(sRemovalCheckInterval);
        std::vector<std::string> overdue;
        for (const auto &[key, member] : mMembers) {
            if (isOverdue(key, member)) {
                overdue.push_back(key);
            }
        }
        const bool isIsolated = 2 * overdue.size() > mMonitoredSince.size();
        if (isIsolated || !mFeeds->isStoreReached(Feed::Members)) {
            continue;
        }
        for (const std::string &key : overdue) {
            const auto result = co_await mStore.put(key, std::nullopt);
            logLine(LogLevel::Warning, "member-forgotten",
                    {{"member", key}, {"done", result.has_value()}});
        }
    }
}

std::vector<Member> MemberService::others() const
{
    std::vector<Member> all;
    for (const auto &[key, member] : mMembers) {
        all.push_back(member);
    }
    return all;
}

std::vector<Member> MemberService::stagersForService(std::string_view service) const
{
    std::vector<Member> all;
    for (const auto &[key, member] : mMembers) {
        if (!member.isGateway && member.service == service) {
            all.push_back(member);
        }
    }
    return all;
}

// All boxes share the links between data centres, so records are relayed within a data centre
// where possible. Rendezvous hashing distributes the followers over its gateways.
std::vector<Tcp::endpoint> MemberService::gatewayPeerAddresses() const
{
    std::vector<Member> heard;
    std::vector<Member> all;
    for (const auto &[key, member] : mMembers) {
        if (!member.isGateway) {
            continue;
        }
        all.push_back(member);
        const auto it = mGatewayStates.find(key);
        if (it != mGatewayStates.end() && it->second.heardAt
            && now() - *it->second.heardAt < sStatusTimeout) {
            heard.push_back(member);
        }
    }
    std::vector<Tcp::endpoint> addresses = localDataCentreFirst(heard.empty() ? all : heard);
    if (!heard.empty()) {
        return addresses;
    }
    for (const Tcp::endpoint &seed : mSettings.seeds) {
        if (seed != mSettings.peers && std::ranges::find(addresses, seed) == addresses.end()) {
            addresses.push_back(seed);
        }
    }
    return addresses;
}

std::vector<Tcp::endpoint>
MemberService::localDataCentreFirst(std::span<const Member> members) const
{
    std::vector<std::string> keys;
    for (const Member &member : members) {
        keys.push_back(endpointText(member.peers));
    }
    std::vector<Tcp::endpoint> near;
    std::vector<Tcp::endpoint> far;
    for (const std::size_t index : rendezvousOrder(mKey, keys, keys.size())) {
        const bool isNear = members[index].dataCentre == mSettings.dataCentre;
        (isNear ? near : far).push_back(members[index].peers);
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

// Compares IP addresses only, since incoming connections come from arbitrary ports.
PeerLocation MemberService::locationOf(const Tcp::endpoint &remote) const
{
    bool isNear = false;
    bool isFar = false;
    for (const auto &[key, member] : mMembers) {
        if (member.peers.address() == remote.address()) {
            const bool isOwn = member.dataCentre == mSettings.dataCentre;
            (isOwn ? isNear : isFar) = true;
        }
    }
    if (isNear == isFar) {
        return PeerLocation::Unknown; // no member has this address, or both local and remote ones
    }
    return isNear ? PeerLocation::OwnDataCentre : PeerLocation::OtherDataCentre;
}

std::vector<GatewayAddress> MemberService::otherGateways() const
{
    std::vector<GatewayAddress> places;
    for (const auto &[key, member] : mMembers) {
        if (member.isGateway) {
            places.push_back(
                {member.callers, member.dataCentre, member.region, availabilityOf(key)});
        }
    }
    return places;
}

// This gateway follows only some of the others. The state of a followed gateway is known once
// it has sent a status message or could not be reached.
GatewayAvailability MemberService::availabilityOf(const std::string &key) const
{
    const auto state = mGatewayStates.find(key);
    if (state == mGatewayStates.end()) {
        return GatewayAvailability::Unmonitored;
    }
    return isUsable(state->second) ? GatewayAvailability::Healthy
                                   : GatewayAvailability::Unavailable;
}

// Calls to the store are charged, and every gateway would read each change. So one gateway reads
// the store for all. One gateway in each other data centre follows it, since the links between
// data centres are narrow, and the remaining ones follow the gateway of their data centre. A
// gateway that receives nothing, or only outdated records, reads the store itself.
FeedReaders MemberService::selectFeedReaders()
{
    updatePlan(); // a starting gateway gets here before the first check in followGateways()
    FeedReaders readers;
    if (mGlobalReaders.size() < sMinRelayingGateways) {
        return readers;
    }
    readers.isRelayed = true;
    readers.earlier = earlierReaders();
    const std::string &reader = selectReader(mGlobalReaders);
    const std::string &near = selectReader(mDataCentreReaders);
    const std::array planned{reader, near};
    readers.alternates = alternateSources(planned);
    readers.takeoverRank = takeoverRank(planned);
    readers.isReader = reader == mKey;
    if (readers.isReader) {
        return readers;
    }
    const std::string &followed = near == mKey ? reader : near;
    readers.others.push_back(mMembers.find(followed)->second.peers);
    return readers;
}

// The successors of the readers, nearby and global ones by turns: those are the first to read the
// store if the readers fail, and a failure that strikes a data centre spares the others.
std::vector<Tcp::endpoint>
MemberService::alternateSources(std::span<const std::string> planned) const
{
    const std::vector<std::string> near = successors(mDataCentreReaders, planned);
    const std::vector<std::string> global = successors(mGlobalReaders, planned);
    std::vector<Tcp::endpoint> sources;
    for (std::size_t index = 0; index < std::max(near.size(), global.size()); ++index) {
        for (const std::vector<std::string> *order : {&near, &global}) {
            if (index >= order->size() || (*order)[index] == mKey) {
                continue;
            }
            const Tcp::endpoint &address = mMembers.find((*order)[index])->second.peers;
            if (std::ranges::find(sources, address) == sources.end()) {
                sources.push_back(address);
            }
        }
    }
    return sources;
}

std::size_t MemberService::takeoverRank(std::span<const std::string> planned) const
{
    const std::vector<std::string> near = successors(mDataCentreReaders, planned);
    const std::vector<std::string> global = successors(mGlobalReaders, planned);
    const auto rankIn = [this](const std::vector<std::string> &order) {
        return static_cast<std::size_t>(std::ranges::find(order, mKey) - order.begin());
    };
    return std::min(rankIn(near), rankIn(global));
}

// The first gateways of @p order that may read the store, as far as this gateway knows, without
// those that are @p planned to do so now; last, those that the store has failed.
std::vector<std::string> MemberService::successors(std::span<const std::string> order,
                                                   std::span<const std::string> planned) const
{
    std::vector<std::string> keys;
    for (const bool mayHaveFailed : {false, true}) {
        for (const std::string &key : order) {
            const bool isKnown = std::ranges::find(planned, key) != planned.end()
                || std::ranges::find(keys, key) != keys.end();
            if (keys.size() < sMaxSuccessors && !isKnown && mayReadStore(key, mayHaveFailed)) {
                keys.push_back(key);
            }
        }
    }
    return keys;
}

bool MemberService::isUsable(const GatewayState &state)
{
    const bool isHeard = state.heardAt && now() - *state.heardAt < sStatusTimeout;
    return isHeard && state.isReady && !state.isLeaving;
}

std::uint32_t MemberService::gatewayCount() const
{
    std::uint32_t count = 1;
    for (const auto &[key, member] : mMembers) {
        count += member.isGateway && mayBeAlive(key) ? 1 : 0;
    }
    return count;
}

std::map<std::string, std::uint32_t, std::less<>> MemberService::gatewayCountByDataCentre() const
{
    std::map<std::string, std::uint32_t, std::less<>> counts{{mSettings.dataCentre, 1}};
    for (const auto &[key, member] : mMembers) {
        if (member.isGateway && mayBeAlive(key)) {
            ++counts[member.dataCentre];
        }
    }
    return counts;
}

bool MemberService::mayBeAlive(const std::string &key) const
{
    const auto it = mGatewayStates.find(key);
    const bool isSilent = it != mGatewayStates.end() && it->second.heardAt
        && now() - *it->second.heardAt > sPresumedAliveTimeout;
    return !isSilent;
}

bool MemberService::knowsOtherGateways() const
{
    return std::ranges::any_of(mMembers, [](const auto &item) { return item.second.isGateway; });
}

// Gateways that leave at the same time can't agree on an owner, as they have no records any more.
// The last one to leave may go on until another one starts: the others knew it when they left.
bool MemberService::isLastGateway() const
{
    return mWasLastGateway && !knowsOtherGateways();
}

KeyOwner MemberService::ownerOf(std::string_view key) const
{
    const GatewayState own = mStatusSource ? mStatusSource() : GatewayState();
    const bool isOwnUsable = mIsLeaving ? isLastGateway() : own.isReady && !own.isLeaving;
    std::uint64_t highestWeight = isOwnUsable ? rendezvousWeight(key, mKey) : 0;
    KeyOwner owner = isOwnUsable ? KeyOwner(OwnedHere{}) : KeyOwner(Unowned{});
    for (const auto &[member, candidate] : mMembers) {
        if (!candidate.isGateway || availabilityOf(member) == GatewayAvailability::Unavailable) {
            continue;
        }
        const std::uint64_t weight = rendezvousWeight(key, member);
        if (weight > highestWeight) {
            highestWeight = weight;
            owner = candidate.peers;
        }
    }
    return owner;
}

KeyOwner MemberService::recordedOwnerOf(std::string_view key) const
{
    const bool isOwnUsable = !mIsLeaving || isLastGateway();
    std::uint64_t highestWeight = isOwnUsable ? rendezvousWeight(key, mKey) : 0;
    KeyOwner owner = isOwnUsable ? KeyOwner(OwnedHere{}) : KeyOwner(Unowned{});
    for (const auto &[member, candidate] : mMembers) {
        const std::uint64_t weight = candidate.isGateway ? rendezvousWeight(key, member) : 0;
        if (weight > highestWeight) {
            highestWeight = weight;
            owner = candidate.peers;
        }
    }
    return owner;
}

bool MemberService::isUndisputedOwnerOf(std::string_view key) const
{
    const Instant time = now();
    const bool isInContact = isMajorityHeard() && time - mInContactAt < sMaxContactLoss;
    return std::holds_alternative<OwnedHere>(recordedOwnerOf(key)) && isInContact
        && time >= mMayOwnFrom;
}

// The time since the last check tells a process that stood still, too: after that it reads the
// messages which arrived meanwhile and would seem to hear all.
void MemberService::updateContact()
{
    if (!isMajorityHeard()) {
        return;
    }
    const Instant time = now();
    if (time - mInContactAt >= sMaxContactLoss) {
        mMayOwnFrom = time + sOwnershipDelay;
    }
    mInContactAt = time;
}

bool MemberService::isMajorityHeard() const
{
    std::size_t heard = 1;
    std::size_t silent = 0;
    for (const auto &[key, member] : mMembers) {
        if (member.isGateway) {
            const GatewayAvailability availability = availabilityOf(key);
            heard += availability == GatewayAvailability::Healthy ? 1 : 0;
            silent += availability == GatewayAvailability::Unavailable ? 1 : 0;
        }
    }
    return heard > silent;
}

void MemberService::noteChange()
{
    ++mStatusChangeCount;
    mStatusChanged->notify();
}

awaitable<void> MemberService::followGateways()
{
    while (!mStopped) {
        updatePlan();
        updateContact();
        for (const std::string &key : mGatewaysToFollow) {
            if (mFollowedGateways.insert(key).second) {
                asio::co_spawn(mStatusChanged->executor(), followGateway(key), asio::detached);
            }
        }
        co_await sleepFor(sFollowCheckInterval);
    }
}

awaitable<void> MemberService::followGateway(std::string key)
{
    while (!mStopped && mGatewaysToFollow.contains(key)) {
        const Tcp::endpoint address = mMembers[key].peers;
        const PeerStreamPtr stream = co_await mHub->open(address, std::string(sStatusPath));
        while (stream && !mStopped) {
            if (!mGatewaysToFollow.contains(key)) {
                stream->reset();
                break;
            }
            const auto deadline = std::chrono::steady_clock::now() + sStatusTimeout;
            const auto status = co_await stream->receiveMessage<wire::MemberStatus>(deadline);
            if (!status || !*status) {
                stream->reset();
                stream->connection()->close(); // a new connection detects failures sooner
                break;
            }
            GatewayState &state = mGatewayStates[key];
            const bool wasReady = state.isReady && !state.isLeaving;
            state.isReady = (*status)->ready();
            state.isLeaving = (*status)->leaving();
            state.incarnation = (*status)->incarnation();
            state.configVersion = (*status)->config_version();
            if (mConfigVersionListener) {
                mConfigVersionListener(state.configVersion);
            }
            state.hasStoreFailed = (*status)->store_failed();
            state.heardAt = now();
            state.isUnreachable = false;
            noteHeardFromDataCentre(key);
            const auto sender = mMembers.find(key);
            for (const StatusExtension &extension : mStatusExtensions) {
                if (sender != mMembers.end()) {
                    extension.apply(sender->second, **status);
                }
            }
            if (wasReady != (state.isReady && !state.isLeaving)) {
                logLine(LogLevel::Info, "gateway-state",
                        {{"member", key},
                         {"ready", state.isReady},
                         {"leaving", state.isLeaving},
                         {"incarnation", state.incarnation}});
            }
        }
        GatewayState &state = mGatewayStates[key];
        state.isUnreachable = true;
        if (state.isReady) {
            logLine(LogLevel::Warning, "gateway-lost", {{"member", key}});
            state.isReady = false;
        }
        co_await sleepFor(sReconnectDelay);
    }
    mGatewayStates.erase(key);
    mFollowedGateways.erase(key);
}

wire::MemberStatus MemberService::ownStatus() const
{
    const GatewayState state = mStatusSource ? mStatusSource() : GatewayState();
    wire::MemberStatus status;
    status.set_box(mSettings.box);
    status.set_incarnation(mIncarnation);
    status.set_ready(state.isReady);
    status.set_leaving(state.isLeaving);
    status.set_config_version(state.configVersion);
    status.set_store_failed(mFeeds->hasStoreFailed());
    return status;
}

std::vector<std::uint64_t> MemberService::extensionRevisions() const
{
    std::vector<std::uint64_t> revisions;
    for (const StatusExtension &extension : mStatusExtensions) {
        revisions.push_back(extension.revision ? extension.revision() : 0);
    }
    return revisions;
}

awaitable<void> MemberService::serveStatus(PeerStreamPtr stream)
{
    // A new follower receives the complete data.
    std::vector<std::uint64_t> sentRevisions(mStatusExtensions.size(), 0);
    while (stream->isOpen() && !mStopped) {
        wire::MemberStatus status = ownStatus();
        for (std::size_t index = 0; index < mStatusExtensions.size(); ++index) {
            sentRevisions[index] = mStatusExtensions[index].append(sentRevisions[index], status);
        }
        stream->send(status);
        const std::uint64_t statusChangeCount = mStatusChangeCount;
        const Instant nextStatusAt = now() + sStatusInterval;
        while (stream->isOpen() && statusChangeCount == mStatusChangeCount
               && sentRevisions == extensionRevisions() && now() < nextStatusAt && !mStopped) {
            co_await mStatusChanged->waitUntil(steadyTime(nextStatusAt));
        }
    }
}

} // namespace Loom
