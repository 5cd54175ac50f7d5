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

/** One life of a replica that a request was sent to. */
struct ReplicaIncarnation
{
    std::string id;
    std::uint64_t born = 0;
    std::string address; ///< IP:PORT
    bool isLeaving = false; ///< its end is planned, by its record or its answers

    /** The same at every gateway. */
    std::string text() const { return id + sIncarnationSeparator + std::to_string(born); }
};

/**
 * Keeps requests that end the replicas that run them from running again, at whichever
 * gateway they come. Crashes are told to the other gateways at once; a request that is
 * refused is also recorded in the store, for those that begin when nobody is left to ask.
 */
class QuarantineService final : public Service
{
public:
    static constexpr std::string_view sName = "quarantine";

    QuarantineService(StorePort &store, Metrics &metrics);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override { mStopped = true; }

    /** Nothing is known of any request, so none need be looked up. */
    bool isEmpty() const { return mQuarantine.isEmpty(); }
    std::optional<Milliseconds> refusedFor(const RequestDigest &digest) const;
    /** It is sent to a replica. */
    void noteSent(const RequestDigest &digest) { mQuarantine.noteSent(digest, now()); }
    bool isHeldBack(const RequestDigest &digest) const { return mQuarantine.isHeldBack(digest); }

    /**
     * The connection that the request ran on was cut: looks whether the replica ended, and
     * returns when that is known, or some tens of milliseconds later.
     */
    awaitable<void> noteConnectionLost(RequestDigest digest, std::string account,
                                       ReplicaIncarnation incarnation);
    void noteGoodEnd(const RequestDigest &digest);

private:
    /** A look at a replica, shared by all whose connections were cut. */
    struct Probe
    {
        explicit Probe(const asio::any_io_executor &executor)
            : done(executor)
        {
        }

        Signal done;
        std::optional<bool> isUnreachable;
        Instant finishedAt;
    };
    using ProbePtr = std::shared_ptr<Probe>;

    ProbePtr probeReplica(const ReplicaIncarnation &incarnation);
    awaitable<void> runProbe(ReplicaIncarnation incarnation, ProbePtr probe);
    awaitable<void> noteProbeResultLater(ProbePtr probe, RequestDigest digest, std::string account,
                                         ReplicaIncarnation incarnation);
    void noteProbeResult(const Probe &probe, const RequestDigest &digest,
                         const std::string &account, const ReplicaIncarnation &incarnation);
    void applyFeedChange(const FeedChange &change);
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
    std::map<std::string, ProbePtr> mProbes; ///< by the replica's life
    std::map<RequestDigest, std::size_t>
        mRecordedCrashCounts; ///< crashes that the store's records tell
    std::set<RequestDigest> mWritesInProgress;
    bool mStopped = false;
};

} // namespace Loom
