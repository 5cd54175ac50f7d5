/*
 * probedchoice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "probeplan.h"
#include "replicaset.h"

#include <span>
#include <string>
#include <vector>

namespace Loom {

/**
 * Chooses a replica by probing agents for their current load, in rounds: a few local
 * replicas first, more only if these are full or unusable. It is made for hundreds of
 * gateways in front of hundreds of replicas that complete a request every few hundred
 * milliseconds. Each gateway then sends a request to a given replica only every few
 * seconds, so that it cannot derive the replica's load from its own requests.
 */
class ProbedChoice
{
public:
    /** @p query views data that outlives this; @p silent: ids that are not probed. */
    ProbedChoice(const ReplicaSet &replicas, const ReplicaQuery &query,
                 std::vector<std::string> silent);
    ProbedChoice(const ProbedChoice &) = delete;
    ProbedChoice &operator=(const ProbedChoice &) = delete;

    /** Whether choice() is final, since further probes would not improve it. */
    bool isDone() const { return mIsDone; }
    /** The replicas to probe now, possibly none. A call of decide() must follow. */
    std::vector<const Replica *> replicasToProbe(Instant now);
    /** Ids of all replicas that were probed so far. */
    std::span<const std::string> asked() const { return mProbed; }
    /**
     * Chooses among the replicas in @p answered, the ids of asked() that have answered.
     * @p elapsed: time since the first call of replicasToProbe().
     */
    void decide(std::vector<std::string> answered, Microseconds elapsed, Instant now);
    const ReplicaChoice &choice() const { return mChoice; }

private:
    bool isEnough() const;

    const ReplicaSet &mReplicas;
    ReplicaQuery mQuery;
    const Milliseconds mWaitedBefore;
    std::vector<std::string>
        mExcludedReplicas; ///< silent replicas and those that were tried before
    std::vector<std::string> mProbed;
    std::vector<std::string> mAnswered;
    ProbeRound mRound = ProbeRound::Local;
    ReplicaChoice mChoice = NoneUsable{};
    bool mIsDone = false;
};

} // namespace Loom
