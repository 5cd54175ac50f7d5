/*
 * callrequest.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "http.h"
#include "idempotencykey.h"
#include "instant.h"
#include "outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

class ConfigState;

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
    std::optional<IdempotencyKey> key;
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

/** Reads the settings of @p service out of the configuration. */
ServicePolicy readPolicy(const ConfigState &state, std::string_view service);

/** An ending in which nothing ran; @p detail names the field and what was expected. */
CallEnding refusedEnding(RefusalReason reason, std::string detail, Milliseconds retryAfter = {});

/**
 * Reads headers and body of @p http into @p request, which has its service
 * and account already; the refusal names the field that is wrong.
 */
std::optional<CallEnding> readCallHeaders(const HttpRequest &http, const ServicePolicy &policy,
                                          Instant arrived, Instant now, CallRequest &request);

/**
 * With a caller's key, "not run" is said only when the key's home said so, and
 * then for good. Any other refusal becomes "unknown, not settled".
 */
void settleKeyed(const CallRequest &request, CallEnding &ending);

/** The HTTP answer that tells a caller about @p ending; takes its body. */
HttpResponse callResponse(const CallRequest &request, CallEnding &ending);

} // namespace Loom
