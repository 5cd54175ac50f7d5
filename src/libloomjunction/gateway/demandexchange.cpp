/*
 * demandexchange.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "demandexchange.h"

#include "clock.h"
#include "jsonlog.h"
#include "memberservice.h"
#include "metrics.h"
#include "operatorconfigservice.h"
#include "replicaset.h"
#include "wire.pb.h"

#include <algorithm>
#include <cmath>

namespace Loom {

namespace {

constexpr double sMilliPerSecond
    = 1'000'000; // thousandths of a call a second, in one a millisecond
// The rate of a gateway that has just started is counted from zero and too low. After three
// half-lives it is within an eighth of the true rate.
constexpr Milliseconds sMinCountingTime{3'000};
constexpr double sMaxReportedMilli = 4'000'000'000;

std::int64_t milliPerSecond(double perMs)
{
    return std::llround(std::min(perMs * sMilliPerSecond, sMaxReportedMilli));
}

} // namespace

DemandExchange::DemandExchange(ReplicaSet &replicas, MemberService &members,
                               const OperatorConfigService &config, Metrics &metrics,
                               std::string_view dataCentre)
    : mReplicas(replicas)
    , mMembers(members)
    , mConfig(config)
    , mMetrics(metrics)
    , mDataCentre(dataCentre)
    , mStartedAt(now())
{
    mMembers.addStatusExtension(
        {[this](std::uint64_t, wire::MemberStatus &status) {
             append(status);
             return std::uint64_t{0};
         },
         nullptr, // rates change with each call; they are sent with the regular messages
         [this](const Member &sender, const wire::MemberStatus &status) {
             apply(sender, status);
         }});
}

const ServiceConfig *DemandExchange::engineService(std::string_view name) const
{
    const RouteTablePtr &table = mConfig.table();
    const ServiceConfig *service = table ? table->service(name) : nullptr;
    return service != nullptr && service->engine ? service : nullptr;
}

// A message without a report differs from one with an empty report: gateways of earlier
// versions send none, and must not count as gateways without calls.
void DemandExchange::append(wire::MemberStatus &status) const
{
    const RouteTablePtr &table = mConfig.table();
    if (!table || now() - mStartedAt < sMinCountingTime) {
        return;
    }
    wire::DemandReport &report = *status.mutable_demand();
    for (const ServiceConfig &service : table->config().services) {
        const std::int64_t rate = milliPerSecond(mReplicas.ownCallsPerMs(service.name, now()));
        if (service.engine && rate > 0) {
            wire::ServiceDemand &demand = *report.add_services();
            demand.set_service(service.name);
            demand.set_calls_per_second_milli(static_cast<std::uint32_t>(rate));
        }
    }
}

void DemandExchange::apply(const Member &sender, const wire::MemberStatus &status)
{
    const std::string key = endpointText(sender.peers);
    if (!status.has_demand() || !status.ready() || status.leaving()) {
        mReplicas.demand().forget(key);
        return;
    }
    ReportedDemand demand;
    demand.dataCentre = sender.dataCentre;
    for (const wire::ServiceDemand &service : status.demand().services()) {
        if (engineService(service.service()) != nullptr) {
            demand.perMs[service.service()] = service.calls_per_second_milli() / sMilliPerSecond;
        }
    }
    if (!mReplicas.demand().report(key, std::move(demand), now())) {
        mMetrics.count("demand_reports_refused");
    }
}

void DemandExchange::update()
{
    mReplicas.demand().setGateways(mMembers.gatewayCountByDataCentre());
    mReplicas.demand().sweep(now());
    const RouteTablePtr &table = mConfig.table();
    if (!table) {
        return;
    }
    for (const ServiceConfig &service : table->config().services) {
        if (service.engine) {
            updateService(service.name);
        }
    }
}

void DemandExchange::updateService(const std::string &service)
{
    const MeanDemand demand = mReplicas.meanDemand(service, mDataCentre, now());
    const std::int64_t own = milliPerSecond(mReplicas.ownCallsPerMs(service, now()));
    const std::int64_t mean = milliPerSecond(demand.perMs);
    mMetrics.set("demand_milli_per_s", service, mean);
    mMetrics.set("demand_own_milli_per_s", service, own);
    mMetrics.set("demand_reporting_gateways", service, demand.reportingGateways);
    mMetrics.set("demand_uses_reports", service, demand.usesReports ? 1 : 0);
    const bool wasUneven = mUnevenServices.contains(service);
    if (wasUneven == demand.usesReports) {
        return;
    }
    logLine(LogLevel::Info, demand.usesReports ? "demand-uneven" : "demand-even",
            {{"service", service},
             {"ownMilliPerSecond", own},
             {"meanMilliPerSecond", mean},
             {"gateways", demand.reportingGateways},
             {"localExcess", demand.hasLocalExcess}});
    if (demand.usesReports) {
        mUnevenServices.insert(service);
    } else {
        mUnevenServices.erase(service);
    }
}

} // namespace Loom
