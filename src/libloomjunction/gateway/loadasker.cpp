/*
 * loadasker.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "loadasker.h"

#include "clock.h"
#include "jsonlog.h"
#include "memberservice.h"
#include "metrics.h"
#include "peerhub.h"
#include "permitservice.h"
#include "wire.pb.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::string_view sLoadPath = "/replica-load";
// Longer than the way to the farthest data centre and back, with the agent's look
// at its engine: with some answers at hand, the others are not waited for.
constexpr Milliseconds sAskTime{15};
// Without any, others are asked then; answers that come late still count.
constexpr Milliseconds sAskMost{50};
// Others are asked for this long after a question that was answered late or not
// at all, twice as long after each further one; an answer ends it. A dead box costs
// one request in so many the wait above.
constexpr Milliseconds sSilentFor{150};
constexpr std::uint32_t sMostDoublings = 4;
// A connection that may have gone silent is not used again.
constexpr Milliseconds sStreamLost{400};
// Of a question that was answered at once; zero stands for none asked.
constexpr Microseconds sShortest{1};
constexpr Microseconds sUnasked{0};
constexpr std::chrono::hours sNoDeadline{1};
constexpr Milliseconds sUnusedFor{5'000};
constexpr double sPermille = 1'000;

ReplicaLoad loadOf(const wire::ReplicaLoadReport &told)
{
    ReplicaLoad load;
    load.running = told.running();
    load.waiting = told.waiting();
    load.waitingPatient = told.waiting_patient();
    load.memoryUsed = told.memory_used();
    load.memoryTotal = told.memory_total();
    load.pace = told.pace_permille() / sPermille;
    load.weightsVersion = told.weights_version();
    load.isAccepting = told.accepting();
    load.isLinkSlow = told.link_slow();
    load.includesInTransit = true;
    if (told.has_limit()) {
        load.limit = fromWireLimit(told.limit(), now());
        load.limit->wait = Microseconds(told.permit_wait_us());
    }
    return load;
}

} // namespace

LoadAsker::LoadAsker(Kernel &kernel, Metrics &metrics, Heard heard)
    : mHub(kernel.find<PeerHub>(PeerHub::sName))
    , mMembers(kernel.find<MemberService>(MemberService::sName))
    , mMetrics(metrics)
    , mHeard(std::move(heard))
    , mAnswered(kernel.executor())
{
}

bool LoadAsker::isSilent(const std::string &address) const
{
    const auto it = mLinks.find(address);
    return it != mLinks.end() && it->second.silentUntil > now();
}

Instant LoadAsker::heardAt(const std::string &address) const
{
    const auto it = mLinks.find(address);
    return it == mLinks.end() ? Instant() : it->second.heardAt;
}

void LoadAsker::keepWarm(const LoadQuestion &question)
{
    send(question, now());
}

// On the stream of the questions, so that the next answer counts it.
void LoadAsker::claim(const LoadQuestion &question)
{
    const auto it = mLinks.find(question.address);
    if (it == mLinks.end() || !it->second.stream || !it->second.stream->isOpen()) {
        return;
    }
    wire::LoadQuery query;
    query.set_claim(true);
    query.set_waiting_patient(question.patientWaiting);
    it->second.stream->send(query);
}

awaitable<void> LoadAsker::ask(std::vector<LoadQuestion> questions)
{
    const Instant began = now();
    for (const LoadQuestion &question : questions) {
        send(question, began);
    }
    mMetrics.count("load_questions", "asked", questions.size());
    const auto openQuestions = [&] {
        return std::ranges::count_if(questions, [&](const LoadQuestion &question) {
            return mLinks[question.address].heardAt < began;
        });
    };
    while (!mStopped) {
        const auto open = static_cast<std::size_t>(openQuestions());
        const bool hasSome = open < questions.size();
        const Instant until = began + (hasSome ? sAskTime : sAskMost);
        if (open == 0 || now() >= until) {
            break;
        }
        co_await mAnswered.waitUntil(steadyTime(until));
    }
    for (const LoadQuestion &question : questions) {
        if (mLinks[question.address].heardAt < began) {
            avoid(question.address, now());
        }
    }
}

void LoadAsker::avoid(const std::string &address, Instant now)
{
    Link &link = mLinks[address];
    if (link.silentUntil > now) {
        return;
    }
    link.silentUntil = now + sSilentFor * (1 << std::min(link.missed, sMostDoublings));
    ++link.missed;
}

void LoadAsker::send(const LoadQuestion &question, Instant now)
{
    Link &link = mLinks[question.address];
    if (link.askedAt != Instant() && now - link.askedAt > sStreamLost) {
        noteMissed(question.address, now);
    }
    link.usedAt = now;
    link.patientWaiting = question.patientWaiting;
    if (link.askedAt == Instant()) {
        link.askedAt = now;
    }
    if (link.stream && link.stream->isOpen()) {
        put(link, now);
        return;
    }
    link.hasQuestion = true;
    if (!link.isConnecting) {
        link.isConnecting = true;
        asio::co_spawn(mAnswered.executor(), connect(question.address), asio::detached);
    }
}

void LoadAsker::put(Link &link, Instant askedAt)
{
    wire::LoadQuery query;
    query.set_waiting_patient(link.patientWaiting);
    link.stream->send(query);
    link.open.push_back(askedAt);
}

// An agent answers the questions on a stream one by one, in their order.
Microseconds LoadAsker::answerTime(Link &link, Instant now)
{
    if (link.open.empty()) {
        return sUnasked;
    }
    const Microseconds roundTrip = now - link.open.front();
    link.open.pop_front();
    return std::max(roundTrip, sShortest);
}

awaitable<void> LoadAsker::connect(std::string address)
{
    const auto agent = mMembers.agentFor(address);
    PeerStreamPtr stream;
    if (agent) {
        stream = co_await mHub.open(*agent, std::string(sLoadPath));
    }
    Link &link = mLinks[address];
    link.isConnecting = false;
    if (!stream || mStopped) {
        noteMissed(address, now());
        co_return;
    }
    link.stream = stream;
    link.open.clear();
    asio::co_spawn(mAnswered.executor(), receive(address, stream), asio::detached);
    if (std::exchange(link.hasQuestion, false)) {
        put(link, now());
    }
}

awaitable<void> LoadAsker::receive(std::string address, PeerStreamPtr stream)
{
    while (!mStopped) {
        const auto deadline = std::chrono::steady_clock::now() + sNoDeadline;
        const auto report = co_await stream->receiveMessage<wire::ReplicaLoadReport>(deadline);
        if (!report || !*report) {
            break;
        }
        Link &link = mLinks[address];
        if (link.stream != stream) {
            break;
        }
        ReplicaLoad load = loadOf(**report);
        load.roundTrip = answerTime(link, now());
        link.heardAt = now();
        link.askedAt = Instant();
        link.silentUntil = Instant();
        link.missed = 0;
        mMembers.noteHeard((*report)->member());
        mHeard((*report)->address(), load);
        mAnswered.notify();
        // So late, or an earlier question had no answer and all times are too long.
        if (load.roundTrip > sStreamLost) {
            break;
        }
    }
    stream->reset();
    const auto it = mLinks.find(address);
    if (it != mLinks.end() && it->second.stream == stream) {
        it->second.stream.reset();
    }
}

void LoadAsker::noteMissed(const std::string &address, Instant now)
{
    mMetrics.count("load_questions", "unanswered");
    logLine(LogLevel::Info, "agent-silent",
            {{"replica", address}, {"missed", mLinks[address].missed}});
    avoid(address, now);
    dropStream(mLinks[address]);
}

// Connections may go silent without a reset while new ones work.
void LoadAsker::dropStream(Link &link)
{
    link.askedAt = Instant();
    link.hasQuestion = false;
    if (link.stream) {
        link.stream->connection()->close();
        link.stream.reset();
    }
}

void LoadAsker::closeUnused()
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
