/*
 * crashprober.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "crashprober.h"

#include "clock.h"
#include "jsonlog.h"
#include "metrics.h"
#include "ports.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// Several dozen times the one-way delay between the farthest data centres.
constexpr std::chrono::milliseconds sConnectTimeout{125};
// The first packet of a connection may be lost, and is sent again only after a second.
constexpr int sMaxAttempts = 2;
constexpr Milliseconds sResultRetention{60'000};

ReplicaLiveness livenessFrom(const boost::system::error_code &error)
{
    const bool isRefused
        = error == asio::error::connection_refused || error == asio::error::connection_reset;
    return isRefused ? ReplicaLiveness::Ended : ReplicaLiveness::Unknown;
}

} // namespace

std::string ReplicaIncarnation::text() const
{
    return id + sIncarnationSeparator + std::to_string(born);
}

CrashProber::CrashProber(asio::any_io_executor executor, Metrics &metrics)
    : mExecutor(std::move(executor))
    , mMetrics(metrics)
{
}

std::chrono::milliseconds CrashProber::maxDuration()
{
    // A probe that started before the connection was lost is followed by another one.
    return 2 * sMaxAttempts * sConnectTimeout;
}

// A replica that ended does not come back as the same incarnation. Any other result says nothing
// about losses after the probe started.
CrashProber::ProbePtr CrashProber::probe(const ReplicaIncarnation &incarnation, Instant lostAt)
{
    ProbePtr &probe = mProbes[incarnation.text()];
    const bool isOutdated = probe && probe->result && *probe->result != ReplicaLiveness::Ended
        && probe->startedAt < lostAt;
    if (!probe || isOutdated) {
        probe = std::make_shared<Probe>(mExecutor);
        probe->startedAt = now();
        asio::co_spawn(mExecutor, run(incarnation, probe), asio::detached);
    }
    return probe;
}

awaitable<ReplicaLiveness> CrashProber::check(ReplicaIncarnation incarnation, Instant lostAt,
                                              std::chrono::milliseconds maxWait)
{
    const auto deadline = std::chrono::steady_clock::now() + maxWait;
    while (true) {
        const ProbePtr current = probe(incarnation, lostAt);
        if (!current->result) {
            co_await current->done.waitUntil(deadline);
        }
        if (!current->result) {
            co_return ReplicaLiveness::Unknown;
        }
        if (*current->result == ReplicaLiveness::Ended || current->startedAt >= lostAt) {
            co_return *current->result;
        }
    }
}

awaitable<void> CrashProber::run(ReplicaIncarnation incarnation, ProbePtr probe)
{
    ReplicaLiveness result = ReplicaLiveness::Unknown;
    std::string problem;
    const auto endpoint = parseEndpoint(incarnation.address);
    for (int attempt = 0; endpoint && attempt < sMaxAttempts; ++attempt) {
        const auto connected = co_await connectWithin(*endpoint, sConnectTimeout);
        result = connected ? ReplicaLiveness::Running : livenessFrom(connected.error());
        if (result != ReplicaLiveness::Unknown) {
            break;
        }
        problem = connected.error().message();
    }
    probe->result = result;
    probe->finishedAt = now();
    probe->done.notify();
    if (result == ReplicaLiveness::Ended) {
        mMetrics.count("replica_crashes");
        logLine(LogLevel::Warning, "replica-crashed",
                {{"replica", incarnation.id},
                 {"born", incarnation.born},
                 {"address", incarnation.address}});
    } else if (result == ReplicaLiveness::Unknown) {
        logLine(LogLevel::Info, "replica-unreachable",
                {{"replica", incarnation.id},
                 {"born", incarnation.born},
                 {"address", incarnation.address},
                 {"problem", problem}});
    }
}

void CrashProber::forgetOldResults(Instant now)
{
    std::erase_if(mProbes, [&](const auto &item) {
        return item.second->result && now - item.second->finishedAt > sResultRetention;
    });
}

} // namespace Loom
