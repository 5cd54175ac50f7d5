/*
 * permitclient.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "permitclient.h"

#include "peerhub.h"
#include "permitservice.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// Several times the round trip between the farthest data centres. A request must not wait
// long for a process that has ended, because other replicas can take the request.
constexpr std::chrono::milliseconds sAnswerTimeout{50};
// A connection is not used again if a query on it has had no answer for this long, because
// it may have been lost without a reset.
constexpr Milliseconds sUnresponsiveTimeout{400};
// Answers arrive only after queries, so the read has no timeout to speak of; closeUnused()
// and isUnresponsive() detect idle and lost connections.
constexpr std::chrono::hours sReceiveTimeout{1};
constexpr Milliseconds sIdleTimeout{10'000};
constexpr std::size_t sMaxUnsentCount = 64;

} // namespace

PermitClient::PermitClient(Kernel &kernel)
    : mHub(kernel.find<PeerHub>(PeerHub::sName))
    , mMembers(kernel.find<MemberService>(MemberService::sName))
    , mLocalService(kernel.find<PermitService>(PermitService::sName))
    , mExecutor(kernel.executor())
{
}

// The agent of the replica, or its home gateway if no agent is known.
KeyOwner PermitClient::permitOwnerOf(const Replica &replica) const
{
    if (const auto agent = mMembers.agentFor(replica.record.address)) {
        return *agent;
    }
    const std::string incarnation = replica.record.incarnation();
    return replica.isCold(now()) ? mMembers.recordedOwnerOf(incarnation)
                                 : mMembers.ownerOf(incarnation);
}

// A process that takes over a replica does not know the earlier sends, so the first query to
// it lists them.
wire::PermitQuery PermitClient::queryFor(const Replica &replica, const std::string &owner)
{
    const Instant time = now();
    const std::string incarnation = replica.record.incarnation();
    wire::PermitQuery query;
    *query.mutable_limit()
        = toWireLimit({incarnation, replica.limit.perSecond(), replica.limit.heardAt(), {}}, time);
    query.set_address(replica.record.address);
    if (replica.isCold(time)) {
        query.set_cold_per_second(replica.cold.perSecond);
        query.set_cold_left_us(static_cast<std::uint64_t>((replica.cold.until - time).count()));
    }
    if (mSendsReportedTo[incarnation] == owner) {
        return query;
    }
    mSendsReportedTo[incarnation] = owner;
    for (const Instant sent : replica.recentSends) {
        if (time - sent < sSendWindow) {
            query.add_sent_age_us(static_cast<std::uint64_t>((time - sent).count()));
        }
    }
    return query;
}

void PermitClient::reportLimit(const Replica &replica)
{
    const KeyOwner owner = permitOwnerOf(replica);
    if (std::holds_alternative<OwnedHere>(owner)) {
        mLocalService.answer(queryFor(replica, mMembers.key()));
    } else if (const auto *address = std::get_if<Tcp::endpoint>(&owner)) {
        send(*address, queryFor(replica, endpointText(*address)));
    }
}

awaitable<std::optional<wire::PermitAnswer>> PermitClient::ask(Replica replica)
{
    const KeyOwner owner = permitOwnerOf(replica);
    if (std::holds_alternative<OwnedHere>(owner)) {
        wire::PermitQuery query = queryFor(replica, mMembers.key());
        query.set_asks(true);
        co_return mLocalService.answer(query);
    }
    const auto *address = std::get_if<Tcp::endpoint>(&owner);
    if (address == nullptr) {
        co_return std::nullopt;
    }
    const std::string key = endpointText(*address);
    wire::PermitQuery query = queryFor(replica, key);
    query.set_asks(true);
    const auto request = std::make_shared<PendingRequest>(mExecutor);
    request->incarnation = replica.record.incarnation();
    request->sentAt = now();
    Link &link = mLinks[key];
    if (isUnresponsive(link, request->sentAt)) {
        dropConnection(link);
    }
    if (!send(*address, std::move(query))) {
        co_return std::nullopt;
    }
    link.pending.push_back(request);
    const auto deadline = std::chrono::steady_clock::now() + sAnswerTimeout;
    while (!request->answer && !request->isCancelled
           && std::chrono::steady_clock::now() < deadline) {
        co_await request->answered.waitUntil(deadline);
    }
    co_return request->answer;
}

// Connections can be lost without a reset while new ones work.
bool PermitClient::isUnresponsive(const Link &link, Instant now)
{
    return !link.pending.empty() && now - link.pending.front()->sentAt > sUnresponsiveTimeout;
}

bool PermitClient::send(const Tcp::endpoint &owner, wire::PermitQuery query)
{
    Link &link = mLinks[endpointText(owner)];
    link.lastUsedAt = now();
    if (link.stream && link.stream->isOpen()) {
        link.stream->send(query);
        return true;
    }
    if (link.unsent.size() >= sMaxUnsentCount) {
        return false;
    }
    link.unsent.push_back(std::move(query));
    if (!link.isConnecting) {
        link.isConnecting = true;
        asio::co_spawn(mExecutor, connect(owner), asio::detached);
    }
    return true;
}

awaitable<void> PermitClient::connect(Tcp::endpoint owner)
{
    const std::string key = endpointText(owner);
    const PeerStreamPtr stream = co_await mHub.open(owner, std::string(sPermitPath));
    Link &link = mLinks[key];
    link.isConnecting = false;
    if (!stream || mStopped) {
        cancelPending(link);
        co_return;
    }
    const std::deque<wire::PermitQuery> unsent = std::exchange(link.unsent, {});
    link.stream = stream;
    asio::co_spawn(mExecutor, receive(key, stream), asio::detached);
    for (const wire::PermitQuery &query : unsent) {
        stream->send(query);
    }
}

awaitable<void> PermitClient::receive(std::string owner, PeerStreamPtr stream)
{
    while (!mStopped) {
        const auto deadline = std::chrono::steady_clock::now() + sReceiveTimeout;
        auto answer = co_await stream->receiveMessage<wire::PermitAnswer>(deadline);
        Link &link = mLinks[owner];
        if (!answer || !*answer || link.stream != stream || link.pending.empty()) {
            break;
        }
        const PendingRequestPtr request = link.pending.front();
        const bool isWrongReplica
            = (*answer)->has_limit() && (*answer)->limit().replica() != request->incarnation;
        if (isWrongReplica) {
            break;
        }
        link.pending.pop_front();
        request->answer = std::move(**answer);
        request->answered.notify();
    }
    stream->reset();
    Link &link = mLinks[owner];
    if (link.stream == stream) {
        link.stream.reset();
        cancelPending(link);
    }
}

// The requests of a lost connection are not answered any more.
void PermitClient::cancelPending(Link &link)
{
    link.unsent.clear();
    for (const PendingRequestPtr &request : std::exchange(link.pending, {})) {
        request->isCancelled = true;
        request->answered.notify();
    }
}

void PermitClient::dropConnection(Link &link)
{
    cancelPending(link);
    if (link.stream) {
        link.stream->connection()->close();
        link.stream.reset();
    }
}

void PermitClient::closeUnused()
{
    const Instant time = now();
    std::erase_if(mLinks, [&](const auto &item) {
        const Link &link = item.second;
        const bool isUnused = !link.isConnecting && time - link.lastUsedAt > sIdleTimeout;
        if (isUnused && link.stream) {
            link.stream->reset();
        }
        return isUnused;
    });
}

} // namespace Loom
