/*
 * callfront.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "callfront.h"

#include "burnservice.h"
#include "claimservice.h"
#include "clock.h"
#include "configservice.h"
#include "jsonhttp.h"
#include "jsonlog.h"
#include "linkservice.h"
#include "listservice.h"
#include "overload.h"
#include "platformservice.h"
#include "rendezvous.h"

#include <algorithm>
#include <charconv>

namespace Loom {

namespace {

constexpr std::string_view sCallPrefix = "/v1/services/";
constexpr std::size_t sMostAttempts = 4;
constexpr std::size_t sPrefixCharacters = 64;
constexpr std::int64_t sMostDeadlineMs = 86'400'000;
constexpr std::int64_t sMostPriority = 9;
constexpr Milliseconds sNoUpstreamRetryAfter{1'000};
constexpr Milliseconds sLogRetryAfter{2'000};
constexpr Milliseconds sNotReadyRetryAfter{1'000};
constexpr Milliseconds sClaimWait{3'000};
constexpr std::uint64_t sAddressesStandard = 2;
constexpr std::uint64_t sMostKeys = 64;
constexpr std::uint64_t sAccountSpread = 8;
constexpr std::int64_t sPercent = 100;
// Time in which the other entries hear that this one drains.
constexpr Milliseconds sDrainSpread{1'000};

CallEnding refused(RefusalReason reason, std::string detail, Milliseconds retryAfter = {})
{
    CallEnding ending;
    ending.outcome = NotRun{reason, retryAfter};
    ending.detail = std::move(detail);
    return ending;
}

CallEnding endingOf(AttemptResult &&result)
{
    CallEnding ending;
    ending.outcome = result.outcome;
    ending.body = std::move(result.body);
    ending.streamed = result.streamed;
    ending.isKeySpent = result.isKeySpent;
    return ending;
}

bool isCallersMistake(RefusalReason reason)
{
    return reason == RefusalReason::BadRequest || reason == RefusalReason::UnknownService
        || reason == RefusalReason::UnknownAccount || reason == RefusalReason::TooLarge;
}

/**
 * With a caller's key, "not run" is said only when the key's home said so, and
 * then for good. Any other refusal speaks of this request alone: an earlier
 * one with the same key may have run, so the caller must repeat the key.
 */
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

