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
constexpr Milliseconds sStatusEvery{400};
// Three states missed: dead, cut off, or standing still.
constexpr Milliseconds sStatusSilence{1'300};
constexpr std::chrono::milliseconds sRedialPause{300};
constexpr std::chrono::milliseconds sRecordRetry{400};
constexpr std::chrono::milliseconds sScanEvery{200};
// A gateway that was not heard for longer than a retry window spends nothing of it.
constexpr Milliseconds sMayBeAlive{15'000};
// Longer than a restart takes, so that only boxes that stay away are forgotten.
constexpr Milliseconds sForgetAfter{5'000};
constexpr Milliseconds sForgetTurn{500};
constexpr std::uint64_t sForgetTurns = 8;
constexpr std::chrono::milliseconds sForgetEvery{500};
// So few gateways read the store for themselves.
constexpr std::size_t sLeastRelayed = 6;
// Whom a gateway that begins waits for: the next in turn, if the first is gone.
constexpr std::size_t sMostEarlier = 2;
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

MemberService::MemberService(StorePort &store, const DirectSettings &settings,
                             std::uint64_t incarnation)
    : mStore(store)
    , mSettings(settings)
    , mKey(endpointText(settings.peers))
    , mIncarnation(incarnation)
    , mSilence(settings.dataCentre, sStatusSilence)
{
}

tl::expected<void, std::string> MemberService::start(Kernel &kernel)
{
    mFeeds = &kernel.find<FeedService>(FeedService::sName);
    mHub = &kernel.find<PeerHub>(PeerHub::sName);
    mChanged = std::make_unique<Signal>(kernel.executor());
    mFeeds->listen(Feed::Members, [this](const FeedChange &change) { take(change); });
    mFeeds->setPeers([this] { return gatewayAddresses(); });
    mHub->setPlaces([this](const Tcp::endpoint &remote) { return placeOf(remote); });
    asio::co_spawn(kernel.executor(), keepRecord(), asio::detached);
    if (mSettings.isGateway()) {
        mFeeds->setReaders([this] { return feedReaders(); });
        mHub->serve(std::string(sStatusPath),
                    [this](PeerStreamPtr stream) { return serveStatus(std::move(stream)); });
        asio::co_spawn(kernel.executor(), followGateways(), asio::detached);
        asio::co_spawn(kernel.executor(), forgetSilent(), asio::detached);
    }
    return {};
}

void MemberService::stop()
{
    mStopped = true;
    mChanged->notify();
}

std::string MemberService::ownValue() const
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

awaitable<void> MemberService::keepRecord()
{
    while (!mStopped && !mIsLeaving && !mIsRecorded) {
        const std::string value = ownValue();
        const auto done = co_await mStore.put(mKey, value);
        mIsRecorded = done.has_value();
        if (mIsRecorded) {
            logLine(LogLevel::Info, "member-recorded",
                    {{"key", mKey}, {"incarnation", mIncarnation}});
            co_return;
        }
        co_await sleepFor(sRecordRetry);
    }
}

awaitable<void> MemberService::leave()
{
    mIsLeaving = true;
    const auto done = co_await mStore.put(mKey, std::nullopt);
    logLine(done ? LogLevel::Info : LogLevel::Warning, "member-record-removed",
            {{"key", mKey}, {"done", done.has_value()}});
}

void MemberService::take(const FeedChange &change)
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
            asio::co_spawn(mChanged->executor(), keepRecord(), asio::detached);
        }
        return;
    }
    if (!change.record.value) {
        const auto left = mMembers.find(key);
        const bool wasKnown = left != mMembers.end();
        if (wasKnown) {
            const auto agent = mAgents.find(left->second.engine);
            if (agent != mAgents.end() && agent->second == key) {
                mAgents.erase(agent);
            }
            mMembers.erase(left);
            ++mMemberChanges;
        }
        mCameAt.erase(key);
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
        mCameAt[key] = now();
    }
    if (!member->engine.empty()) {
        mAgents[member->engine] = key;
    }
    mMembers[key] = *member;
    ++mMemberChanges;
}

