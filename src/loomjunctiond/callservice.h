/*
 * callservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "kernel.h"
#include "peerconnection.h"
#include "upstreamservice.h"
#include "wire.pb.h"

#include <functional>
#include <string>
#include <string_view>

namespace Loom {

class PlatformService;

/** The agent's data path: takes calls from entries and hands them to the upstream. */
class CallService final : public Service
{
public:
    static constexpr std::string_view sName = "calls";

    explicit CallService(const asio::any_io_executor &executor);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    /** Refuses new calls, then waits for those in flight. */
    awaitable<void> drain() override;

    /** Calls @p listener with the upstream's first-byte latency of each answered call. */
    void setLatencyListener(std::function<void(Microseconds)> listener)
    {
        mOnFirstByte = std::move(listener);
    }

    awaitable<void> serveCall(PeerStreamPtr stream);
    awaitable<void> serveRevoke(PeerStreamPtr stream);

private:
    struct Upstreamed
    {
        Outcome outcome;
        std::string body;
        std::uint64_t bytes = 0;
        bool isKeySpent = false;
        Instant firstByte;
        UnknownReason abortedBecause = UnknownReason::LinkCut; ///< if we gave the upstream up
    };

    awaitable<void> serve(PeerStreamPtr stream, const wire::CallStart &start);
    awaitable<Upstreamed> runUpstream(PeerStreamPtr stream, const wire::CallStart &start);
    awaitable<bool> forward(PeerStreamPtr stream, const wire::CallStart &start,
                            const HttpResponse &head, std::string_view data, Upstreamed &result);
    HttpCall upstreamCall(const wire::CallStart &start) const;
    Outcome outcomeOf(const wire::CallStart &start,
                      const tl::expected<HttpResponse, HttpError> &response,
                      UnknownReason abortedBecause) const;
    bool isRightVersion(const wire::CallStart &start, const HttpResponse &head) const;
    void answer(PeerStream &stream, const wire::CallStart &start, const Upstreamed &result);

    PlatformService *mPlatform = nullptr;
    UpstreamService *mUpstream = nullptr;
    ConfigService *mConfig = nullptr;
    std::function<void(Microseconds)> mOnFirstByte;
    Signal mEnded;
};

} // namespace Loom