bool isFull(const Outcome &outcome)
{
    const auto *notRun = std::get_if<NotRun>(&outcome);
    return notRun != nullptr && notRun->reason == RefusalReason::Overloaded;
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

CallFront::CallFront(const asio::any_io_executor &executor)
    : mEnded(executor)
{
}

CallFront::~CallFront() = default;

tl::expected<void, std::string> CallFront::start(Kernel &kernel)
{
    mPlatform = &kernel.find<PlatformService>(PlatformService::sName);
    mConfig = &kernel.find<ConfigService>(ConfigService::sName);
    mLinks = &kernel.find<LinkService>(LinkService::sName);
    mClaims = &kernel.find<ClaimService>(ClaimService::sName);
    mBurn = &kernel.find<BurnService>(BurnService::sName);
    mSender = std::make_unique<CallSender>(*mPlatform, *mLinks);
    mConfig->addListener([this] {
        for (auto &[name, service] : mServices) {
            service.policy = readPolicy(name);
            service.admission.setCeiling(service.policy.maxInFlight);
            service.budget.setPercent(service.policy.retryPercent);
        }
    });
    mServer = std::make_unique<HttpServer>(
        kernel.executor(), [this](HttpExchange &exchange) { return handle(exchange); });
    return mServer->listen(std::get<EntrySettings>(mPlatform->settings().role).callers);
}

awaitable<void> CallFront::drain()
{
    mDraining = true;
    mLinks->announceDraining();
    Milliseconds lifetime{mConfig->state().integer("", "addresses.lifetimeMs")};
    for (const auto &[name, entry] : mConfig->state().services()) {
        lifetime = std::max(lifetime, readPolicy(name).addressLifetime);
    }
    logLine(LogLevel::Info, "entry-draining",
            {{"lifetimeMs", lifetime.count()}, {"inFlight", mInFlight}});
    co_await sleepFor(lifetime + sDrainSpread);
    while (mInFlight > 0) {
        co_await mEnded.waitFor(std::chrono::seconds(1));
    }
    mServer->stopListening();
}

void CallFront::stop()
{
    mServer->stopListening();
}

ServicePolicy CallFront::readPolicy(std::string_view name) const
{
    const ConfigState &state = mConfig->state();
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

CallFront::PerService *CallFront::serviceNamed(std::string_view name)
{
    const auto it = mServices.find(name);
    if (it != mServices.end()) {
        return &it->second;
    }
    if (mConfig->state().service(name) == nullptr) {
        return nullptr;
    }
    ServicePolicy policy = readPolicy(name);
    PerService service{policy, Admission(policy.maxInFlight), RetryBudget(policy.retryPercent)};
    return &mServices.emplace(std::string(name), std::move(service)).first->second;
}

// ---- Requests in ------------------------------------------------------------

awaitable<void> CallFront::handle(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    if (request.path() == "/v1/addresses" && request.method == "GET") {
        co_await handleAddresses(exchange);
    } else if (request.path().starts_with(sCallPrefix) && request.method == "POST") {
        ++mInFlight;
        co_await handleCall(exchange);
        --mInFlight;
        mEnded.notify();
    } else {
        co_await exchange.respond(errorResponse(404,
                                                "expected GET /v1/addresses or POST "
                                                "/v1/services/SERVICE/calls"));
    }
}

awaitable<void> CallFront::handleAddresses(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string service(request.query("service").value_or(""));
    const std::string account(request.query("account").value_or(""));
    PerService *known = serviceNamed(service);
    if (known == nullptr) {
        co_await exchange.respond(
            errorResponse(404, "parameter 'service': no such service '" + service + "'"));
        co_return;
    }
    std::vector<ListedBox> entries = mLinks->entriesFor(service);
    std::erase_if(entries, [&](const ListedBox &entry) {
        return mDraining && entry.box == mPlatform->box();
    });
    std::vector<std::string> names;
    for (const ListedBox &entry : entries) {
        names.push_back(entry.box);
    }
    // A large account's callers must not all land on one entry.
    const std::string key = account + "/" + std::to_string(mPlatform->random() % sAccountSpread);
    const std::uint64_t count = queryNumber(request, "count", sAddressesStandard);
    boost::json::array addresses;
    for (const std::size_t index : rendezvousOrder(key, names, count)) {
        addresses.emplace_back(endpointText(entries[index].callers));
    }
    boost::json::array keys;
    const std::uint64_t wanted = std::min(queryNumber(request, "keys", 0), sMostKeys);
    CallRequest query;
    query.service = service;
    for (std::uint64_t i = 0; i < wanted; ++i) {
        if (const auto box = chooseBox(query, versionFor(service, known->policy), {})) {
            keys.emplace_back(issueKey(*box).text());
        }
    }
    boost::json::object answer;
    answer["addresses"] = std::move(addresses);
    answer["lifetimeMs"] = known->policy.addressLifetime.count();
    answer["keys"] = std::move(keys);
    co_await exchange.respond(jsonResponse(200, answer));
}

CallFront::ParsedCall CallFront::parse(HttpExchange &exchange, Instant arrived)
{
    const HttpRequest &http = exchange.request();
    ParsedCall parsed;
    CallRequest &request = parsed.request;
    request.id = mPlatform->box() + "-" + std::to_string(++mLastRequest);
    request.body = &http.body;
    std::string_view path = http.path();
    path.remove_prefix(sCallPrefix.size());
    request.service = takeSegment(path);
    const std::string_view word = takeSegment(path);
    request.target = path.empty() ? "/" : std::string(path);
    request.account = http.header("Loom-Account");
    if (word != "calls") {
        parsed.refusal
            = refused(RefusalReason::BadRequest, "path: expected /v1/services/SERVICE/calls");
        return parsed;
    }
    if (!mConfig->isReady()) {
        parsed.refusal = refused(RefusalReason::NotReady, "this entry has no configuration yet",
                                 sNotReadyRetryAfter);
        return parsed;
    }
    PerService *service = serviceNamed(request.service);
    if (service == nullptr) {
        parsed.refusal = refused(RefusalReason::UnknownService,
                                 "path: no such service '" + request.service + "'");
        return parsed;
    }
    parsed.refusal = parseHeaders(http, service->policy, arrived, request);
    return parsed;
}

std::optional<CallEnding> CallFront::parseHeaders(const HttpRequest &http,
                                                  const ServicePolicy &policy, Instant arrived,
                                                  CallRequest &request)
{
    if (!mConfig->state().hasAccount(request.account)) {
        return refused(RefusalReason::UnknownAccount,
                       "Loom-Account: no such client account '" + request.account + "'");
    }
    request.keyText = http.header("Loom-Key");
    if (!request.keyText.empty()) {
        auto key = parseOnceKey(request.keyText);
        if (!key) {
            return refused(RefusalReason::BadRequest, key.error());
        }
        request.key = std::move(*key);
    }
    request.deadline = arrived + policy.deadline;
    if (const std::string_view text = http.header("Loom-Deadline-Ms"); !text.empty()) {
        const auto number = wholeNumber(text, sMostDeadlineMs);
        if (!number) {
            return refused(RefusalReason::BadRequest,
                           "Loom-Deadline-Ms: expected milliseconds from 0 to 86400000, found '"
                               + std::string(text) + "'");
        }
        request.deadline = arrived + Milliseconds(*number);
    }
    if (request.deadline <= now()) {
        return refused(RefusalReason::DeadlinePassed, "Loom-Deadline-Ms: has passed");
    }
    if (const std::string_view text = http.header("Loom-Priority"); !text.empty()) {
        const auto number = wholeNumber(text, sMostPriority);
        if (!number) {
            return refused(RefusalReason::BadRequest,
                           "Loom-Priority: expected 0 to 9, found '" + std::string(text) + "'");
        }
        request.priority = static_cast<std::uint32_t>(*number);
    }
    if (policy.isModel) {
        boost::system::error_code error;
        const boost::json::value body = boost::json::parse(http.body, error);
        if (error || !body.is_object()) {
            return refused(RefusalReason::BadRequest, "body: expected a JSON object");
        }
        request.prefix = promptPrefix(http.body);
    }
    request.wantsStream = http.header("Loom-Stream") == "1";
    return std::nullopt;
}

awaitable<void> CallFront::handleCall(HttpExchange &exchange)
{
    const Instant arrived = now();
    ParsedCall parsed = parse(exchange, arrived);
    const CallRequest &request = parsed.request;
    if (parsed.refusal) {
        co_await finish(exchange, request, std::move(*parsed.refusal), arrived, now());
        co_return;
    }
    PerService &service = *serviceNamed(request.service);
    const std::uint32_t weight = mConfig->state().accountWeight(request.account);
    if (const auto refusal = service.admission.admit(request.account, weight, now())) {
        CallEnding ending;
        ending.outcome = *refusal;
        co_await finish(exchange, request, std::move(ending), arrived, now());
        co_return;
    }
    service.budget.noteRequest();
    Instant firstByte;
    const PieceHandler onPiece = [&](const wire::CallEvent &event) -> awaitable<bool> {
        if (firstByte == Instant()) {
            firstByte = now();
            HttpResponse head;
            head.headers.push_back({"Content-Type", "application/json"});
            head.headers.push_back({"Loom-Request-Id", request.id});
            head.headers.push_back({"Loom-Version", event.version()});
            if (!co_await exchange.beginStream(std::move(head))) {
                co_return false;
            }
        }
        co_return co_await exchange.write(event.data());
    };
    CallEnding ending = co_await run(service, request, onPiece);
    service.admission.release(request.account, ending.wasUpstreamFull, now());
    const Instant first = firstByte == Instant() ? now() : firstByte;
    co_await finish(exchange, request, std::move(ending), arrived, first);
}

// ---- Running ----------------------------------------------------------------

awaitable<CallEnding> CallFront::run(PerService &service, const CallRequest &request,
                                     const PieceHandler &onPiece)
{
    const bool once = request.key.has_value() || !service.policy.isRepeatable;
    if (once) {
        co_return co_await runOnce(service, request);
    }
    co_return co_await runRepeatable(service, request, onPiece);
}

std::string CallFront::versionFor(std::string_view name, const ServicePolicy &policy) const
{
    if (!policy.isModel) {
        return {};
    }
    // A promoted version takes over once enough replicas hold it; until then
    // the one before still answers, whole.
    const UpstreamTable &upstreams = mLinks->upstreams();
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

std::optional<std::string> CallFront::chooseBox(const CallRequest &request,
                                                std::string_view version,
                                                std::span<const std::string> excluded)
{
    RouteQuery query;
    query.service = request.service;
    query.version = version;
    query.prefix = request.prefix;
    query.dataCentre = mPlatform->settings().dataCentre;
    query.excluded = excluded;
    query.random = mPlatform->random();
    return mLinks->upstreams().choose(query, now());
}

wire::CallStart CallFront::startOf(const CallRequest &request, std::string_view version) const
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

bool CallFront::mayRetry(PerService &service, const Outcome &outcome) const
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

awaitable<CallEnding> CallFront::runRepeatable(PerService &service, const CallRequest &request,
                                               const PieceHandler &onPiece)
{
    std::vector<std::string> tried;
    CallEnding ending = refused(RefusalReason::NoUpstream, "no upstream can take this now",
                                sNoUpstreamRetryAfter);
    bool mayHaveRun = false;
    bool full = false;
    while (tried.size() < sMostAttempts) {
        const std::string version = versionFor(request.service, service.policy);
        const auto box = chooseBox(request, version, tried);
        if (!box) {
            break;
        }
        tried.push_back(*box);
        ending = endingOf(co_await mSender->send(*box, startOf(request, version), request.deadline,
                                                 request.wantsStream ? onPiece : PieceHandler()));
        ending.version = version;
        mayHaveRun = mayHaveRun || std::holds_alternative<Unknown>(ending.outcome);
        full = full || isFull(ending.outcome);
        // Once a piece is out, a second answer could not be told from the first.
        if (ending.streamed || !mayRetry(service, ending.outcome)) {
            break;
        }
        mPlatform->metrics().count("retries", request.service);
    }
    const bool refusedLast = std::holds_alternative<NotRun>(ending.outcome);
    if (mayHaveRun && refusedLast) {
        ending.outcome = Unknown{UnknownReason::LinkCut};
    }
    ending.wasUpstreamFull = full;
    co_return ending;
}

IssuedKey CallFront::issueKey(const std::string &box)
{
    IssuedKey key;
    key.unique = makeUuid7(wallNow(), mPlatform->random(), mPlatform->random());
    key.homeBox = box;
    const Upstream *upstream = mLinks->upstreams().find(box);
    key.homeIncarnation = upstream == nullptr ? 0 : upstream->incarnation;
    key.expires = wallNow() + sKeyWindow;
    return key;
}

awaitable<CallEnding> CallFront::runOnce(PerService &service, const CallRequest &request)
{
    if (!request.key) {
        co_return co_await runUnkeyed(service, request);
    }
    if (const auto *issued = std::get_if<IssuedKey>(&*request.key)) {
        co_return co_await runAtHome(service, request, issued->homeBox, issued->homeIncarnation);
    }
    co_return co_await runClaimed(service, request, std::get<CallerKey>(*request.key));
}

awaitable<CallEnding> CallFront::runUnkeyed(PerService &service, const CallRequest &request)
{
    // Nobody else knows the keys made here, so a refused one can be left behind.
    std::vector<std::string> tried;
    CallEnding ending = refused(RefusalReason::NoUpstream, "no upstream can take this now",
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

awaitable<CallEnding> CallFront::runAtHome(PerService &service, const CallRequest &request,
                                           std::string box, std::uint64_t incarnation)
{
    const Upstream *upstream = mLinks->upstreams().find(box);
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
    CallEnding ending
        = endingOf(co_await mSender->send(std::move(box), std::move(start), request.deadline, {}));
    ending.version = version;
    co_return ending;
}

awaitable<CallEnding> CallFront::runClaimed(PerService &service, const CallRequest &request,
                                            CallerKey key)
{
    const WallMilliseconds at = wallNow();
    if (key.born > at + sClockSkew) {
        co_return refused(RefusalReason::BadRequest, "Loom-Key: its time lies in the future");
    }
    if (at - key.born >= sKeyWindow) {
        CallEnding ending;
        ending.outcome = Unknown{UnknownReason::KeyExpired};
        co_return ending;
    }
    const auto box = chooseBox(request, versionFor(request.service, service.policy), {});
    if (!box) {
        co_return refused(RefusalReason::NoUpstream, "no upstream can take this now",
                          sNoUpstreamRetryAfter);
    }
    const Upstream *upstream = mLinks->upstreams().find(*box);
    const ClaimedHome wanted{request.service, *box, upstream->incarnation};
    const auto left = std::chrono::duration_cast<Milliseconds>(request.deadline - now());
    const ClaimOutcome claim
        = co_await mClaims->settle(std::move(key), wanted, std::min(sClaimWait, left));
    if (claim.isTooOld) {
        CallEnding ending;
        ending.outcome = Unknown{UnknownReason::KeyExpired};
        co_return ending;
    }
    if (!claim.home) {
        co_return refused(RefusalReason::LogUnavailable,
                          "the log does not answer; issued keys work without it", sLogRetryAfter);
    }
    if (claim.home->service != request.service) {
        co_return refused(RefusalReason::BadRequest, "Loom-Key: used for another service before");
    }
    co_return co_await runAtHome(service, request, claim.home->box, claim.home->incarnation);
}

// ---- Answers out ------------------------------------------------------------

HttpResponse CallFront::responseFor(const CallRequest &request, CallEnding &ending) const
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

awaitable<void> CallFront::finish(HttpExchange &exchange, const CallRequest &request,
                                  CallEnding ending, Instant arrived, Instant firstByte)
{
    settleKeyed(request, ending);
    Metrics &metrics = mPlatform->metrics();
    metrics.count("calls", outcomeName(ending.outcome));
    if (mConfig->state().service(request.service) != nullptr
        && mConfig->state().hasAccount(request.account)) {
        mBurn->note(request.service, request.account, ending.outcome, firstByte - arrived);
    }
    const double milliseconds = std::chrono::duration<double, std::milli>(now() - arrived).count();
    metrics.observe("call_milliseconds", request.service, milliseconds);
    logLine(LogLevel::Debug, "call",
            {{"request", request.id},
             {"service", request.service},
             {"account", request.account},
             {"outcome", outcomeName(ending.outcome)},
             {"milliseconds", milliseconds}});
    if (!ending.streamed) {
        co_await exchange.respond(responseFor(request, ending));
        co_return;
    }
    const auto *answered = std::get_if<Answered>(&ending.outcome);
    if (answered == nullptr) {
        exchange.abort(); // a cut answer must not look whole
        co_return;
    }
    if (co_await exchange.write(ending.body)) {
        co_await exchange.endStream();
    }
}

} // namespace Loom
