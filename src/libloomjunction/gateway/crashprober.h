/*
 * crashprober.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"
#include "instant.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Loom {

class Metrics;

/** The incarnation of a replica to which a request was sent. */
struct ReplicaIncarnation
{
    std::string id;
    std::uint64_t born = 0;
    std::string address; ///< IP:PORT
    bool isLeaving = false; ///< its record or its answers announce its shutdown

    /** Identifies the incarnation; the same at every gateway. */
    std::string text() const;
};

/** What a connection attempt shows about the process of a replica. */
enum class ReplicaLiveness : std::uint8_t
{
    Running,
    Ended, ///< its box answers, and nobody listens at its address
    Unknown, ///< no response, or none yet
};

/**
 * Finds out whether a replica ended when a connection to it was lost. A connection may also be lost
 * through a reset, when weights are loaded, or because it was idle; the replica goes on then.
 */
class CrashProber
{
public:
    CrashProber(asio::any_io_executor executor, Metrics &metrics);

    /**
     * Whether @p incarnation runs after a connection to it was lost at @p lostAt. Waits at most
     * @p maxWait for the result.
     */
    awaitable<ReplicaLiveness> check(ReplicaIncarnation incarnation, Instant lostAt,
                                     std::chrono::milliseconds maxWait);
    /** Time after which check() would have a result. */
    static std::chrono::milliseconds maxDuration();
    void forgetOldResults(Instant now);

private:
    /** Connection attempts to a replica, shared by all requests that lost their connection. */
    struct Probe
    {
        explicit Probe(const asio::any_io_executor &executor)
            : done(executor)
        {
        }

        Signal done;
        Instant startedAt;
        Instant finishedAt;
        std::optional<ReplicaLiveness> result; ///< empty until the attempts are finished
    };
    using ProbePtr = std::shared_ptr<Probe>;

    ProbePtr probe(const ReplicaIncarnation &incarnation, Instant lostAt);
    awaitable<void> run(ReplicaIncarnation incarnation, ProbePtr probe);

    asio::any_io_executor mExecutor;
    Metrics &mMetrics;
    std::map<std::string, ProbePtr> mProbes; ///< by the replica's incarnation
};

} // namespace Loom
