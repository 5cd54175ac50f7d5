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
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

namespace wire {
class MemberStatus;
}
class FeedService;
class MemberService;
class Metrics;
struct FeedChange;

/** A run of a request that ended because the connection to its replica was lost. */
struct LostRun
{
    std::string requestId;
    std::vector<QuarantineSubject> subjects; ///< those of the request
    std::string account;
    ReplicaIncarnation replica;
};

/** Why a request is refused. */
struct QuarantineRefusal
{
    QuarantineSubject subject;
    Milliseconds timeLeft{0};
};

/**
 * Prevents requests that crash the replicas that run them from running again, at any gateway.
 * Crashes are reported to the other gateways at once. A refused subject is also recorded in
 * the store, for gateways that start when no other gateway is running, and so is a suspected
 * prompt part, for gateways that cannot reach each other.
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
    /** Whether a request with all of @p subjects is refused; empty if it may run. */
    std::optional<QuarantineRefusal> refusal(std::span<const QuarantineSubject> subjects);
    /** A request with @p subjects is sent to a replica. */
    void noteSent(std::span<const QuarantineSubject> subjects);
    /** Whether a request with @p subjects must not be retried within its call. */
    bool isRetryForbidden(std::span<const QuarantineSubject> subjects) const;

    /**
     * The connection on which a request ran was lost. Checks whether its replica has ended, and
     * returns when that is known or after some tens of milliseconds.
     */
    awaitable<void> noteConnectionLost(LostRun run);
    /** Whether the replica still runs, now that a connection to it was closed. */
    awaitable<bool> isRunning(ReplicaIncarnation replica);
    /** A request with @p subjects succeeded. */
    void noteSuccess(std::span<const QuarantineSubject> subjects);

private:
    awaitable<void> noteCrashLater(LostRun run, Instant lostAt);
    void noteCrash(const LostRun &run);
    void applyFeedChange(const FeedChange &change);
    void restoreRecords(const FeedTable::Keys &missing);
    std::optional<Milliseconds> refusedFor(const QuarantineSubject &subject) const;
    Milliseconds staggeredDelay(const QuarantineSubject &subject, Milliseconds range) const;
    void readMemberNews(const wire::MemberStatus &status);
    std::uint64_t writeMemberNews(std::uint64_t since, wire::MemberStatus &status) const;
    void handleNews(QuarantineNews news, const QuarantineSubject &subject, std::string_view source);
    void reportChanges(std::string_view source);
    void logRefusal(const QuarantineEntry &entry, std::string_view source) const;
    bool isHomeGateway(const QuarantineSubject &subject) const;
    bool isRecorded(const QuarantineEntry &entry) const;
    bool isWorthRecording(const QuarantineEntry &entry) const;
    awaitable<void> writeRecord(QuarantineSubject subject, Milliseconds delay);
    awaitable<void> removeRecord(QuarantineSubject subject, Milliseconds delay);
    awaitable<void> sweepLoop();

    StorePort &mStore;
    Metrics &mMetrics;
    asio::any_io_executor mExecutor;
    FeedService *mFeeds = nullptr;
    MemberService *mMembers = nullptr;
    Quarantine mQuarantine;
    std::unique_ptr<CrashProber> mProber;
    std::map<QuarantineSubject, std::size_t>
        mRecordedCrashCounts; ///< number of crashes in each stored record
    std::set<QuarantineSubject> mWritesInProgress; ///< subjects whose record is being written
    bool mStopped = false;
};

} // namespace Loom
