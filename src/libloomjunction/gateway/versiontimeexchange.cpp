/*
 * versiontimeexchange.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "versiontimeexchange.h"

#include "clock.h"
#include "feedservice.h"
#include "operatorconfigservice.h"
#include "peerhub.h"
#include "wire.pb.h"
#include "wireage.h"

#include <algorithm>
#include <random>
#include <span>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::string_view sPath = "/version-times";
constexpr std::size_t sMembersPerRound = 3;
// Older weights start nothing until an answer arrives. If nobody answers, most likely all
// processes have just started, and the following rounds only find what others find out.
constexpr std::chrono::milliseconds sFirstRoundInterval{50};
constexpr std::chrono::milliseconds sMaxRoundInterval{1'000};
constexpr std::chrono::milliseconds sAnswerTimeout{1'000};

/** Appends up to @p count of @p members to @p taken, those after the first @p position. */
void takeByTurns(std::span<const Member> members, std::size_t count, std::size_t &position,
                 std::vector<Member> &taken)
{
    for (std::size_t left = std::min(count, members.size()); left > 0; --left) {
        taken.push_back(members[position++ % members.size()]);
    }
}

} // namespace

VersionTimeExchange::VersionTimeExchange(std::string dataCentre)
    : mDataCentre(std::move(dataCentre))
    , mSeed(std::random_device{}())
{
}

tl::expected<void, std::string> VersionTimeExchange::start(Kernel &kernel)
{
    mFeeds = &kernel.find<FeedService>(FeedService::sName);
    mMembers = &kernel.find<MemberService>(MemberService::sName);
    mConfig = &kernel.find<OperatorConfigService>(OperatorConfigService::sName);
    mHub = &kernel.find<PeerHub>(PeerHub::sName);
    mExecutor = kernel.executor();
    mHub->serve(std::string(sPath),
                [this](PeerStreamPtr stream) { return serve(std::move(stream)); });
    asio::co_spawn(mExecutor, run(), asio::detached);
    return {};
}

awaitable<void> VersionTimeExchange::run()
{
    std::chrono::milliseconds interval = sFirstRoundInterval;
    while (!mStopped) {
        co_await sleepFor(interval);
        const bool isAsking = mConfig->weights().hasUnknownTime(now());
        for (const Member &member : isAsking ? nextMembers() : std::vector<Member>()) {
            asio::co_spawn(mExecutor, ask(member), asio::detached);
        }
        interval = isAsking && mAskedCount + mAskedRecorderCount > 0
            ? std::min(interval * 2, sMaxRoundInterval)
            : sFirstRoundInterval;
    }
}

bool VersionTimeExchange::isRecorder(const Member &member) const
{
    const std::string key = std::string(sVersionTimeKeys) + endpointText(member.peers);
    return mFeeds->table(Feed::Members).find(key) != nullptr;
}

// The members in an order of this process's own, so that not all ask the same ones. If all have
// just started, only a process that records times knows them, so one of these is asked each round.
std::vector<Member> VersionTimeExchange::nextMembers()
{
    std::vector<Member> members = mMembers->others();
    std::mt19937_64 random(mSeed);
    std::ranges::shuffle(members, random);
    const auto isNear = [this](const Member &member) { return member.dataCentre == mDataCentre; };
    std::stable_partition(members.begin(), members.end(), isNear);
    const auto firstOther
        = std::stable_partition(members.begin(), members.end(), [&](const Member &member) {
              return isNear(member) && isRecorder(member);
          });
    std::vector<Member> next;
    takeByTurns(std::span(members.begin(), firstOther), 1, mAskedRecorderCount, next);
    takeByTurns(std::span(firstOther, members.end()), sMembersPerRound - next.size(), mAskedCount,
                next);
    return next;
}

awaitable<void> VersionTimeExchange::ask(Member member)
{
    const PeerStreamPtr stream = co_await mHub->open(member.peers, std::string(sPath));
    if (!stream || mStopped) {
        co_return;
    }
    const Instant askedAt = now();
    stream->send(wire::VersionTimesRequest());
    const auto deadline = std::chrono::steady_clock::now() + sAnswerTimeout;
    const auto answer = co_await stream->receiveMessage<wire::VersionTimes>(deadline);
    stream->reset();
    if (mStopped || !answer || !*answer) {
        co_return;
    }
    for (const wire::SupersededVersion &known : (*answer)->versions()) {
        mConfig->noteSuperseded(
            {known.model(), known.version(), fromWireAge(known.superseded(), askedAt, now())},
            endpointText(member.peers));
    }
}

awaitable<void> VersionTimeExchange::serve(PeerStreamPtr stream)
{
    const auto deadline = std::chrono::steady_clock::now() + sAnswerTimeout;
    const auto request = co_await stream->receiveMessage<wire::VersionTimesRequest>(deadline);
    if (!request || !*request || mStopped) {
        stream->reset();
        co_return;
    }
    wire::VersionTimes answer;
    for (const SupersededVersion &known : mConfig->weights().knownSuperseded()) {
        wire::SupersededVersion &version = *answer.add_versions();
        version.set_model(known.model);
        version.set_version(known.version);
        *version.mutable_superseded() = toWireAge(known.supersededAt, now());
    }
    stream->send(answer);
    stream->finish();
}

} // namespace Loom
