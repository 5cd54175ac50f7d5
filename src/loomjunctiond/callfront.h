/*
 * callfront.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "admission.h"
#include "callsender.h"
#include "http.h"
#include "instant.h"
#include "kernel.h"
#include "oncekey.h"
#include "outcome.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

class BurnService;
class ClaimService;
class ConfigService;
class LinkService;
class PlatformService;

/** Settings of one service as the front uses them; read once per configuration. */
struct ServicePolicy
{
    bool isModel = true;
    bool isRepeatable = true;
    std::string version;
    std::vector<std::string> servedBefore; ///< newest first
    std::int64_t minReadyPercent = 0;
    Milliseconds deadline{0};
    std::uint32_t maxInFlight = 0;
    std::uint32_t retryPercent = 0;
    Milliseconds addressLifetime{0};
};

/** A caller's request, checked. */
struct CallRequest
{
    std::string id;
    std::string service;
    std::string account;
    std::string target;
    std::string prefix;
    std::string keyText;
    std::optional<OnceKey> key;
    Instant deadline;
    std::uint32_t priority = 0;
    bool wantsStream = false;
    const std::string *body = nullptr; ///< lives in the exchange
};

/** How a whole request ended. */
struct CallEnding
{
    Outcome outcome;
    std::string body;
    std::string detail; ///< for refusals: the field and what was expected
    std::string version;
    bool streamed = false;
    bool isKeySpent = false; ///< the key's home refused it for good
    bool wasUpstreamFull = false; ///< an upstream refused for want of room
};

/** The callers' side of an entry: addresses, calls, retries, and their typed outcomes. */
class CallFront final : public Service
{
public:
    static constexpr std::string_view sName = "front";

    explicit CallFront(const asio::any_io_executor &executor);
    ~CallFront() override;

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    /** Stays reachable until no caller can hold an answer that names this entry. */
    awaitable<void> drain() override;
    void stop() override;

    bool isDraining() const { return mDraining; }
    std::uint32_t inFlight() const { return mInFlight; }

private:
    struct PerService
    {
        ServicePolicy policy;
        Admission admission;
        RetryBudget budget;
    };

    struct ParsedCall
    {
        CallRequest request;
        std::optional<CallEnding> refusal;
    };

    awaitable<void> handle(HttpExchange &exchange);
    awaitable<void> handleAddresses(HttpExchange &exchange);
    awaitable<void> handleCall(HttpExchange &exchange);
    awaitable<void> finish(HttpExchange &exchange, const CallRequest &request, CallEnding ending,
                           Instant arrived, Instant firstByte);

    ParsedCall parse(HttpExchange &exchange, Instant arrived);
    std::optional<CallEnding> parseHeaders(const HttpRequest &http, const ServicePolicy &policy,
                                           Instant arrived, CallRequest &request);
    PerService *serviceNamed(std::string_view name);
    ServicePolicy readPolicy(std::string_view service) const;
    std::string versionFor(std::string_view service, const ServicePolicy &policy) const;

    awaitable<CallEnding> run(PerService &service, const CallRequest &request,
                              const PieceHandler &onPiece);
    awaitable<CallEnding> runRepeatable(PerService &service, const CallRequest &request,
                                        const PieceHandler &onPiece);
    awaitable<CallEnding> runOnce(PerService &service, const CallRequest &request);
    awaitable<CallEnding> runUnkeyed(PerService &service, const CallRequest &request);
    awaitable<CallEnding> runAtHome(PerService &service, const CallRequest &request,
                                    std::string box, std::uint64_t incarnation);
    awaitable<CallEnding> runClaimed(PerService &service, const CallRequest &request,
                                     CallerKey key);
    bool mayRetry(PerService &service, const Outcome &outcome) const;
    std::optional<std::string> chooseBox(const CallRequest &request, std::string_view version,
                                         std::span<const std::string> excluded);
    wire::CallStart startOf(const CallRequest &request, std::string_view version) const;
    IssuedKey issueKey(const std::string &box);
    HttpResponse responseFor(const CallRequest &request, CallEnding &ending) const;

    PlatformService *mPlatform = nullptr;
    ConfigService *mConfig = nullptr;
    LinkService *mLinks = nullptr;
    ClaimService *mClaims = nullptr;
    BurnService *mBurn = nullptr;
    std::unique_ptr<CallSender> mSender;
    std::unique_ptr<HttpServer> mServer;
    std::map<std::string, PerService, std::less<>> mServices;
    Signal mEnded;
    std::uint32_t mInFlight = 0;
    std::uint64_t mLastRequest = 0;
    bool mDraining = false;
};

} // namespace Loom
