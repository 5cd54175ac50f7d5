/*
 * linkservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "linkservice.h"

#include "clock.h"
#include "configservice.h"
#include "jsonlog.h"
#include "listservice.h"
#include "platformservice.h"
#include "rendezvous.h"
#include "watchsession.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::chrono::milliseconds sConnectTimeout{1'000};
constexpr std::chrono::milliseconds sRetry{300};
// An agent speaks every second; a link this silent is dropped and made anew.
constexpr std::chrono::milliseconds sAgentSilence{5'000};
constexpr std::chrono::hours sEntrySilence{24};
// A draining entry repeats itself; its mark fades when it has stopped.
constexpr std::chrono::seconds sAnnounceEvery{5};
constexpr std::chrono::seconds sDrainingKept{20};
// Other entries that one entry exchanges configuration with.
constexpr std::size_t sEntryPeers = 3;

} // namespace

tl::expected<void, std::string> LinkService::start(Kernel &kernel)
{
    mPlatform = &kernel.find<PlatformService>(PlatformService::sName);
    mConfig = &kernel.find<ConfigService>(ConfigService::sName);
    mList = &kernel.find<ListService>(ListService::sName);
    mExecutor = kernel.executor();
    mUpstreams.setPolicy(std::get<EntrySettings>(mPlatform->settings().role).routing);
    mList->addListener([this] { takeList(); });
    mServer = std::make_unique<PeerServer>(
        mExecutor, [this](PeerStreamPtr stream) { return servePeer(std::move(stream)); });
    return mServer->listen(mPlatform->settings().peers);
}

void LinkService::stop()
{
    mStopped = true;
    mServer->stopListening();
    for (const auto &[box, link] : mLinks) {
        link->wanted = false;
        if (link->connection) {
            link->connection->goAway();
        }
    }
}

std::vector<std::string> LinkService::linkedEntries(const ListedBox &agent,
                                                    std::span<const std::string> entries) const
{
    const std::size_t most = std::get<EntrySettings>(mPlatform->settings().role).linksPerAgent;
    std::vector<std::string> linked;
    for (const std::size_t index : rendezvousOrder(agent.box, entries, most)) {
        linked.push_back(entries[index]);
    }
    return linked;
}

void LinkService::takeList()
{
    std::vector<std::string> wanted;
    std::vector<std::string> otherEntries;
    std::vector<std::string> entries;
    for (const ListedBox &entry : mList->entries()) {
        entries.push_back(entry.box);
    }
    mServiceEntries.clear();
    for (const ListedBox &box : mList->boxes()) {
        if (box.isEntry) {
            if (box.box != mPlatform->box()) {
                otherEntries.push_back(box.box);
            }
            continue;
        }
        const std::vector<std::string> linked = linkedEntries(box, entries);
        mServiceEntries[box.service].insert(linked.begin(), linked.end());
        if (std::ranges::find(linked, mPlatform->box()) != linked.end()) {
            wanted.push_back(box.box);
            mUpstreams.updateListed(box.box, box.dataCentre, box.service, box.isLeaving);
            ensureLink(box);
        }
    }
    for (const std::size_t index :
         rendezvousOrder(mPlatform->box() + "/config", otherEntries, sEntryPeers)) {
        wanted.push_back(otherEntries[index]);
        ensureLink(*mList->find(otherEntries[index]));
    }
    for (auto it = mLinks.begin(); it != mLinks.end();) {
        const bool stays = std::ranges::find(wanted, it->first) != wanted.end();
        if (stays) {
            ++it;
            continue;
        }
        it->second->wanted = false;
        if (it->second->connection) {
            it->second->connection->close();
        }
        mUpstreams.remove(it->first);
        mAgents.erase(it->first);
        it = mLinks.erase(it);
    }
}

void LinkService::ensureLink(const ListedBox &box)
{
    LinkPtr &link = mLinks[box.box];
    if (link && link->endpoint == box.peers) {
        return;
    }
    if (link) {
        link->wanted = false;
        if (link->connection) {
            link->connection->close();
        }
    }
    link = std::make_shared<Link>();
    link->endpoint = box.peers;
    link->isAgent = !box.isEntry;
    asio::co_spawn(mExecutor, keep(*this, box.box, link), asio::detached);
}

awaitable<void> LinkService::keep(LinkService &self, std::string box, LinkPtr link)
{
    while (link->wanted && !self.mStopped) {
        co_await self.watch(box, link);
        if (link->isAgent && link->wanted) {
            self.mUpstreams.disconnected(box);
        }
        co_await sleepFor(sRetry);
    }
}

awaitable<void> LinkService::watch(const std::string &box, const LinkPtr &link)
{
    auto connected = co_await PeerConnection::connect(link->endpoint, sConnectTimeout);
    if (!connected || !link->wanted) {
        co_return;
    }
    link->connection = *connected;
    const PeerStreamPtr stream = (*connected)->open("/watch");
    if (!stream) {
        co_return;
    }
    WatchSession::Callbacks callbacks;
    callbacks.onAgentStatus
        = [this, box](const wire::AgentStatus &status) { takeAgentStatus(box, status); };
    callbacks.onEntryStatus = [this](const wire::EntryStatus &status) { takeEntryStatus(status); };
    if (link->isAgent) {
        callbacks.onAck = [this, box](std::uint64_t offset) { mAgents[box].configOffset = offset; };
    }
    link->session
        = std::make_shared<WatchSession>(*mPlatform, *mConfig, stream, std::move(callbacks));
    co_await link->session->run(link->isAgent ? std::chrono::milliseconds(sAgentSilence)
                                              : std::chrono::milliseconds(sEntrySilence));
    link->session.reset();
    // Not closed at once: answers to calls under way may still come on it.
    (*connected)->goAway();
    logLine(LogLevel::Debug, "link-down", {{"peer", box}});
}

void LinkService::takeAgentStatus(const std::string &box, const wire::AgentStatus &status)
{
    UpstreamReport report;
    report.incarnation = status.incarnation();
    report.versions = {status.loaded_versions().begin(), status.loaded_versions().end()};
    report.inFlight = status.in_flight();
    report.capacity = status.capacity();
    report.isLeaving = status.leaving();
    report.isUpstreamAlive = status.upstream_alive();
    mUpstreams.report(box, report, now());
    mAgents[box].status = status;
}

awaitable<void> LinkService::servePeer(PeerStreamPtr stream)
{
    if (stream->path() != "/watch") {
        mPlatform->metrics().count("unknown_streams");
        stream->reset();
        co_return;
    }
    WatchSession::Callbacks callbacks;
    callbacks.onEntryStatus = [this](const wire::EntryStatus &status) { takeEntryStatus(status); };
    auto session
        = std::make_shared<WatchSession>(*mPlatform, *mConfig, stream, std::move(callbacks));
    std::erase_if(mServed, [](const auto &weak) { return weak.expired(); });
    mServed.push_back(session);
    co_await session->run(sEntrySilence);
}

PeerConnectionPtr LinkService::connection(std::string_view box) const
{
    const auto it = mLinks.find(box);
    if (it == mLinks.end() || !it->second->connection || !it->second->connection->isOpen()) {
        return nullptr;
    }
    return it->second->connection;
}

void LinkService::doubt(std::string_view box)
{
    const auto it = mLinks.find(box);
    if (it == mLinks.end() || !it->second->session) {
        return;
    }
    logLine(LogLevel::Warning, "link-doubted", {{"peer", box}});
    it->second->connection.reset();
    it->second->session->end();
}

awaitable<PeerConnectionPtr> LinkService::freshConnection(std::string box,
                                                          std::chrono::milliseconds timeout)
{
    const auto it = mLinks.find(box);
    if (it == mLinks.end()) {
        co_return nullptr;
    }
    auto connected = co_await PeerConnection::connect(it->second->endpoint, timeout);
    co_return connected ? *connected : nullptr;
}

bool LinkService::isDraining(std::string_view entry) const
{
    const auto it = mDrainingEntries.find(entry);
    return it != mDrainingEntries.end() && now() - it->second.heard < sDrainingKept;
}

void LinkService::announceDraining()
{
    asio::co_spawn(mExecutor, repeatDraining(*this), asio::detached);
}

awaitable<void> LinkService::repeatDraining(LinkService &self)
{
    // Starting from the time, a box that drains again in a later life is heard anew.
    self.mLastAnnouncement = static_cast<std::uint64_t>(wallNow().count());
    while (!self.mStopped) {
        wire::EntryStatus status;
        status.set_draining_box(self.mPlatform->box());
        status.set_announcement(++self.mLastAnnouncement);
        self.relay(status);
        co_await sleepFor(sAnnounceEvery);
    }
}

void LinkService::takeEntryStatus(const wire::EntryStatus &status)
{
    Draining &known = mDrainingEntries[status.draining_box()];
    const bool isNews = status.announcement() > known.announcement;
    if (!isNews) {
        return;
    }
    known.announcement = status.announcement();
    known.heard = now();
    relay(status);
}

void LinkService::relay(const wire::EntryStatus &status)
{
    wire::WatchFrame frame;
    *frame.mutable_entry_status() = status;
    for (const auto &[box, link] : mLinks) {
        if (!link->isAgent && link->session) {
            link->session->send(frame);
        }
    }
    for (const auto &weak : mServed) {
        if (const auto session = weak.lock()) {
            session->send(frame);
        }
    }
}

std::vector<ListedBox> LinkService::entriesFor(std::string_view service) const
{
    std::vector<ListedBox> entries = mList->entries();
    const auto it = mServiceEntries.find(service);
    if (it == mServiceEntries.end()) {
        return entries;
    }
    std::vector<ListedBox> found;
    std::ranges::copy_if(entries, std::back_inserter(found), [&](const ListedBox &entry) {
        return it->second.contains(entry.box) && !isDraining(entry.box);
    });
    return found.empty() ? entries : found;
}

} // namespace Loom
