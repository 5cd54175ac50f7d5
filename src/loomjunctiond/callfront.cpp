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
#include "connectionservice.h"
#include "jsonhttp.h"
#include "jsonlog.h"
#include "linkservice.h"
#include "listservice.h"
#include "platformservice.h"
#include "rendezvous.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr std::string_view sCallPrefix = "/v1/services/";
constexpr Milliseconds sNotReadyRetryAfter{1'000};
constexpr std::uint64_t sAddressesStandard = 2;
constexpr std::uint64_t sMostKeys = 64;
constexpr std::uint64_t sAccountSpread = 8;
// Time in which the other entries hear that this one drains.
constexpr Milliseconds sDrainSpread{1'000};

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
    mBurn = &kernel.find<BurnService>(BurnService::sName);
    mRunner = std::make_unique<CallRunner>(*mPlatform, *mLinks,
                                           kernel.find<ClaimService>(ClaimService::sName));
    mConfig->addListener([this] {
        for (auto &[name, service] : mServices) {
            service.policy = readPolicy(mConfig->state(), name);
            service.admission.setCeiling(service.policy.maxInFlight);
            service.budget.setPercent(service.policy.retryPercent);
        }
    });
    mServer = std::make_unique<HttpServer>(
        kernel.executor(), [this](HttpExchange &exchange) { return handle(exchange); });
    mServer->setBudget(ConnectionService::budgetOf(kernel));
    return mServer->listen(std::get<EntrySettings>(mPlatform->settings().role).callers);
}

awaitable<void> CallFront::drain()
{
    mDraining = true;
    mLinks->announceDraining();
    Milliseconds lifetime{mConfig->state().integer("", "addresses.lifetimeMs")};
    for (const auto &[name, entry] : mConfig->state().services()) {
        lifetime = std::max(lifetime, readPolicy(mConfig->state(), name).addressLifetime);
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

ServiceState *CallFront::serviceNamed(std::string_view name)
{
    const auto it = mServices.find(name);
    if (it != mServices.end()) {
        return &it->second;
    }
    if (mConfig->state().service(name) == nullptr) {
        return nullptr;
    }
    ServicePolicy policy = readPolicy(mConfig->state(), name);
    ServiceState service{policy, Admission(policy.maxInFlight), RetryBudget(policy.retryPercent)};
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
    ServiceState *known = serviceNamed(service);
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
        if (const auto box
            = mRunner->chooseBox(query, mRunner->versionFor(service, known->policy), {})) {
            keys.emplace_back(mRunner->issueKey(*box).text());
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
            = refusedEnding(RefusalReason::BadRequest, "path: expected /v1/services/SERVICE/calls");
        return parsed;
    }
    if (!mConfig->isReady()) {
        parsed.refusal = refusedEnding(RefusalReason::NotReady,
                                       "this entry has no configuration yet", sNotReadyRetryAfter);
        return parsed;
    }
    ServiceState *service = serviceNamed(request.service);
    if (service == nullptr) {
        parsed.refusal = refusedEnding(RefusalReason::UnknownService,
                                       "path: no such service '" + request.service + "'");
        return parsed;
    }
    if (!mConfig->state().hasAccount(request.account)) {
        parsed.refusal
            = refusedEnding(RefusalReason::UnknownAccount,
                            "Loom-Account: no such client account '" + request.account + "'");
        return parsed;
    }
    parsed.refusal = readCallHeaders(http, service->policy, arrived, now(), request);
    return parsed;
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
    ServiceState &service = *serviceNamed(request.service);
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
    CallEnding ending = co_await mRunner->run(service, request, onPiece);
    service.admission.release(request.account, ending.wasUpstreamFull, now());
    const Instant first = firstByte == Instant() ? now() : firstByte;
    co_await finish(exchange, request, std::move(ending), arrived, first);
}

// ---- Answers out ------------------------------------------------------------

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
        co_await exchange.respond(callResponse(request, ending));
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
