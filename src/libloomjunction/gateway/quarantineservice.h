/*
 * quarantineservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"
#include "clock.h"
#include "crashprober.h"
#include "feedtable.h"
#include "kernel.h"
#include "ports.h"
#include "quarantine.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Loom {

namespace wire {
class MemberStatus;
}
class FeedService;
class MemberService;
class Metrics;
struct FeedChange;

/**
 * Prevents requests that crash the replicas that run them from running again, at any gateway.
 * Crashes are reported to the other gateways at once. A refused request is also recorded in
 * the store, for gateways that start when no other gateway is running.
 */
class QuarantineService final : public Service
{
public:
    static constexpr std::string_view sName = "quarantine";

    QuarantineService(StorePort &store, Metrics &metrics);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override { mStopped = true; }

    /** Whether no crashes are known, so that requests need not be looked up. */
    bool isEmpty() const { return mQuarantine.isEmpty(); }
    /** Remaining time for which the request is refused; empty if it may run. */
    std::optional<Milliseconds> refusedFor(const RequestDigest &digest) const;
    /** The request is sent to a replica. */
    void noteSent(const RequestDigest &digest) { mQuarantine.noteSent(digest, now()); }
    bool isRetryForbidden(const RequestDigest &digest) const
    {
        return mQuarantine.isRetryForbidden(digest);
    }

    /**
     * The connection on which the request ran was lost. Checks whether its replica has ended, and
     * returns when that is known or after some tens of milliseconds.
     */
    awaitable<void> noteConnectionLost(RequestDigest digest, std::string account,
                                       ReplicaIncarnation incarnation);
    /** Whether the replica still runs, now that a connection to it was closed. */
    awaitable<bool> isRunning(ReplicaIncarnation replica);
    void noteSuccess(const RequestDigest &digest);

private:
    awaitable<void> noteCrashLater(RequestDigest digest, std::string account,
                                   ReplicaIncarnation incarnation, Instant lostAt);
    void noteCrash(const RequestDigest &digest, const std::string &account,
                   const ReplicaIncarnation &incarnation);
    void applyFeedChange(const FeedChange &change);
    void restoreRecords(const FeedTable::Keys &missing);
    Milliseconds remoteWriteDelay(const RequestDigest &digest) const;
    void readMemberNews(const wire::MemberStatus &status);
    std::uint64_t writeMemberNews(std::uint64_t since, wire::MemberStatus &status) const;
    void handleNews(QuarantineNews news, const RequestDigest &digest, std::string_view source);
    bool isHomeGateway(const RequestDigest &digest) const;
    bool isRecorded(const QuarantineEntry &entry) const;
    awaitable<void> writeRecord(RequestDigest digest, Milliseconds delay);
    awaitable<void> removeRecord(RequestDigest digest, Milliseconds delay);
    awaitable<void> sweepLoop();

    StorePort &mStore;
    Metrics &mMetrics;
    asio::any_io_executor mExecutor;
    FeedService *mFeeds = nullptr;
    MemberService *mMembers = nullptr;
    Quarantine mQuarantine;
    std::unique_ptr<CrashProber> mProber;
    std::map<RequestDigest, std::size_t>
        mRecordedCrashCounts; ///< number of crashes in each stored record
    std::set<RequestDigest> mWritesInProgress; ///< requests whose record is being written
    bool mStopped = false;
};

} // namespace Loom
