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
// Within this time an engine of usual speed begins or ends a fraction of a
// request; questions that come together share one look.
constexpr Milliseconds sFreshFor{8};
// A look at the own box takes a fraction of a millisecond, unless the engine hangs.
constexpr Milliseconds sLookTime{50};
// Gateways ask at least this often while they live, several times over.
constexpr std::chrono::seconds sGatewaySilence{10};
constexpr double sPermille = 1'000;

} // namespace

LoadReporter::LoadReporter(std::string replica)
    : mReplica(std::move(replica))
{
}

tl::expected<void, std::string> LoadReporter::start(Kernel &kernel)
{
    mMembers = &kernel.find<MemberService>(MemberService::sName);
    mLooked = std::make_unique<Signal>(kernel.executor());
    kernel.find<PeerHub>(PeerHub::sName)
        .serve(std::string(sLoadPath),
               [this](PeerStreamPtr stream) { return serve(std::move(stream)); });
    return {};
}

void LoadReporter::stop()
{
    mStopped = true;
    mLooked->notify();
}

void LoadReporter::set(const ReplicaLoad &load)
{
    mLoad = load;
    mLoadAt = now();
    mLooked->notify();
}

std::uint32_t LoadReporter::patientWaiting() const
{
    std::uint32_t sum = 0;
    for (const auto &[stream, count] : mPatient) {
        sum += count;
    }
    return sum;
}

awaitable<void> LoadReporter::refresh()
{
    if (mLoad && now() - mLoadAt <= sFreshFor) {
        co_return;
    }
    if (mIsLooking) {
        co_await mLooked->waitFor(sLookTime);
        co_return;
    }
    mIsLooking = true;
    if (mLook) {
        co_await mLook();
    }
    mIsLooking = false;
}

// Whoever asks knows before its first request that the replica takes few.
void LoadReporter::tellLimit(wire::ReplicaLoadReport &report) const
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
        const auto deadline = std::chrono::steady_clock::now() + sGatewaySilence;
        const auto query = co_await stream->receiveMessage<wire::LoadQuery>(deadline);
        if (!query || !*query) {
            break;
        }
        mPatient[stream.get()] = (*query)->waiting_patient();
        if ((*query)->claim()) {
            mClaims.note(now());
            continue;
        }
        co_await refresh();
        if (!mLoad) {
            continue;
        }
        wire::ReplicaLoadReport report;
        report.set_address(mReplica);
        report.set_member(mMembers->key());
        report.set_running(mLoad->running);
        report.set_waiting(mLoad->waiting + mClaims.notVisibleAt(mLoadAt));
        report.set_waiting_patient(patientWaiting());
        report.set_memory_used(mLoad->memoryUsed);
        report.set_memory_total(mLoad->memoryTotal);
        report.set_pace_permille(static_cast<std::uint32_t>(mLoad->pace * sPermille));
        report.set_weights_version(mLoad->weightsVersion);
        report.set_accepting(mLoad->isAccepting);
        report.set_link_slow(mLoad->isLinkSlow);
        tellLimit(report);
        stream->send(report);
    }
    mPatient.erase(stream.get());
    stream->reset();
}

} // namespace Loom
