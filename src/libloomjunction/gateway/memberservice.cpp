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

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::string_view sStatusPath = "/gateway-status";
constexpr Milliseconds sStatusInterval{400};
// Three states missed: dead, cut off, or standing still.
constexpr Milliseconds sStatusTimeout{1'300};
constexpr std::chrono::milliseconds sReconnectDelay{300};
constexpr std::chrono::milliseconds sRecordRetryDelay{400};
constexpr std::chrono::milliseconds sFollowCheckInterval{200};
// A gateway that was not heard for longer than a retry window spends nothing of it.
constexpr Milliseconds sPresumedAliveTimeout{15'000};
// Longer than a restart takes, so that only boxes that stay away are forgotten.
constexpr Milliseconds sRemovalTimeout{5'000};
constexpr Milliseconds sRemovalStagger{500};
constexpr std::uint64_t sRemovalSlotCount = 8;
constexpr std::chrono::milliseconds sRemovalCheckInterval{500};
// So few gateways read the store for themselves.
constexpr std::size_t sMinRelayingGateways = 6;
// Whom a gateway that begins waits for: the next in turn, if the first is gone.
constexpr std::size_t sMaxEarlierReaders = 2;
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
    mFeeds = &kernel.find<FeedService>(FeedService::sName);
    mHub = &kernel.find<PeerHub>(PeerHub::sName);
    mStatusChanged = std::make_unique<Signal>(kernel.executor());
    mFeeds->listen(Feed::Members, [this](const FeedChange &change) { applyRecord(change); });
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
        const auto done = co_await mStore.put(mKey, value);
        mIsRecorded = done.has_value();
        if (mIsRecorded) {
            logLine(LogLevel::Info, "member-recorded",
                    {{"key", mKey}, {"incarnation", mIncarnation}});
            co_return;
        }
        co_await sleepFor(sRecordRetryDelay);
    }
}

awaitable<void> MemberService::leave()
{
    mIsLeaving = true;
    const auto done = co_await mStore.put(mKey, std::nullopt);
    logLine(done ? LogLevel::Info : LogLevel::Warning, "member-record-removed",
            {{"key", mKey}, {"done", done.has_value()}});
}

void MemberService::applyRecord(const FeedChange &change)
{
    const std::string &key = change.record.key;
    if (key.starts_with(sQuarantineKeys)) {
        return; // no member: see QuarantineService
    }
    if (key == mKey) {
        // A late append of an earlier life must not take this one's record away.
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
        const auto left = mMembers.find(key);
        const bool wasKnown = left != mMembers.end();
        if (wasKnown) {
            const auto agent = mStagerKeyByEngine.find(left->second.engine);
            if (agent != mStagerKeyByEngine.end() && agent->second == key) {
                mStagerKeyByEngine.erase(agent);
            }
            mMembers.erase(left);
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
    const bool isNewLife
        = known == mMembers.end() || known->second.incarnation != member->incarnation;
    if (isNewLife) {
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

// Works out anew what this gateway does for the others, if members came or went.
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
    std::set<std::string> watched = plan.agentsToWatch();
    watched.insert(mGatewaysToFollow.begin(), mGatewaysToFollow.end());
    std::erase_if(mMonitoredSince, [&](const auto &item) { return !watched.contains(item.first); });
    for (const std::string &key : watched) {
        mMonitoredSince.try_emplace(key, now());
    }
}

// The first in order that lives and reaches the store, as far as this gateway knows.
const std::string &MemberService::selectReader(std::span<const std::string> order) const
{
    for (const std::string &key : order) {
        if (key == mKey) {
            if (!mFeeds->hasStoreFailed()) {
                return mKey;
            }
            continue;
        }
        if (mMembers.contains(key) && mayReadStore(key)) {
            return key;
        }
    }
    return mKey;
}

// While this gateway begins it has heard of few, and those that begin with it cannot
// serve callers yet: one counts as living then unless it said or showed otherwise.
bool MemberService::mayReadStore(const std::string &key) const
{
    const auto found = mGatewayStates.find(key);
    const bool isBeginTime = mFeeds->isBeginTime();
    if (found == mGatewayStates.end()) {
        return isBeginTime;
    }
    const GatewayState &state = found->second;
    const bool mayLive = isBeginTime && !state.isUnreachable && !state.isLeaving;
    return (mayLive || isUsable(state)) && !state.hasStoreFailed;
}

// One that cannot be reached yet may only begin a moment later than this gateway.
std::vector<Tcp::endpoint> MemberService::earlierReaders() const
{
    std::vector<Tcp::endpoint> earlier;
    for (const std::string &key : mDataCentreReaders) {
        if (key == mKey || earlier.size() == sMaxEarlierReaders) {
            break;
        }
        const auto member = mMembers.find(key);
        const auto state = mGatewayStates.find(key);
        const bool saidNo = state != mGatewayStates.end()
            && (state->second.isLeaving || state->second.hasStoreFailed);
        if (member != mMembers.end() && !saidNo) {
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
    const auto watched = mMonitoredSince.find(key);
    if (watched == mMonitoredSince.end()) {
        return false;
    }
    Instant since = watched->second;
    if (const auto came = mFirstSeenAt.find(key); came != mFirstSeenAt.end()) {
        since = std::max(since, came->second);
    }
    if (const auto heard = lastHeard(key, member)) {
        since = std::max(since, *heard);
    }
    // One watcher after the other, so that mostly one writes.
    const auto turn = static_cast<std::int64_t>(rendezvousWeight(key, mKey) % sRemovalSlotCount);
    return mFailureDetector.isOverdue(member.dataCentre, since, now(),
                                      sRemovalTimeout + sRemovalStagger * turn);
}

// A box that is gone for good takes no record away. Members that it stays
// responsible for would wait for it; so a gateway removes it, if it hears most
// of the others. One that lives after all records itself anew.
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
        const bool isAlone = 2 * overdue.size() > mMonitoredSince.size();
        if (isAlone || !mFeeds->isStoreReached(Feed::Members)) {
            continue;
        }
        for (const std::string &key : overdue) {
            const auto done = co_await mStore.put(key, std::nullopt);
            logLine(LogLevel::Warning, "member-forgotten",
                    {{"member", key}, {"done", done.has_value()}});
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

// Links between data centres are shared by all boxes, so records are relayed
// within one where possible. Followers spread over the gateways there.
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

// By the machine alone: whoever connects to this process does so from any port.
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
        return PeerLocation::Unknown; // no member is there, or members of several
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

// Only some of all gateways are listened to; of one that is, a state is known
// once it has spoken or could not be reached.
GatewayAvailability MemberService::availabilityOf(const std::string &key) const
{
    const auto state = mGatewayStates.find(key);
    if (state == mGatewayStates.end()) {
        return GatewayAvailability::Unmonitored;
    }
    return isUsable(state->second) ? GatewayAvailability::Healthy
                                   : GatewayAvailability::Unavailable;
}

// Calls to the store have a price, and each change would be read by every
// gateway. So one of all reads it, one of each data centre follows that one, since
// the links between them are narrow, and the others follow the one near them.
// Whoever hears nothing from there, or only what is old, reads the store itself.
FeedReaders MemberService::selectFeedReaders()
{
    updatePlan(); // who begins asks before the next scan
    FeedReaders readers;
    if (mGlobalReaders.size() < sMinRelayingGateways) {
        return readers;
    }
    readers.isRelayed = true;
    readers.earlier = earlierReaders();
    const std::string &reader = selectReader(mGlobalReaders);
    readers.isReader = reader == mKey;
    if (readers.isReader) {
        return readers;
    }
    const std::string &near = selectReader(mDataCentreReaders);
    const std::string &followed = near == mKey ? reader : near;
    readers.others.push_back(mMembers.find(followed)->second.peers);
    return readers;
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
        if (!member.isGateway) {
            continue;
        }
        const auto it = mGatewayStates.find(key);
        const bool isSilent = it != mGatewayStates.end() && it->second.heardAt
            && now() - *it->second.heardAt > sPresumedAliveTimeout;
        count += isSilent ? 0 : 1;
    }
    return count;
}

std::optional<Tcp::endpoint> MemberService::ownerOf(std::string_view key) const
{
    const GatewayState own = mStatusSource ? mStatusSource() : GatewayState();
    const bool isOwnUsable = own.isReady && !own.isLeaving;
    std::uint64_t most = isOwnUsable ? rendezvousWeight(key, mKey) : 0;
    std::optional<Tcp::endpoint> home;
    for (const auto &[member, candidate] : mMembers) {
        if (!candidate.isGateway || availabilityOf(member) == GatewayAvailability::Unavailable) {
            continue;
        }
        const std::uint64_t weight = rendezvousWeight(key, member);
        if (weight > most) {
            most = weight;
            home = candidate.peers;
        }
    }
    return home;
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
                stream->connection()->close(); // silent: a new connection finds out sooner
                break;
            }
            GatewayState &state = mGatewayStates[key];
            const bool wasReady = state.isReady && !state.isLeaving;
            state.isReady = (*status)->ready();
            state.isLeaving = (*status)->leaving();
            state.incarnation = (*status)->incarnation();
            state.configVersion = (*status)->config_version();
            state.hasStoreFailed = (*status)->store_failed();
            state.heardAt = now();
            state.isUnreachable = false;
            noteHeardFromDataCentre(key);
            if (mStatusExtension.apply) {
                mStatusExtension.apply(**status);
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

awaitable<void> MemberService::serveStatus(PeerStreamPtr stream)
{
    std::uint64_t sentRevision = 0; // whoever follows anew is told all
    while (stream->isOpen() && !mStopped) {
        wire::MemberStatus status = ownStatus();
        sentRevision = mStatusExtension.append ? mStatusExtension.append(sentRevision, status) : 0;
        stream->send(status);
        const std::uint64_t seen = mStatusChangeCount;
        const Instant until = now() + sStatusInterval;
        while (stream->isOpen() && seen == mStatusChangeCount && sentRevision == extensionRevision()
               && now() < until && !mStopped) {
            co_await mStatusChanged->waitUntil(steadyTime(until));
        }
    }
}

} // namespace Loom
