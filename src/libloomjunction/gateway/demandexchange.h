/*
 * demandexchange.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <set>
#include <string>
#include <string_view>

namespace Loom {

namespace wire {
class MemberStatus;
}
class MemberService;
class Metrics;
class OperatorConfigService;
class ReplicaSet;
struct Member;
struct ServiceConfig;

/**
 * Reports the gateway's rates of calls to other gateways in its status messages, and applies
 * the rates that these report. Only services with engines are reported, since the expected
 * number of calls has no effect on others. Owned by the replica service.
 */
class DemandExchange
{
public:
    /** Registers itself at @p members; the arguments must outlive this. */
    DemandExchange(ReplicaSet &replicas, MemberService &members,
                   const OperatorConfigService &config, Metrics &metrics,
                   std::string_view dataCentre);
    DemandExchange(const DemandExchange &) = delete;
    DemandExchange &operator=(const DemandExchange &) = delete;

    /** Updates the numbers of gateways, the metrics and the log. Called regularly. */
    void update();

private:
    const ServiceConfig *engineService(std::string_view name) const;
    void append(wire::MemberStatus &status) const;
    void apply(const Member &sender, const wire::MemberStatus &status);
    void updateService(const std::string &service);

    ReplicaSet &mReplicas;
    MemberService &mMembers;
    const OperatorConfigService &mConfig;
    Metrics &mMetrics;
    const std::string mDataCentre;
    const Instant mStartedAt;
    std::set<std::string> mUnevenServices; ///< whose demand differs between gateways
};

} // namespace Loom
