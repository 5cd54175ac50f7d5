/*
 * crashfleet.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "fleetgateway.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Loom {

/** How bodies begin that replicas of a CrashFleet treat in a way of their own. */
inline constexpr std::string_view sCrashing = "ends what runs it";
inline constexpr std::string_view sResetting = "its connection is reset the first time";
inline constexpr std::string_view sHolding = "runs until it is let go";
/** Id of a prompt part that crashes a replica once it begins to write the answer. */
inline constexpr std::string_view sCrashingPart = "bad0";

/** What a replica of a CrashFleet has written of its answer when a prompt part crashes it. */
enum class CrashMoment : std::uint8_t
{
    BeforeResponse,
    DuringUnframedBody, ///< the body has neither a length nor chunks and ends with the connection
};

/**
 * A replica whose process ends with a request whose body says so: it takes all of its
 * connections along, and nobody listens at its address any more.
 */
class CrashingReplica
{
public:
    explicit CrashingReplica(asio::io_context &context);

    std::string address() const { return mAddress; }
    bool hasEnded() const { return mHasEnded; }
    /** Bodies of the requests that reached it. */
    const std::vector<std::string> &bodies() const { return mBodies; }
    /** Answers what holds. */
    void letGo() { mHolds = false; }
    void setCrashMoment(CrashMoment moment) { mCrashMoment = moment; }
    /** Number of requests with sCrashingPart that reached it. */
    int crashingPartCount() const { return mCrashingPartCount; }

private:
    using SocketPtr = std::shared_ptr<Tcp::socket>;

    awaitable<void> accept();
    awaitable<void> serve(SocketPtr socket);
    void end();

    Tcp::acceptor mAcceptor;
    std::string mAddress;
    std::set<SocketPtr> mSockets;
    std::vector<std::string> mBodies;
    CrashMoment mCrashMoment = CrashMoment::BeforeResponse;
    int mCrashingPartCount = 0;
    bool mHasEnded = false;
    bool mHolds = true;
};

/** Gateways and replicas around one store in memory. */
class CrashFleet
{
public:
    CrashFleet(std::size_t gateways, std::size_t replicas);

    asio::io_context context{1};
    MemoryStore store{context.get_executor()};

    void run(std::function<awaitable<void>()> test);
    /** Adds a gateway while the others run, or in the place of those that were killed. */
    void addGateway();
    void addReplica();
    FleetGateway &gateway(std::size_t index) { return *mGateways[index]; }
    std::vector<std::unique_ptr<CrashingReplica>> &replicas() { return mReplicas; }

    /**
     * The answer to a request that may be repeated, at gateway @p index. @p promptParts lists the
     * parts of its prompt, as the header that names them does.
     */
    awaitable<HttpResponse> call(std::size_t index, std::string body, std::string promptParts = {});
    /** The same without a check that the answer is whole; nothing if it is cut off. */
    awaitable<std::optional<HttpResponse>> tryCall(std::size_t index, std::string path,
                                                   std::string body, std::string promptParts);
    awaitable<void> untilReady();
    awaitable<void> waitFor(std::function<bool()> condition);

    /** Requests whose body begins with @p body that reached replicas so far. */
    int reached(std::string_view body) const;
    /** Replicas that ended and had the request with @p body. */
    int endedUnder(std::string_view body) const;
    int ended() const;
    /** Requests with sCrashingPart that reached replicas so far. */
    int crashingPartSends() const;

private:
    std::vector<std::unique_ptr<FleetGateway>> mGateways;
    std::vector<std::unique_ptr<CrashingReplica>> mReplicas;
    int mCalls = 0;
    bool mIsRunning = false;
};

} // namespace Loom
