/*
 * replicaservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "callerwaitestimator.h"
#include "directsettings.h"
#include "httplink.h"
#include "kernel.h"
#include "loadasker.h"
#include "permitasker.h"
#include "ports.h"
#include "refusalratio.h"
#include "replicaset.h"
#include "sharedretrybudget.h"

#include <deque>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace Loom {

class DirectConfig;
class FeedService;
class MemberService;
class Metrics;
struct FeedChange;
struct ReplicaLife;

/**
 * The replicas that a gateway sends requests to: what is known of each, the
 * connections to them, and what may be repeated.
 */
class ReplicaService final : public Service
{
public:
    static constexpr std::string_view sName = "replicas";

    ReplicaService(RecordPort &records, Metrics &metrics, const DirectSettings &settings);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

    /** Bounds that changed in the life of the process. */
    void setBounds(const DirectBounds &bounds);

    ReplicaSet &replicas() { return mReplicas; }
    /**
     * Chooses a replica for a request. Agents of engines are asked first; @p query
     * views data that must outlive the call.
     */
    awaitable<ReplicaChoice> choose(ReplicaQuery query);
    /** A caller's request for @p service came. */
    void noteRequest(const std::string &service, Milliseconds goal);
    /** How long ago a caller of @p route with so much time left tried first. */
    Milliseconds waitedBefore(const std::string &route, Milliseconds timeLeft);
    /** A request has ended; @p mayReturn: its caller was told when to come back. */
    void noteEnd(bool mayReturn);

    void began(const std::string &id, bool isPatient);
    void answerBegan(const std::string &id, bool isPatient, Microseconds took);
    void answerMissed(const std::string &id, bool isPatient);
    /** Whether a request may be sent to the replica now, which may have named a limit. */
    awaitable<bool> takePermit(std::string id);
    /** What an answer of the replica to a request that was sent at @p sentAt says of its rate. */
    void noteRate(const std::string &id, const AdvertisedRate &rate, Instant sentAt);
    /** Asked right before a request is sent to the replica; counts those held back. */
    UnavailableReason unavailableReason(const std::string &id);
    /** What an answer of @p life says of further requests. */
    void noteNotice(const ReplicaLife &incarnation, const ReplicaNotice &notice);
    /** Takes one repeat of a request at @p service. */
    bool takeRepeat(const std::string &service);

    /** A link to the replica @p id at @p address, kept or new. */
    awaitable<tl::expected<std::unique_ptr<HttpLink>, LinkError>>
    link(std::string id, std::string address, std::uint32_t maxConnections);
    /** Gives a link back; kept where it can be used again. */
    void giveBack(const std::string &id, std::unique_ptr<HttpLink> link);

private:
    struct Pool
    {
        std::deque<std::unique_ptr<HttpLink>> idle; ///< the last used at the end
        std::uint32_t open = 0; ///< idle and in use
    };

    void takeReport(const std::string &address, const ReplicaLoad &load);
    void applyLimit(const ReportedLimit &told);
    void noteLimit(const std::string &id, LimitChange change);
    static void logLeaving(const ReplicaLife &incarnation, const Replica *replica);
    static void logRest(const ReplicaLife &incarnation, const Replica *replica, Microseconds asked);
    SharedRetryBudget &budget(const std::string &service);
    void take(const FeedChange &change);
    awaitable<void> askAgents(std::vector<const Replica *> replicas);
    std::vector<std::string> answeredSince(Instant since, std::span<const std::string> ids) const;
    std::vector<std::string> silentReplicas() const;
    void keepNeighboursWarm();
    void keepWarm(const LoadQuestion &question);
    bool saysTheSame(const FeedRecord &known, const FeedRecord &next) const;
    void countHeld();
    awaitable<void> sweepLoop();
    std::unique_ptr<HttpLink> takeIdle(Pool &pool);
    void closeIdle(const std::string &id);
    static void closeExpired(Pool &pool, BootClock::time_point time);

    RecordPort &mRecords;
    Metrics &mMetrics;
    const DirectSettings &mSettings;
    FeedService *mFeeds = nullptr;
    RetryBounds mBounds;
    Instant mBorn;
    MemberService *mMembers = nullptr;
    ReplicaSet mReplicas;
    std::map<std::string, Pool> mPools; ///< by replica id
    std::map<std::string, SharedRetryBudget> mBudgets;
    CallerWaitEstimator mPatience;
    RefusalRatio mRefused; ///< of all requests
    std::unique_ptr<LoadAsker> mAsker;
    std::unique_ptr<PermitAsker> mPermits;
    DirectConfig *mConfig = nullptr;
    bool mStopped = false;
};

} // namespace Loom
