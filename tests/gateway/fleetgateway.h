/*
 * fleetgateway.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "gatewayfixture.h"

#include <string>

namespace Loom {

/** A loopback endpoint with an unused port. */
Tcp::endpoint freeEndpoint(asio::io_context &context);

/** One of several gateways that share an in-memory store. */
class FleetGateway
{
public:
    FleetGateway(asio::io_context &context, MemoryStore &store, std::string box);

    void start();
    /** Stops the gateway as a kill does, without any message to others. */
    void kill() { mKernel.stop(); }
    /** Leaves as after SIGTERM: serves on, until no calls arrive or the time to stop is over. */
    awaitable<void> drain() { return mKernel.find<GatewayServer>(GatewayServer::sName).drain(); }
    /** Whether it is ready and knows at least @p replicas replicas and @p others healthy gateways.
     */
    bool isReady(std::size_t replicas, std::size_t others);
    Tcp::endpoint callers()
    {
        return mKernel.find<GatewayServer>(GatewayServer::sName).localEndpoint();
    }
    ReplicaService &replicas() { return mKernel.find<ReplicaService>(ReplicaService::sName); }
    MemberService &members() { return mKernel.find<MemberService>(MemberService::sName); }
    PermitService &permits() { return mKernel.find<PermitService>(PermitService::sName); }
    const Metrics &metrics() const { return mMetrics; }
    /** Value of its membership record, as it writes it to the store. */
    std::string memberRecord() const;

private:
    MemberSettings mSettings;
    Platform::RecordDecoder mRecords;
    Platform::HttpCallAdapter mCalls;
    Metrics mMetrics;
    Kernel mKernel;
};

} // namespace Loom
