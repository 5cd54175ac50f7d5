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
 * One choice of a replica by what agents say right before it, in rounds: a few
 * near ones first, more only when these are full or cannot be used. The load
 * pattern it answers: hundreds of gateways before hundreds of replicas that turn a
 * request over every few hundred milliseconds, so that each gateway sends a replica
 * something every few seconds only. What others sent it meanwhile is not to be
 * known any other way than by asking.
 */
class ProbedChoice
{
public:
    /** @p query views data that outlives this; @p silent: ids that need not be asked. */
    ProbedChoice(const ReplicaSet &replicas, const ReplicaQuery &query,
                 std::vector<std::string> silent);
    ProbedChoice(const ProbedChoice &) = delete;
    ProbedChoice &operator=(const ProbedChoice &) = delete;

    /** No further question would help: choice() stands. */
    bool isDone() const { return mIsDone; }
    /** Whom to ask now; may be nobody. decide() must follow. */
    std::vector<const Replica *> replicasToProbe(Instant now);
    /** All that were asked so far. */
    std::span<const std::string> asked() const { return mAsked; }
    /** Those of asked() that have answered by now; @p took: since the first replicasToProbe(). */
    void decide(std::vector<std::string> answered, Microseconds took, Instant now);
    const ReplicaChoice &choice() const { return mChoice; }

private:
    bool isEnough() const;

    const ReplicaSet &mReplicas;
    ReplicaQuery mQuery;
    const Milliseconds mWaitedBefore;
    std::vector<std::string> mExcluded; ///< silent ones, and those tried before
    std::vector<std::string> mAsked;
    std::vector<std::string> mAnswered;
    ProbeRound mRound = ProbeRound::Local;
    ReplicaChoice mChoice = NoneUsable{};
    bool mIsDone = false;
};

} // namespace Loom