std::optional<Tcp::endpoint> MemberService::agentOf(const std::string &engine) const
{
    const auto agent = mAgents.find(engine);
    if (agent == mAgents.end()) {
        return std::nullopt;
    }
    const auto member = mMembers.find(agent->second);
    return member == mMembers.end() ? std::nullopt : std::optional(member->second.peers);
}

std::vector<Member> MemberService::watchedStagers() const
{
    std::vector<Member> stagers;
    for (const auto &[key, since] : mWatched) {
        const auto member = mMembers.find(key);
        if (member != mMembers.end() && !member->second.isGateway) {
            stagers.push_back(member->second);
        }
    }
    return stagers;
}

// Works out anew what this gateway does for the others, if members came or went.
void MemberService::plan()
{
    if (mPlannedChanges == mMemberChanges) {
        return;
    }
    mPlannedChanges = mMemberChanges;
    std::vector<MemberLocation> places;
    for (const auto &[key, member] : mMembers) {
        places.push_back({key, member.dataCentre, member.isGateway});
    }
    const MemberPlan plan({mKey, mSettings.dataCentre, true}, places);
    mToFollow = plan.gatewaysToFollow();
    mReadersEverywhere = plan.readerOrder(ReaderScope::Global);
    mReadersNear = plan.readerOrder(ReaderScope::DataCentre);
    std::set<std::string> watched = plan.agentsToWatch();
    watched.insert(mToFollow.begin(), mToFollow.end());
    std::erase_if(mWatched, [&](const auto &item) { return !watched.contains(item.first); });
    for (const std::string &key : watched) {
        mWatched.try_emplace(key, now());
    }
}

// The first in order that lives and reaches the store, as far as this gateway knows.
const std::string &MemberService::firstReader(std::span<const std::string> order) const
{
    for (const std::string &key : order) {
        if (key == mKey) {
            if (!mFeeds->hasStoreFailed()) {
                return mKey;
            }
            continue;
        }
        if (mMembers.contains(key) && mayRead(key)) {
            return key;
        }
    }
    return mKey;
}

// While this gateway begins it has heard of few, and those that begin with it cannot
// serve callers yet: one counts as living then unless it said or showed otherwise.
bool MemberService::mayRead(const std::string &key) const
{
    const auto found = mStates.find(key);
    const bool isInStartup = mFeeds->isInStartup();
    if (found == mStates.end()) {
        return isInStartup;
    }
    const GatewayState &state = found->second;
    const bool mayLive = isInStartup && !state.isLost && !state.isLeaving;
    return (mayLive || isUsable(state)) && !state.hasStoreFailed;
}

// One that cannot be reached yet may only begin a moment later than this gateway.
std::vector<Tcp::endpoint> MemberService::earlierReaders() const
{
    std::vector<Tcp::endpoint> earlier;
    for (const std::string &key : mReadersNear) {
        if (key == mKey || earlier.size() == sMostEarlier) {
            break;
        }
        const auto member = mMembers.find(key);
        const auto state = mStates.find(key);
        const bool saidNo
            = state != mStates.end() && (state->second.isLeaving || state->second.hasStoreFailed);
        if (member != mMembers.end() && !saidNo) {
            earlier.push_back(member->second.peers);
        }
    }
    return earlier;
}

std::optional<Instant> MemberService::lastHeard(const std::string &key, const Member &member) const
{
    if (!member.isGateway) {
        const auto it = mHeard.find(key);
        return it == mHeard.end() ? std::nullopt : std::optional(it->second);
    }
    const auto it = mStates.find(key);
    return it == mStates.end() ? std::nullopt : it->second.heardAt;
}

void MemberService::noteHeard(const std::string &key)
{
    mHeard[key] = now();
    noteHeardFrom(key);
}

void MemberService::noteHeardFrom(const std::string &key)
{
    if (const auto member = mMembers.find(key); member != mMembers.end()) {
        mSilence.noteHeard(member->second.dataCentre, now());
    }
}

