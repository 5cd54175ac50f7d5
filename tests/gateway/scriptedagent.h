/*
 * scriptedagent.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "gatewayfixture.h"
#include "peerserver.h"
#include "wire.pb.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Loom {

/** The agent of a replica, which reports the load set by the test or doesn't answer. */
class ScriptedAgent
{
public:
    /** Writes the record of a member that is the agent of @p replica. */
    ScriptedAgent(GatewayFixture &fixture, const ScriptedReplica &replica)
        : mReplicaAddress(replica.address())
        , mServer(fixture.context.get_executor(),
                  [this](PeerStreamPtr stream) { return serve(std::move(stream)); })
    {
        BOOST_REQUIRE(
            mServer.listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0)).has_value());
        const std::string peers = endpointText(mServer.localEndpoint());
        fixture.store.write(
            Feed::Members, peers,
            R"({"box":"b","dataCentre":"z1","role":"stager","service":"engine","peers":")" + peers
                + R"(","engine":")" + mReplicaAddress + R"(","incarnation":1})");
    }

    wire::ReplicaLoadReport load = idleLoad();
    bool isSilent = false; ///< queries are not answered
    std::chrono::milliseconds delay{0}; ///< before each answer
    std::function<void()> onQuery; ///< called before each answer
    std::vector<std::uint64_t> announcedTokens; ///< of the announced requests, in their order
    int queryCount = 0;
    int streamCount = 0;

private:
    static wire::ReplicaLoadReport idleLoad()
    {
        wire::ReplicaLoadReport report;
        report.set_pace_permille(1'000);
        report.set_weights_version(1);
        report.set_accepting(true);
        return report;
    }

    awaitable<void> serve(PeerStreamPtr stream)
    {
        ++streamCount;
        while (stream->isOpen()) {
            const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(60);
            const auto query = co_await stream->receiveMessage<wire::LoadQuery>(deadline);
            if (!query || !*query) {
                co_return;
            }
            ++queryCount;
            if ((*query)->claim()) {
                announcedTokens.push_back((*query)->prompt_tokens());
            }
            if (delay.count() > 0) {
                co_await sleepFor(delay);
            }
            if (onQuery) {
                onQuery();
            }
            if (!isSilent) {
                load.set_address(mReplicaAddress);
                stream->send(load);
            }
        }
    }

    std::string mReplicaAddress;
    PeerServer mServer;
};

} // namespace Loom
