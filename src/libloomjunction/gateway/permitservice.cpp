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
#include <cmath>
#include <vector>

namespace Loom {

namespace {

// Longer than the time after which gateways close an idle stream themselves.
constexpr std::chrono::seconds sStreamIdleTimeout{30};
// After this time without a query, the incarnation has ended or needs no permits.
constexpr Milliseconds sEntryLifetime{60'000};
// Maximum number of a gateway's earlier sends that are counted from one query; more of them
// add no information.
constexpr int sMaxReportedSends = 256;
// A gateway that queries a process that is not the permit owner receives the current list of
// members within about this time.
constexpr Milliseconds sWrongOwnerRetryDelay{200};
// A longer cold time in a query is implausible.
constexpr std::uint64_t sMaxColdUs = std::uint64_t{24} * 60 * 60 * 1'000'000;

Instant timeBefore(Instant now, std::uint64_t microseconds)
{
    constexpr std::uint64_t maxAge
        = std::chrono::duration_cast<Microseconds>(sEntryLifetime).count();
    return now - Microseconds(static_cast<std::int64_t>(std::min(microseconds, maxAge)));
}

ColdTime coldTimeOf(const wire::PermitQuery &query, Instant now)
{
    if (!(query.cold_per_second() > 0) || !std::isfinite(query.cold_per_second())) {
        return {};
    }
    const std::uint64_t leftUs = std::min(query.cold_left_us(), sMaxColdUs);
    return {query.cold_per_second(), now + Microseconds(static_cast<std::int64_t>(leftUs))};
}

} // namespace

wire::ReplicaLimit toWireLimit(const ReportedLimit &limit, Instant now)
{
    wire::ReplicaLimit reported;
    reported.set_replica(limit.incarnation);
    if (limit.perSecond) {
        reported.set_per_second(*limit.perSecond);
    }
    const Microseconds age = std::max(Microseconds(0), now - limit.heardAt);
    reported.set_age_us(static_cast<std::uint64_t>(age.count()));
    return reported;
}

ReportedLimit fromWireLimit(const wire::ReplicaLimit &limit, Instant now)
{
    ReportedLimit reported;
    reported.incarnation = limit.replica();
    reported.heardAt = timeBefore(now, limit.age_us());
    if (limit.has_per_second() && limit.per_second() >= 0) {
        reported.perSecond = limit.per_second();
    }
    return reported;
}

tl::expected<void, std::string> PermitService::start(Kernel &kernel)
{
    mMembers = &kernel.find<MemberService>(MemberService::sName);
    kernel.find<PeerHub>(PeerHub::sName)
        .serve(std::string(sPermitPath),
               [this](PeerStreamPtr stream) { return serve(std::move(stream)); });
    return {};
}

bool PermitService::isPermitOwnerOf(const wire::PermitQuery &query) const
{
    if (!mReplicaAddress.empty()) {
        return query.address() == mReplicaAddress;
    }
    if (query.cold_per_second() > 0) {
        return isColdPermitOwnerOf(query);
    }
    return !mMembers->agentFor(query.address())
        && std::holds_alternative<OwnedHere>(mMembers->ownerOf(query.limit().replica()));
}

// Gateways that are cut off from each other must not both grant the whole rate.
bool PermitService::isColdPermitOwnerOf(const wire::PermitQuery &query) const
{
    return !mMembers->agentFor(query.address())
        && mMembers->isUndisputedOwnerOf(query.limit().replica());
}

PermitService::Entry &PermitService::entryOf(const std::string &incarnation)
{
    const Instant time = now();
    if (!mEntries.contains(incarnation)) {
        std::erase_if(mEntries, [&](const auto &item) {
            return time - item.second.lastUsedAt > sEntryLifetime;
        });
    }
    Entry &entry = mEntries[incarnation];
    entry.lastUsedAt = time;
    return entry;
}

void PermitService::applyQuery(Entry &entry, const wire::PermitQuery &query, Instant now)
{
    const ReportedLimit reported = fromWireLimit(query.limit(), now);
    const int sentCount = std::min(query.sent_age_us_size(), sMaxReportedSends);
    std::vector<Instant> sends;
    sends.reserve(static_cast<std::size_t>(sentCount));
    for (int index = 0; index < sentCount; ++index) {
        sends.push_back(timeBefore(now, query.sent_age_us(index)));
    }
    entry.permits.apply(reported.perSecond, reported.heardAt, coldTimeOf(query, now), sends, now);
}

wire::PermitAnswer PermitService::answer(const wire::PermitQuery &query)
{
    wire::PermitAnswer answer;
    const Instant time = now();
    if (!isPermitOwnerOf(query)) {
        answer.set_wait_us(static_cast<std::uint64_t>(
            std::chrono::duration_cast<Microseconds>(sWrongOwnerRetryDelay).count()));
        return answer;
    }
    mLatestIncarnation = query.limit().replica();
    Entry &entry = entryOf(mLatestIncarnation);
    applyQuery(entry, query, time);
    const ReplicaRateLimit &limit = entry.permits.limit();
    *answer.mutable_limit()
        = toWireLimit({mLatestIncarnation, limit.perSecond(), limit.heardAt(), {}}, time);
    if (query.asks()) {
        answer.set_granted(entry.permits.take(time));
    }
    answer.set_wait_us(static_cast<std::uint64_t>(entry.permits.wait(time).count()));
    return answer;
}

std::optional<ReportedLimit> PermitService::latestLimit() const
{
    const auto it = mEntries.find(mLatestIncarnation);
    if (it == mEntries.end()) {
        return std::nullopt;
    }
    const Entry &entry = it->second;
    const ReplicaRateLimit &limit = entry.permits.limit();
    return ReportedLimit{mLatestIncarnation, limit.perSecond(), limit.heardAt(),
                         entry.permits.wait(now())};
}

awaitable<void> PermitService::serve(PeerStreamPtr stream)
{
    while (stream->isOpen() && !mStopped) {
        const auto deadline = std::chrono::steady_clock::now() + sStreamIdleTimeout;
        const auto query = co_await stream->receiveMessage<wire::PermitQuery>(deadline);
        if (!query || !*query || mStopped) {
            break;
        }
        const wire::PermitAnswer reply = answer(**query);
        if ((*query)->asks()) {
            stream->send(reply);
        }
    }
    stream->reset();
}

} // namespace Loom
