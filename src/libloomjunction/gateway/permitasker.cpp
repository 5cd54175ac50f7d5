/*
 * permitasker.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "permitasker.h"

#include "memberservice.h"
#include "peerhub.h"
#include "permitservice.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// Several times the way between the farthest data centres and back. A request must not
// wait long for a process that is gone; there are other replicas.
constexpr std::chrono::milliseconds sAnswerTime{50};
// A connection that may have gone silent is not used again.
constexpr Milliseconds sStreamLost{400};
constexpr std::chrono::hours sNoDeadline{1};
constexpr Milliseconds sUnusedFor{10'000};
constexpr std::size_t sMostUnsent = 64;

} // namespace

PermitAsker::PermitAsker(Kernel &kernel)
    : mHub(kernel.find<PeerHub>(PeerHub::sName))
    , mMembers(kernel.find<MemberService>(MemberService::sName))
    , mOwn(kernel.find<PermitService>(PermitService::sName))
    , mExecutor(kernel.executor())
{
}

// The agent beside it, else its home gateway; nothing: this process.
std::optional<Tcp::endpoint> PermitAsker::keeperOf(const Replica &replica) const
{
    const auto agent = mMembers.agentFor(replica.record.address);
    return agent ? agent : mMembers.ownerOf(replica.record.incarnation());
}

// Who takes the replica over knows nothing of what was sent; it is told once.
wire::PermitQuery PermitAsker::queryFor(const Replica &replica, const std::string &keeper)
{
    const Instant time = now();
    const std::string incarnation = replica.record.incarnation();
    wire::PermitQuery query;
    *query.mutable_limit()
        = limitToTell({incarnation, replica.limit.perSecond(), replica.limit.heardAt(), {}}, time);
    query.set_address(replica.record.address);
    if (mToldTo[incarnation] == keeper) {
        return query;
    }
    mToldTo[incarnation] = keeper;
    for (const Instant sent : replica.recentSends) {
        if (time - sent < sSendWindow) {
            query.add_sent_age_us(static_cast<std::uint64_t>((time - sent).count()));
        }
    }
    return query;
}

void PermitAsker::tell(const Replica &replica)
{
    const auto keeper = keeperOf(replica);
    if (!keeper) {
        mOwn.answer(queryFor(replica, mMembers.key()));
        return;
    }
    send(*keeper, queryFor(replica, endpointText(*keeper)));
}

awaitable<std::optional<wire::PermitAnswer>> PermitAsker::ask(Replica replica)
{
    const auto keeper = keeperOf(replica);
    wire::PermitQuery query = queryFor(replica, keeper ? endpointText(*keeper) : mMembers.key());
    query.set_asks(true);
    if (!keeper) {
        co_return mOwn.answer(query);
    }
    const auto question = std::make_shared<Question>(mExecutor);
    question->incarnation = replica.record.incarnation();
    question->askedAt = now();
    Link &link = mLinks[endpointText(*keeper)];
    if (isLost(link, question->askedAt)) {
        dropConnection(link);
    }
    if (!send(*keeper, std::move(query))) {
        co_return std::nullopt;
    }
    link.open.push_back(question);
    const auto until = std::chrono::steady_clock::now() + sAnswerTime;
    while (!question->answer && !question->isOver && std::chrono::steady_clock::now() < until) {
        co_await question->answered.waitUntil(until);
    }
    co_return question->answer;
}

// Connections may go silent without a reset while new ones work.
bool PermitAsker::isLost(const Link &link, Instant now)
{
    return !link.open.empty() && now - link.open.front()->askedAt > sStreamLost;
}

bool PermitAsker::send(const Tcp::endpoint &keeper, wire::PermitQuery query)
{
    Link &link = mLinks[endpointText(keeper)];
    link.usedAt = now();
    if (link.stream && link.stream->isOpen()) {
        link.stream->send(query);
        return true;
    }
    if (link.unsent.size() >= sMostUnsent) {
        return false;
    }
    link.unsent.push_back(std::move(query));
    if (!link.isConnecting) {
        link.isConnecting = true;
        asio::co_spawn(mExecutor, connect(keeper), asio::detached);
    }
    return true;
}

awaitable<void> PermitAsker::connect(Tcp::endpoint keeper)
{
    const std::string key = endpointText(keeper);
    const PeerStreamPtr stream = co_await mHub.open(keeper, std::string(sPermitPath));
    Link &link = mLinks[key];
    link.isConnecting = false;
    if (!stream || mStopped) {
        endQuestions(link);
        co_return;
    }
    const std::deque<wire::PermitQuery> unsent = std::exchange(link.unsent, {});
    link.stream = stream;
    asio::co_spawn(mExecutor, receive(key, stream), asio::detached);
    for (const wire::PermitQuery &query : unsent) {
        stream->send(query);
    }
}

awaitable<void> PermitAsker::receive(std::string keeper, PeerStreamPtr stream)
{
    while (!mStopped) {
        const auto deadline = std::chrono::steady_clock::now() + sNoDeadline;
        auto answer = co_await stream->receiveMessage<wire::PermitAnswer>(deadline);
        Link &link = mLinks[keeper];
        if (!answer || !*answer || link.stream != stream || link.open.empty()) {
            break;
        }
        const QuestionPtr question = link.open.front();
        const bool isOther
            = (*answer)->has_limit() && (*answer)->limit().replica() != question->incarnation;
        if (isOther) {
            break;
        }
        link.open.pop_front();
        question->answer = std::move(**answer);
        question->answered.notify();
    }
    stream->reset();
    Link &link = mLinks[keeper];
    if (link.stream == stream) {
        link.stream.reset();
        endQuestions(link);
    }
}

// Nobody answers them any more.
void PermitAsker::endQuestions(Link &link)
{
    link.unsent.clear();
    for (const QuestionPtr &question : std::exchange(link.open, {})) {
        question->isOver = true;
        question->answered.notify();
    }
}

void PermitAsker::dropConnection(Link &link)
{
    endQuestions(link);
    if (link.stream) {
        link.stream->connection()->close();
        link.stream.reset();
    }
}

void PermitAsker::closeUnused()
{
    const Instant time = now();
    std::erase_if(mLinks, [&](const auto &item) {
        const Link &link = item.second;
        const bool isUnused = !link.isConnecting && time - link.usedAt > sUnusedFor;
        if (isUnused && link.stream) {
            link.stream->reset();
        }
        return isUnused;
    });
}

} // namespace Loom
