/*
 * callrunner.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "callrunner.h"

#include "claimservice.h"
#include "clock.h"
#include "jsonlog.h"
#include "linkservice.h"
#include "overload.h"
#include "platformservice.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr std::size_t sMostAttempts = 4;
constexpr Milliseconds sNoUpstreamRetryAfter{1'000};
constexpr Milliseconds sLogRetryAfter{2'000};
constexpr Milliseconds sClaimWait{3'000};
constexpr std::int64_t sPercent = 100;

CallEnding endingOf(AttemptResult &&result)
{
    CallEnding ending;
    ending.outcome = result.outcome;
    ending.body = std::move(result.body);
    ending.streamed = result.streamed;
    ending.isKeySpent = result.isKeySpent;
    return ending;
}

RequestDigest digestOf(const CallRequest &request)
{
    return RequestDigest::of(request.account, request.service + "/" + request.target,
                             *request.body);
}

bool isFull(const Outcome &outcome)
{
    const auto *notRun = std::get_if<NotRun>(&outcome);
    return notRun != nullptr && notRun->reason == RefusalReason::Overloaded;
}

} // namespace

CallRunner::CallRunner(PlatformService &platform, LinkService &links, ClaimService &claims)
    : mPlatform(platform)
    , mLinks(links)
    , mClaims(claims)
    , mSender(platform, links)
{
}

awaitable<CallEnding> CallRunner::run(ServiceState &service, const CallRequest &request,
                                      const PieceHandler &onPiece)
{
    if (auto refused = refusedAsCrashing(request)) {
        co_return std::move(*refused);
    }
    const bool once = request.key.has_value() || !service.policy.isRepeatable;
    if (once) {
        co_return co_await runOnce(service, request);
    }
    co_return co_await runRepeatable(service, request, onPiece);
}

// Whoever calls again with what ended an upstream is new to every budget; only the request
// itself can be told again.
std::optional<CallEnding> CallRunner::refusedAsCrashing(const CallRequest &request) const
{
    if (mCrashing.isEmpty()) {
        return std::nullopt;
    }
    const auto left = mCrashing.refusedFor(digestOf(request), true, now());
    if (!left) {
        return std::nullopt;
    }
    return refusedEnding(RefusalReason::EndsUpstreams, "upstreams broke off under this request",
                         *left);
}

// An agent says whether its upstream broke off, but not whether that ended; each time
// counts, and one whole answer clears the request.
void CallRunner::noteAttempt(const CallRequest &request, std::string_view box,
                             const Outcome &outcome)
{
    const Instant at = now();
    const auto *unknown = std::get_if<Unknown>(&outcome);
    if (unknown != nullptr && unknown->reason == UnknownReason::UpstreamCut) {
        mCrashing.sweep(at);
        const RequestDigest digest = digestOf(request);
        const std::string life = std::string(box) + "@" + std::to_string(++mCuts);
        if (mCrashing.noteCrash(digest, request.account, life, at) == QuarantineNews::Refused) {
            logLine(LogLevel::Warning, "request-quarantined",
                    {{"request", digest.text()}, {"account", request.account}, {"from", "own"}});
        }
    }
    if (std::holds_alternative<Answered>(outcome) && !mCrashing.isEmpty()) {
        mCrashing.noteSuccess(digestOf(request), at);
    }
}

std::string CallRunner::versionFor(std::string_view name, const ServicePolicy &policy) const
{
    if (!policy.isModel) {
        return {};
    }
    // A promoted version takes over once enough replicas hold it; until then
    // the one before still answers, whole.
    const UpstreamTable &upstreams = mLinks.upstreams();
    const Instant at = now();
    const auto ready = static_cast<std::int64_t>(upstreams.countReady(name, policy.version, at));
    const auto usable = static_cast<std::int64_t>(upstreams.countReady(name, "", at));
    const bool enough = ready > 0 && ready * sPercent >= usable * policy.minReadyPercent;
    if (enough) {
        return policy.version;
    }
    // Not just the last one: promotions may follow each other faster than
    // replicas can load.
    for (const std::string &older : policy.servedBefore) {
        if (upstreams.countReady(name, older, at) > 0) {
            return older;
        }
    }
    return policy.version;
}

std::optional<std::string> CallRunner::chooseBox(const CallRequest &request,
                                                 std::string_view version,
                                                 std::span<const std::string> excluded)
{
    RouteQuery query;
    query.service = request.service;
    query.version = version;
    query.prefix = request.prefix;
    query.dataCentre = mPlatform.settings().dataCentre;
    query.excluded = excluded;
    query.random = mPlatform.random();
    return mLinks.upstreams().choose(query, now());
}

wire::CallStart CallRunner::startOf(const CallRequest &request, std::string_view version)
{
    wire::CallStart start;
    start.set_request_id(request.id);
    start.set_service(request.service);
    start.set_account(request.account);
    start.set_version(std::string(version));
    start.set_priority(request.priority);
    start.set_stream(request.wantsStream);
    start.set_target(request.target);
    start.set_body(*request.body);
    return start;
}

bool CallRunner::mayRetry(ServiceState &service, const Outcome &outcome)
{
    return std::visit(Overload{
                          [](const Answered &) { return false; },
                          [&](const NotRun &notRun) {
                              switch (notRun.reason) {
                              case RefusalReason::UpstreamLeaving:
                              case RefusalReason::VersionNotLoaded:
                              case RefusalReason::UpstreamUnreachable:
                              case RefusalReason::Revoked:
                                  return true; // nothing ran and the next upstream may well be free
                              case RefusalReason::Overloaded:
                                  return service.budget.take();
                              default:
                                  return false;
                              }
                          },
                          [&](const Unknown &unknown) {
                              return unknown.reason != UnknownReason::DeadlinePassed
                                  && service.budget.take();
                          },
                      },
                      outcome);
}

awaitable<CallEnding> CallRunner::runRepeatable(ServiceState &service, const CallRequest &request,
                                                const PieceHandler &onPiece)
{
    std::vector<std::string> tried;
    CallEnding ending = refusedEnding(RefusalReason::NoUpstream, "no upstream can take this now",
                                      sNoUpstreamRetryAfter);
    // Not inside the awaited call: GCC 12 destroys such a temporary twice.
    const PieceHandler pieces = request.wantsStream ? onPiece : PieceHandler();
    bool mayHaveRun = false;
    bool full = false;
    while (tried.size() < sMostAttempts) {
        const std::string version = versionFor(request.service, service.policy);
        const auto box = chooseBox(request, version, tried);
        if (!box) {
            break;
        }
        tried.push_back(*box);
        AttemptResult result
            = co_await mSender.send(*box, startOf(request, version), request.deadline, pieces);
        ending = endingOf(std::move(result));
        ending.version = version;
        mayHaveRun = mayHaveRun || std::holds_alternative<Unknown>(ending.outcome);
        full = full || isFull(ending.outcome);
        noteAttempt(request, *box, ending.outcome);
        const bool isRetryForbidden
            = !mCrashing.isEmpty() && mCrashing.isRetryForbidden(digestOf(request));
        // Once a piece is out, a second answer could not be told from the first.
        if (ending.streamed || isRetryForbidden || !mayRetry(service, ending.outcome)) {
            break;
        }
        mPlatform.metrics().count("retries", request.service);
    }
    const bool refusedLast = std::holds_alternative<NotRun>(ending.outcome);
    if (mayHaveRun && refusedLast) {
        ending.outcome = Unknown{UnknownReason::LinkCut};
    }
    ending.wasUpstreamFull = full;
    co_return ending;
}

IssuedKey CallRunner::issueKey(const std::string &box)
{
    IssuedKey key;
    key.uuid = makeUuid7(wallNow(), mPlatform.random(), mPlatform.random());
    key.homeBox = box;
    const Upstream *upstream = mLinks.upstreams().find(box);
    key.homeIncarnation = upstream == nullptr ? 0 : upstream->incarnation;
    key.expires = wallNow() + sKeyLifetime;
    return key;
}

awaitable<CallEnding> CallRunner::runOnce(ServiceState &service, const CallRequest &request)
{
    if (!request.key) {
        co_return co_await runUnkeyed(service, request);
    }
    if (const auto *issued = std::get_if<IssuedKey>(&*request.key)) {
        co_return co_await runAtHome(service, request, issued->homeBox, issued->homeIncarnation);
    }
    co_return co_await runClaimed(service, request, std::get<CallerKey>(*request.key));
}

awaitable<CallEnding> CallRunner::runUnkeyed(ServiceState &service, const CallRequest &request)
{
    // Nobody else knows the keys made here, so a refused one can be left behind.
    std::vector<std::string> tried;
    CallEnding ending = refusedEnding(RefusalReason::NoUpstream, "no upstream can take this now",
                                      sNoUpstreamRetryAfter);
    bool full = false;
    while (tried.size() < sMostAttempts) {
        const auto box = chooseBox(request, versionFor(request.service, service.policy), tried);
        if (!box) {
            break;
        }
        tried.push_back(*box);
        CallRequest keyed = request;
        const IssuedKey key = issueKey(*box);
        keyed.keyText = key.text();
        ending = co_await runAtHome(service, keyed, *box, key.homeIncarnation);
        ending.isKeySpent = false;
        full = full || isFull(ending.outcome);
        const bool safe = std::holds_alternative<NotRun>(ending.outcome);
        if (!safe || !mayRetry(service, ending.outcome)) {
            break;
        }
    }
    ending.wasUpstreamFull = full;
    co_return ending;
}

awaitable<CallEnding> CallRunner::runAtHome(ServiceState &service, const CallRequest &request,
                                            std::string box, std::uint64_t incarnation)
{
    const Upstream *upstream = mLinks.upstreams().find(box);
    const bool isGone = upstream == nullptr || upstream->incarnation != incarnation;
    if (isGone || upstream->service != request.service) {
        CallEnding ending;
        ending.outcome = Unknown{UnknownReason::HomeGone};
        co_return ending;
    }
    const std::string version = versionFor(request.service, service.policy);
    wire::CallStart start = startOf(request, version);
    start.set_stream(false);
    start.set_once_key(request.keyText);
    start.set_home_incarnation(incarnation);
    const std::string home = box;
    CallEnding ending
        = endingOf(co_await mSender.send(std::move(box), std::move(start), request.deadline, {}));
    noteAttempt(request, home, ending.outcome);
    ending.version = version;
    co_return ending;
}

awaitable<CallEnding> CallRunner::runClaimed(ServiceState &service, const CallRequest &request,
                                             CallerKey key)
{
    const WallMilliseconds at = wallNow();
    if (key.createdAt > at + sMaxClockSkew) {
        co_return refusedEnding(RefusalReason::BadRequest, "Loom-Key: its time lies in the future");
    }
    if (at - key.createdAt >= sKeyLifetime) {
        CallEnding ending;
        ending.outcome = Unknown{UnknownReason::KeyExpired};
        co_return ending;
    }
    const auto box = chooseBox(request, versionFor(request.service, service.policy), {});
    if (!box) {
        co_return refusedEnding(RefusalReason::NoUpstream, "no upstream can take this now",
                                sNoUpstreamRetryAfter);
    }
    const Upstream *upstream = mLinks.upstreams().find(*box);
    const ClaimedHome wanted{request.service, *box, upstream->incarnation};
    const auto left = std::chrono::duration_cast<Milliseconds>(request.deadline - now());
    const ClaimOutcome claim
        = co_await mClaims.settle(std::move(key), wanted, std::min(sClaimWait, left));
    if (claim.isTooOld) {
        CallEnding ending;
        ending.outcome = Unknown{UnknownReason::KeyExpired};
        co_return ending;
    }
    if (!claim.home) {
        co_return refusedEnding(RefusalReason::LogUnavailable,
                                "the log does not answer; issued keys work without it",
                                sLogRetryAfter);
    }
    if (claim.home->service != request.service) {
        co_return refusedEnding(RefusalReason::BadRequest,
                                "Loom-Key: used for another service before");
    }
    co_return co_await runAtHome(service, request, claim.home->box, claim.home->incarnation);
}

} // namespace Loom
