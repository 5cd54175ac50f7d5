/*
 * loadreporter.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "loadreporter.h"

#include "clock.h"
#include "jsonlog.h"
#include "memberservice.h"
#include "peerhub.h"
#include "wire.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::string_view sLoadPath = "/replica-load";
// Between two reports to one gateway. Shorter than the time between two looks at
// the engine, so that each look's news leave at once.
constexpr Milliseconds sReportEvery{40};
// A gateway takes silence for the loss of this process.
constexpr Milliseconds sKeepAlive{150};
constexpr std::chrono::milliseconds sRedialPause{250};
constexpr std::chrono::milliseconds sScanEvery{200};
// A gateway that takes nothing for so long is dialled anew.
constexpr std::chrono::milliseconds sTakeTime{1'500};
// Gateways speak only when their count changes; a lost one is noticed by sending.
constexpr std::chrono::hours sLongSilence{1};
constexpr double sPermille = 1'000;

bool isSame(const ReplicaLoad &a, const ReplicaLoad &b)
{
    return a.running == b.running && a.waiting == b.waiting && a.isAccepting == b.isAccepting
        && a.weightsVersion == b.weightsVersion && a.pace == b.pace && a.isLinkSlow == b.isLinkSlow;
}

} // namespace

LoadReporter::LoadReporter(std::string replica)
    : mReplica(std::move(replica))
{
}

tl::expected<void, std::string> LoadReporter::start(Kernel &kernel)
{
    mMembers = &kernel.find<MemberService>(MemberService::sName);
    mHub = &kernel.find<PeerHub>(PeerHub::sName);
    mChanged = std::make_unique<Signal>(kernel.executor());
    asio::co_spawn(kernel.executor(), followMembers(), asio::detached);
    return {};
}

void LoadReporter::stop()
{
    mStopped = true;
    mChanged->notify();
}

void LoadReporter::set(const ReplicaLoad &load)
{
    if (mLoad && isSame(*mLoad, load)) {
        return;
    }
    const bool isUrgent = !mLoad || mLoad->isAccepting != load.isAccepting
        || mLoad->weightsVersion != load.weightsVersion || mLoad->isLinkSlow != load.isLinkSlow;
    mLoad = load;
    ++mChanges;
    mUrgent += isUrgent ? 1 : 0;
    mChanged->notify();
}

awaitable<void> LoadReporter::followMembers()
{
    while (!mStopped) {
        for (const Member &member : mMembers->others()) {
            const std::string key = endpointText(member.peers);
            if (member.isGateway && !mReported[key]) {
                mReported[key] = true;
                asio::co_spawn(mChanged->executor(), reportTo(key, member.peers), asio::detached);
            }
        }
        co_await sleepFor(sScanEvery);
    }
}

awaitable<void> LoadReporter::reportTo(std::string key, Tcp::endpoint address)
{
    const auto isMember = [&] {
        const auto all = mMembers->others();
        return std::ranges::any_of(all,
                                   [&](const Member &member) { return member.peers == address; });
    };
    while (!mStopped && isMember()) {
        const PeerStreamPtr stream = co_await mHub->open(address, std::string(sLoadPath));
        if (stream) {
            asio::co_spawn(mChanged->executor(), takeCounts(*this, stream, key), asio::detached);
            co_await send(stream);
            stream->reset();
        }
        co_await sleepFor(sRedialPause);
    }
    mReported[key] = false;
}

awaitable<void> LoadReporter::takeCounts(LoadReporter &self, PeerStreamPtr stream, std::string key)
{
    while (!self.mStopped) {
        const auto deadline = std::chrono::steady_clock::now() + sLongSilence;
        const auto count = co_await stream->receiveMessage<wire::PatientCount>(deadline);
        if (!count || !*count) {
            break;
        }
        self.mPatient[key] = (*count)->waiting();
        ++self.mChanges;
        self.mChanged->notify();
    }
    self.mPatient.erase(key);
}

std::uint32_t LoadReporter::patientWaiting() const
{
    std::uint32_t sum = 0;
    for (const auto &[key, count] : mPatient) {
        sum += count;
    }
    return sum;
}

awaitable<void> LoadReporter::send(PeerStreamPtr stream)
{
    while (stream->isOpen() && !mStopped) {
        if (mLoad) {
            wire::ReplicaLoadReport report;
            report.set_address(mReplica);
            report.set_member(mMembers->key());
            report.set_running(mLoad->running);
            report.set_waiting(mLoad->waiting);
            report.set_waiting_patient(patientWaiting());
            report.set_memory_used(mLoad->memoryUsed);
            report.set_memory_total(mLoad->memoryTotal);
            report.set_pace_permille(static_cast<std::uint32_t>(mLoad->pace * sPermille));
            report.set_weights_version(mLoad->weightsVersion);
            report.set_accepting(mLoad->isAccepting);
            report.set_link_slow(mLoad->isLinkSlow);
            stream->send(report);
            const auto deadline = std::chrono::steady_clock::now() + sTakeTime;
            if (!co_await stream->drainedBy(deadline)) {
                co_return;
            }
        }
        const std::uint64_t seen = mChanges;
        const std::uint64_t urgent = mUrgent;
        const Instant sent = now();
        while (stream->isOpen() && !mStopped && urgent == mUrgent) {
            const bool isDue = seen != mChanges && now() - sent >= sReportEvery;
            if (isDue || now() - sent >= sKeepAlive) {
                break;
            }
            const Instant until = sent + (seen != mChanges ? sReportEvery : sKeepAlive);
            co_await mChanged->waitUntil(steadyTime(until));
        }
    }
}

} // namespace Loom
