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

/** A port of this machine that nobody uses. */
Tcp::endpoint freeEndpoint(asio::io_context &context);

/** One gateway process of several around a store in memory. */
class FleetGateway
{
public:
    FleetGateway(asio::io_context &context, MemoryStore &store, std::string box);

    void start();
    /** Ends it as a kill does: it says nothing any more. */
    void kill() { mKernel.stop(); }
    bool isReady(std::size_t replicas, std::size_t others);
    Tcp::endpoint callers()
    {
        return mKernel.find<GatewayServer>(GatewayServer::sName).localEndpoint();
    }
    ReplicaService &replicas() { return mKernel.find<ReplicaService>(ReplicaService::sName); }
    PermitService &permits() { return mKernel.find<PermitService>(PermitService::sName); }
    const Metrics &metrics() const { return mMetrics; }

private:
    MemberSettings mSettings;
    Platform::Records mRecords;
    Platform::Calls mCalls;
    Metrics mMetrics;
    Kernel mKernel;
};

} // namespace Loom
