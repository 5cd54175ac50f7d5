/*
 * burnservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "burnservice.h"

#include "clock.h"
#include "configservice.h"
#include "overload.h"
#include "platformservice.h"

namespace Loom {

namespace {

constexpr int sServerError = 500;

/** Refusals that are the caller's own doing spend no budget of the service. */
bool isCallersFault(const NotRun &notRun)
{
    switch (notRun.reason) {
    case RefusalReason::BadRequest:
    case RefusalReason::UnknownService:
    case RefusalReason::UnknownAccount:
    case RefusalReason::TooLarge:
        return true;
    default:
        return false;
    }
}

} // namespace

tl::expected<void, std::string> BurnService::start(Kernel &kernel)
{
    mPlatform = &kernel.find<PlatformService>(PlatformService::sName);
    mConfig = &kernel.find<ConfigService>(ConfigService::sName);
    mCounters = std::make_unique<BurnCounters>(now());
    return {};
}

void BurnService::note(std::string_view service, std::string_view account, const Outcome &outcome,
                       Microseconds firstByte)
{
    const Milliseconds limit(mConfig->state().integer(service, "slo.firstByteMs"));
    BurnCounts counts;
    counts.total = 1;
    std::visit(Overload{
                   [&](const Answered &answered) {
                       counts.bad = answered.status >= sServerError || firstByte > limit ? 1 : 0;
                   },
                   [&](const NotRun &notRun) {
                       counts.bad = isCallersFault(notRun) ? 0 : 1;
                       counts.notRun = 1;
                   },
                   [&](const Unknown &) {
                       counts.bad = 1;
                       counts.unknown = 1;
                   },
               },
               outcome);
    mCounters->note({std::string(service), std::string(account)}, counts, now());
}

boost::json::object BurnService::report() const
{
    const Instant at = now();
    boost::json::array rows;
    for (const BurnSeries &series : mCounters->series()) {
        boost::json::array windows;
        for (const std::chrono::minutes span : sBurnWindows) {
            const BurnCounts counts = mCounters->counts(series, span, at);
            boost::json::object window;
            window["minutes"] = span.count();
            window["total"] = counts.total;
            window["bad"] = counts.bad;
            window["notRun"] = counts.notRun;
            window["unknown"] = counts.unknown;
            window["coverage"] = mCounters->coverage(span, at);
            windows.push_back(std::move(window));
        }
        boost::json::object row;
        row["service"] = series.service;
        row["account"] = series.account;
        row["targetPerMille"] = mConfig->state().integer(series.service, "slo.targetPerMille");
        row["windows"] = std::move(windows);
        rows.push_back(std::move(row));
    }
    boost::json::object report;
    report["entry"] = mPlatform->box();
    report["series"] = std::move(rows);
    return report;
}

} // namespace Loom
