/*
 * permitservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "permitservice.h"

#include "clock.h"
#include "memberservice.h"
#include "peerhub.h"
#include "wire.pb.h"

#include <algorithm>

namespace Loom {

namespace {

// Gateways end a stream sooner that they do not use.
constexpr std::chrono::seconds sGatewaySilence{30};
// Nobody asked for a replica's permits that long: its life or its need is over.
constexpr Milliseconds sKept{60'000};
// Of a gateway's own sends before it asked; more say no more.
constexpr int sMostSentBefore = 256;
// Whoever asks the wrong process learns of the members within about this time.
constexpr Milliseconds sNotHere{200};

Instant before(Instant now, std::uint64_t microseconds)
{
    constexpr std::uint64_t most = std::chrono::duration_cast<Microseconds>(sKept).count();
    return now - Microseconds(static_cast<std::int64_t>(std::min(microseconds, most)));
}

} // namespace

wire::ReplicaLimit limitToTell(const ReportedLimit &limit, Instant now)
{
    wire::ReplicaLimit told;
    told.set_replica(limit.incarnation);
    if (limit.perSecond) {
        told.set_per_second(*limit.perSecond);
    }
    const Microseconds age = std::max(Microseconds(0), now - limit.heardAt);
    told.set_age_us(static_cast<std::uint64_t>(age.count()));
    return told;
}

ReportedLimit limitTold(const wire::ReplicaLimit &limit, Instant now)
{
    ReportedLimit told;
    told.incarnation = limit.replica();
    told.heardAt = before(now, limit.age_us());
    if (limit.has_per_second() && limit.per_second() >= 0) {
        told.perSecond = limit.per_second();
    }
    return told;
}

tl::expected<void, std::string> PermitService::start(Kernel &kernel)
{
    mMembers = &kernel.find<MemberService>(MemberService::sName);
    kernel.find<PeerHub>(PeerHub::sName)
        .serve(std::string(sPermitPath),
               [this](PeerStreamPtr stream) { return serve(std::move(stream)); });
    return {};
}

bool PermitService::handsOutFor(const wire::PermitQuery &query) const
{
    if (!mReplica.empty()) {
        return query.address() == mReplica;
    }
    return !mMembers->agentFor(query.address()) && !mMembers->ownerOf(query.limit().replica());
}

PermitService::Entry &PermitService::entryOf(const std::string &incarnation)
{
    const Instant time = now();
    if (!mEntries.contains(incarnation)) {
        std::erase_if(mEntries,
                      [&](const auto &item) { return time - item.second.askedAt > sKept; });
    }
    Entry &entry = mEntries[incarnation];
    entry.askedAt = time;
    return entry;
}

void PermitService::learn(Entry &entry, const wire::PermitQuery &query, Instant now)
{
    const ReportedLimit told = limitTold(query.limit(), now);
    const LimitChange change = entry.limit.hear(told.perSecond, told.heardAt);
    if (change == LimitChange::Started) {
        entry.permits = SendPermits();
    }
    const int sent = std::min(query.sent_age_us_size(), sMostSentBefore);
    for (int index = 0; index < sent; ++index) {
        entry.permits.noteSend(before(now, query.sent_age_us(index)));
    }
    const bool isRate = change == LimitChange::Started || change == LimitChange::Changed;
    if (isRate) {
        entry.permits.setRate(*entry.limit.perSecond(), now);
    }
}

wire::PermitAnswer PermitService::answer(const wire::PermitQuery &query)
{
    wire::PermitAnswer answer;
    const Instant time = now();
    if (!handsOutFor(query)) {
        answer.set_wait_us(
            static_cast<std::uint64_t>(std::chrono::duration_cast<Microseconds>(sNotHere).count()));
        return answer;
    }
    mNewest = query.limit().replica();
    Entry &entry = entryOf(mNewest);
    learn(entry, query, time);
    *answer.mutable_limit()
        = limitToTell({mNewest, entry.limit.perSecond(), entry.limit.heardAt(), {}}, time);
    if (query.asks()) {
        answer.set_granted(!entry.limit.perSecond() || entry.permits.take(time));
    }
    if (entry.limit.perSecond()) {
        answer.set_wait_us(static_cast<std::uint64_t>(entry.permits.wait(time).count()));
    }
    return answer;
}

std::optional<ReportedLimit> PermitService::newest() const
{
    const auto it = mEntries.find(mNewest);
    if (it == mEntries.end()) {
        return std::nullopt;
    }
    const Entry &entry = it->second;
    const Microseconds wait = entry.limit.perSecond() ? entry.permits.wait(now()) : Microseconds(0);
    return ReportedLimit{mNewest, entry.limit.perSecond(), entry.limit.heardAt(), wait};
}

awaitable<void> PermitService::serve(PeerStreamPtr stream)
{
    while (stream->isOpen() && !mStopped) {
        const auto deadline = std::chrono::steady_clock::now() + sGatewaySilence;
        const auto query = co_await stream->receiveMessage<wire::PermitQuery>(deadline);
        if (!query || !*query || mStopped) {
            break;
        }
        const wire::PermitAnswer given = answer(**query);
        if ((*query)->asks()) {
            stream->send(given);
        }
    }
    stream->reset();
}

} // namespace Loom
