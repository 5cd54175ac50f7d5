/*
 * callrequest.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "callrequest.h"

#include "configstate.h"
#include "overload.h"

#include <charconv>

#include <boost/json.hpp>

namespace Loom {

namespace {

constexpr std::size_t sPrefixCharacters = 64;
constexpr std::int64_t sMostDeadlineMs = 86'400'000;
constexpr std::int64_t sMostPriority = 9;

bool isCallersMistake(RefusalReason reason)
{
    return reason == RefusalReason::BadRequest || reason == RefusalReason::UnknownService
        || reason == RefusalReason::UnknownAccount || reason == RefusalReason::TooLarge;
}

/** The start of the prompt, found without parsing the whole body. */
std::string promptPrefix(std::string_view body)
{
    constexpr std::string_view sField = "\"prompt\":";
    std::size_t at = body.find(sField);
    if (at == std::string_view::npos) {
        return {};
    }
    at = body.find('"', at + sField.size());
    return at == std::string_view::npos ? std::string()
                                        : std::string(body.substr(at + 1, sPrefixCharacters));
}

std::optional<std::int64_t> wholeNumber(std::string_view text, std::int64_t most)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool fits
        = error == std::errc() && end == text.data() + text.size() && number >= 0 && number <= most;
    return fits ? std::optional(number) : std::nullopt;
}

} // namespace

ServicePolicy readPolicy(const ConfigState &state, std::string_view name)
{
    ServicePolicy policy;
    const wire::ServiceEntry *entry = state.service(name);
    policy.isModel = entry != nullptr && entry->kind() == wire::SERVICE_MODEL;
    if (entry != nullptr) {
        policy.servedBefore = {entry->served_before().begin(), entry->served_before().end()};
    }
    policy.isRepeatable = state.isTrue(name, "calls.repeatable");
    policy.version = state.text(name, "model.version");
    policy.minReadyPercent = state.integer(name, "rollout.minReadyPercent");
    policy.deadline = Milliseconds(state.integer(name, "calls.deadlineMs"));
    policy.maxInFlight = static_cast<std::uint32_t>(state.integer(name, "admission.maxInFlight"));
    policy.retryPercent = static_cast<std::uint32_t>(state.integer(name, "retry.budgetPercent"));
    policy.addressLifetime = Milliseconds(state.integer(name, "addresses.lifetimeMs"));
    return policy;
}

CallEnding refusedEnding(RefusalReason reason, std::string detail, Milliseconds retryAfter)
{
    CallEnding ending;
    ending.outcome = NotRun{reason, retryAfter};
    ending.detail = std::move(detail);
    return ending;
}

std::optional<CallEnding> readCallHeaders(const HttpRequest &http, const ServicePolicy &policy,
                                          Instant arrived, Instant now, CallRequest &request)
{
    request.keyText = http.header("Loom-Key");
    if (!request.keyText.empty()) {
        auto key = parseIdempotencyKey(request.keyText);
        if (!key) {
            return refusedEnding(RefusalReason::BadRequest, key.error());
        }
        request.key = std::move(*key);
    }
    request.deadline = arrived + policy.deadline;
    if (const std::string_view text = http.header("Loom-Deadline-Ms"); !text.empty()) {
        const auto number = wholeNumber(text, sMostDeadlineMs);
        if (!number) {
            return refusedEnding(
                RefusalReason::BadRequest,
                "Loom-Deadline-Ms: expected milliseconds from 0 to 86400000, found '"
                    + std::string(text) + "'");
        }
        request.deadline = arrived + Milliseconds(*number);
    }
    if (request.deadline <= now) {
        return refusedEnding(RefusalReason::DeadlinePassed, "Loom-Deadline-Ms: has passed");
    }
    if (const std::string_view text = http.header("Loom-Priority"); !text.empty()) {
        const auto number = wholeNumber(text, sMostPriority);
        if (!number) {
            return refusedEnding(RefusalReason::BadRequest,
                                 "Loom-Priority: expected 0 to 9, found '" + std::string(text)
                                     + "'");
        }
        request.priority = static_cast<std::uint32_t>(*number);
    }
    if (policy.isModel) {
        boost::system::error_code error;
        const boost::json::value body = boost::json::parse(http.body, error);
        if (error || !body.is_object()) {
            return refusedEnding(RefusalReason::BadRequest, "body: expected a JSON object");
        }
        request.prefix = promptPrefix(http.body);
    }
    request.wantsStream = http.header("Loom-Stream") == "1";
    return std::nullopt;
}

void settleKeyed(const CallRequest &request, CallEnding &ending)
{
    const auto *notRun = std::get_if<NotRun>(&ending.outcome);
    const bool isCertain
        = notRun == nullptr || ending.isKeySpent || isCallersMistake(notRun->reason);
    if (!request.key || isCertain) {
        return;
    }
    if (ending.detail.empty()) {
        ending.detail = std::string(reasonName(notRun->reason)) + ": repeat with the same key";
    }
    ending.outcome = Unknown{UnknownReason::NotSettled, notRun->retryAfter};
}

HttpResponse callResponse(const CallRequest &request, CallEnding &ending)
{
    HttpResponse response;
    response.status = httpStatus(ending.outcome);
    response.headers.push_back({"Content-Type", "application/json"});
    response.headers.push_back({"Loom-Request-Id", request.id});
    response.headers.push_back({"Loom-Outcome", std::string(outcomeName(ending.outcome))});
    if (!ending.version.empty()) {
        response.headers.push_back({"Loom-Version", ending.version});
    }
    if (std::holds_alternative<Answered>(ending.outcome)) {
        response.body = std::move(ending.body);
        return response;
    }
    std::string reason;
    Milliseconds retryAfter{0};
    std::visit(Overload{
                   [](const Answered &) {},
                   [&](const NotRun &notRun) {
                       reason = reasonName(notRun.reason);
                       retryAfter = notRun.retryAfter;
                   },
                   [&](const Unknown &unknown) {
                       reason = reasonName(unknown.reason);
                       retryAfter = unknown.retryAfter;
                   },
               },
               ending.outcome);
    boost::json::object body;
    body["outcome"] = outcomeName(ending.outcome);
    body["reason"] = reason;
    if (!ending.detail.empty()) {
        body["error"] = ending.detail;
    }
    if (retryAfter.count() > 0) {
        const std::int64_t seconds = (retryAfter.count() + 999) / 1000;
        response.headers.push_back({"Retry-After", std::to_string(seconds)});
        body["retryAfterMs"] = retryAfter.count();
    }
    if (ending.isKeySpent) {
        response.headers.push_back({"Loom-Key-Spent", "1"});
    }
    response.headers.push_back({"Loom-Reason", reason});
    response.body = boost::json::serialize(body);
    return response;
}

} // namespace Loom