bool MemberService::isOverdue(const std::string &key, const Member &member) const
{
    const auto watched = mWatched.find(key);
    if (watched == mWatched.end()) {
        return false;
    }
    Instant since = watched->second;
    if (const auto came = mCameAt.find(key); came != mCameAt.end()) {
        since = std::max(since, came->second);
    }
    if (const auto heard = lastHeard(key, member)) {
        since = std::max(since, *heard);
    }
    // One watcher after the other, so that mostly one writes.
    const auto turn = static_cast<std::int64_t>(rendezvousWeight(key, mKey) % sForgetTurns);
    return mSilence.isOverdue(member.dataCentre, since, now(), sForgetAfter + sForgetTurn * turn);
}

// A box that is gone for good takes no record away. Members that it stays
// responsible for would wait for it; so a gateway removes it, if it hears most
// of the others. One that lives after all records itself anew.
awaitable<void> MemberService::forgetSilent()
{
    while (!mStopped && !mIsLeaving) {
        co_await sleepFor(sForgetEvery);
        std::vector<std::string> overdue;
        for (const auto &[key, member] : mMembers) {
            if (isOverdue(key, member)) {
                overdue.push_back(key);
            }
        }
        const bool isAlone = 2 * overdue.size() > mWatched.size();
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

std::vector<Member> MemberService::stagersOf(std::string_view service) const
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
std::vector<Tcp::endpoint> MemberService::gatewayAddresses() const
{
    std::vector<Member> heard;
    std::vector<Member> all;
    for (const auto &[key, member] : mMembers) {
        if (!member.isGateway) {
            continue;
        }
        all.push_back(member);
        const auto it = mStates.find(key);
        if (it != mStates.end() && it->second.heardAt
            && now() - *it->second.heardAt < sStatusSilence) {
            heard.push_back(member);
        }
    }
    std::vector<Tcp::endpoint> addresses = nearFirst(heard.empty() ? all : heard);
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

std::vector<Tcp::endpoint> MemberService::nearFirst(std::span<const Member> members) const
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
PeerPlace MemberService::placeOf(const Tcp::endpoint &remote) const
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
        return PeerPlace::Unknown; // no member is there, or members of several
    }
    return isNear ? PeerPlace::OwnDataCentre : PeerPlace::OtherDataCentre;
}

std::vector<GatewayAddress> MemberService::addressPlaces() const
{
    std::vector<GatewayAddress> places;
    for (const auto &[key, member] : mMembers) {
        if (member.isGateway) {
            places.push_back({member.callers, member.dataCentre, member.region, standingOf(key)});
        }
    }
    return places;
}

// Only some of all gateways are listened to; of one that is, a state is known
// once it has spoken or could not be reached.
GatewayAvailability MemberService::standingOf(const std::string &key) const
{
    const auto state = mStates.find(key);
    if (state == mStates.end()) {
        return GatewayAvailability::Unmonitored;
    }
    return isUsable(state->second) ? GatewayAvailability::Healthy
                                   : GatewayAvailability::Unavailable;
}

// Calls to the store have a price, and each change would be read by every
// gateway. So one of all reads it, one of each data centre follows that one, since
// the links between them are narrow, and the others follow the one near them.
// Whoever hears nothing from there, or only what is old, reads the store itself.
FeedReaders MemberService::feedReaders()
{
    plan(); // who begins asks before the next scan
    FeedReaders readers;
    if (mReadersEverywhere.size() < sLeastRelayed) {
        return readers;
    }
    readers.isRelayed = true;
    readers.earlier = earlierReaders();
    const std::string &reader = firstReader(mReadersEverywhere);
    readers.isReader = reader == mKey;
    if (readers.isReader) {
        return readers;
    }
    const std::string &near = firstReader(mReadersNear);
    const std::string &followed = near == mKey ? reader : near;
    readers.others.push_back(mMembers.find(followed)->second.peers);
    return readers;
}

bool MemberService::isUsable(const GatewayState &state)
{
    const bool isHeard = state.heardAt && now() - *state.heardAt < sStatusSilence;
    return isHeard && state.isReady && !state.isLeaving;
}

std::uint32_t MemberService::gatewayCount() const
{
    std::uint32_t count = 1;
    for (const auto &[key, member] : mMembers) {
        if (!member.isGateway) {
            continue;
        }
        const auto it = mStates.find(key);
        const bool isSilent = it != mStates.end() && it->second.heardAt
            && now() - *it->second.heardAt > sMayBeAlive;
        count += isSilent ? 0 : 1;
    }
    return count;
}

std::optional<Tcp::endpoint> MemberService::homeOf(std::string_view key) const
{
    const GatewayState own = mStatus ? mStatus() : GatewayState();
    const bool isOwnUsable = own.isReady && !own.isLeaving;
    std::uint64_t most = isOwnUsable ? rendezvousWeight(key, mKey) : 0;
    std::optional<Tcp::endpoint> home;
    for (const auto &[member, told] : mMembers) {
        if (!told.isGateway || standingOf(member) == GatewayAvailability::Unavailable) {
            continue;
        }
        const std::uint64_t weight = rendezvousWeight(key, member);
        if (weight > most) {
            most = weight;
            home = told.peers;
        }
    }
    return home;
}

void MemberService::noteChange()
{
    ++mStatusChanges;
    mChanged->notify();
}

awaitable<void> MemberService::followGateways()
{
    while (!mStopped) {
        plan();
        for (const std::string &key : mToFollow) {
            if (mFollowed.insert(key).second) {
                asio::co_spawn(mChanged->executor(), followGateway(key), asio::detached);
            }
        }
        co_await sleepFor(sScanEvery);
    }
}

awaitable<void> MemberService::followGateway(std::string key)
{
    while (!mStopped && mToFollow.contains(key)) {
        const Tcp::endpoint address = mMembers[key].peers;
        const PeerStreamPtr stream = co_await mHub->open(address, std::string(sStatusPath));
        while (stream && !mStopped) {
            if (!mToFollow.contains(key)) {
                stream->reset();
                break;
            }
            const auto deadline = std::chrono::steady_clock::now() + sStatusSilence;
            const auto status = co_await stream->receiveMessage<wire::MemberStatus>(deadline);
            if (!status || !*status) {
                stream->reset();
                stream->connection()->close(); // silent: a new connection finds out sooner
                break;
            }
            GatewayState &state = mStates[key];
            const bool wasReady = state.isReady && !state.isLeaving;
            state.isReady = (*status)->ready();
            state.isLeaving = (*status)->leaving();
            state.incarnation = (*status)->incarnation();
            state.configVersion = (*status)->config_version();
            state.hasStoreFailed = (*status)->store_failed();
            state.heardAt = now();
            state.isLost = false;
            noteHeardFrom(key);
            if (mNews.take) {
                mNews.take(**status);
            }
            if (wasReady != (state.isReady && !state.isLeaving)) {
                logLine(LogLevel::Info, "gateway-state",
                        {{"member", key},
                         {"ready", state.isReady},
                         {"leaving", state.isLeaving},
                         {"incarnation", state.incarnation}});
            }
        }
        GatewayState &state = mStates[key];
        state.isLost = true;
        if (state.isReady) {
            logLine(LogLevel::Warning, "gateway-lost", {{"member", key}});
            state.isReady = false;
        }
        co_await sleepFor(sRedialPause);
    }
    mStates.erase(key);
    mFollowed.erase(key);
}

wire::MemberStatus MemberService::ownStatus() const
{
    const GatewayState state = mStatus ? mStatus() : GatewayState();
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
    std::uint64_t toldNews = 0; // whoever follows anew is told all
    while (stream->isOpen() && !mStopped) {
        wire::MemberStatus status = ownStatus();
        toldNews = mNews.put ? mNews.put(toldNews, status) : 0;
        stream->send(status);
        const std::uint64_t seen = mStatusChanges;
        const Instant until = now() + sStatusEvery;
        while (stream->isOpen() && seen == mStatusChanges && toldNews == newsChanges()
               && now() < until && !mStopped) {
            co_await mChanged->waitUntil(steadyTime(until));
        }
    }
}

} // namespace Loom
