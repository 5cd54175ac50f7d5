/*
 * loadreporter.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "loadreporter.h"

#include "memberservice.h"
#include "peerhub.h"
#include "permitservice.h"
#include "wire.pb.h"

#include <algorithm>
#include <limits>

namespace Loom {

namespace {

constexpr std::string_view sLoadPath = "/replica-load";
// An engine of usual speed starts or completes less than one request within this time, so
// that concurrent queries can share the result of one poll.
constexpr Milliseconds sMaxLoadAge{8};
// Polling an engine on the same box takes a fraction of a millisecond unless it hangs.
constexpr Milliseconds sPollTimeout{50};
// A running gateway sends several queries within this time.
constexpr std::chrono::seconds sGatewayTimeout{10};
constexpr double sPermille = 1'000;

} // namespace

LoadReporter::LoadReporter(std::string replicaAddress)
    : mReplicaAddress(std::move(replicaAddress))
{
}

tl::expected<void, std::string> LoadReporter::start(Kernel &kernel)
{
    mMembers = &kernel.find<MemberService>(MemberService::sName);
    mLoadUpdated = std::make_unique<Signal>(kernel.executor());
    kernel.find<PeerHub>(PeerHub::sName)
        .serve(std::string(sLoadPath),
               [this](PeerStreamPtr stream) { return serve(std::move(stream)); });
    return {};
}

void LoadReporter::stop()
{
    mStopped = true;
    mLoadUpdated->notify();
}

void LoadReporter::set(const ReplicaLoad &load)
{
    mLoad = load;
    mLoadUpdatedAt = now();
    mLoadUpdated->notify();
}

std::uint32_t LoadReporter::totalPatientWaiting() const
{
    std::uint32_t total = 0;
    for (const auto &[stream, count] : mPatientWaiting) {
        total += count;
    }
    return total;
}

awaitable<void> LoadReporter::refresh()
{
    if (mLoad && now() - mLoadUpdatedAt <= sMaxLoadAge) {
        co_return;
    }
    if (mIsPolling) {
        co_await mLoadUpdated->waitFor(sPollTimeout);
        co_return;
    }
    mIsPolling = true;
    if (mEnginePoll) {
        co_await mEnginePoll();
    }
    mIsPolling = false;
}

// Tells gateways about a rate limit of the replica before they send their first request.
void LoadReporter::addLimit(wire::ReplicaLoadReport &report) const
{
    const auto known = mPermits == nullptr ? std::nullopt : mPermits->latestLimit();
    if (!known) {
        return;
    }
    *report.mutable_limit() = toWireLimit(*known, now());
    report.set_permit_wait_us(static_cast<std::uint32_t>(
        std::min<std::int64_t>(known->wait.count(), std::numeric_limits<std::uint32_t>::max())));
}

awaitable<void> LoadReporter::serve(PeerStreamPtr stream)
{
    while (stream->isOpen() && !mStopped) {
        const auto deadline = std::chrono::steady_clock::now() + sGatewayTimeout;
        const auto query = co_await stream->receiveMessage<wire::LoadQuery>(deadline);
        if (!query || !*query) {
            break;
        }
        mPatientWaiting[stream.get()] = (*query)->waiting_patient();
        if ((*query)->claim()) {
            mInTransit.note(now());
            mAnnouncedSizes.note((*query)->prompt_tokens());
            continue;
        }
        co_await refresh();
        if (!mLoad) {
            continue;
        }
        wire::ReplicaLoadReport report;
        report.set_address(mReplicaAddress);
        report.set_member(mMembers->key());
        report.set_running(mLoad->running);
        report.set_waiting(mLoad->waiting + mInTransit.notVisibleAt(mLoadUpdatedAt));
        report.set_waiting_tokens(mAnnouncedSizes.waitingTokens(report.waiting()));
        report.set_waiting_patient(totalPatientWaiting());
        report.set_memory_used(mLoad->memoryUsed);
        report.set_memory_total(mLoad->memoryTotal);
        report.set_pace_permille(static_cast<std::uint32_t>(mLoad->pace * sPermille));
        report.set_weights_version(mLoad->weightsVersion);
        report.set_accepting(mLoad->isAccepting);
        report.set_link_slow(mLoad->isLinkSlow);
        addLimit(report);
        stream->send(report);
    }
    mPatientWaiting.erase(stream.get());
    stream->reset();
}

} // namespace Loom
