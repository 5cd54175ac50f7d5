/*
 * adminapi.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "adminapi.h"

#include "burnservice.h"
#include "callfront.h"
#include "changejson.h"
#include "clock.h"
#include "configservice.h"
#include "configtail.h"
#include "connectionservice.h"
#include "jsonhttp.h"
#include "jsonlog.h"
#include "linkservice.h"
#include "listservice.h"
#include "platformservice.h"
#include "settingschema.h"

namespace Loom {

namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds sSubmitWait{10'000};
constexpr std::uint64_t sHistoryStandard = 20;
constexpr std::string_view sChangePrefix = "/admin/changes/";

json::value parsedValue(const std::string &text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    return error ? json::value(text) : value;
}

json::object resultJson(const ChangeResult &result)
{
    json::object object;
    object["accepted"] = result.accepted;
    object["offset"] = result.offset;
    if (!result.reason.empty()) {
        object["reason"] = result.reason;
    }
    return object;
}

json::object fateJson(const wire::ChangeFate &fate)
{
    json::object object;
    object["offset"] = fate.offset();
    object["changeId"] = fate.change_id();
    object["author"] = fate.author();
    object["accepted"] = fate.accepted();
    object["reason"] = fate.reason();
    object["summary"] = fate.summary();
    return object;
}

} // namespace

AdminApi::AdminApi(std::function<void()> requestDrain)
    : mRequestDrain(std::move(requestDrain))
{
}

tl::expected<void, std::string> AdminApi::start(Kernel &kernel)
{
    mPlatform = &kernel.find<PlatformService>(PlatformService::sName);
    mConfig = &kernel.find<ConfigService>(ConfigService::sName);
    mTail = &kernel.find<ConfigTail>(ConfigTail::sName);
    mLinks = &kernel.find<LinkService>(LinkService::sName);
    mList = &kernel.find<ListService>(ListService::sName);
    mBurn = &kernel.find<BurnService>(BurnService::sName);
    mFront = &kernel.find<CallFront>(CallFront::sName);
    mServer = std::make_unique<HttpServer>(
        kernel.executor(), [this](HttpExchange &exchange) { return handle(exchange); });
    mServer->setBudget(ConnectionService::budgetOf(kernel));
    return mServer->listen(std::get<EntrySettings>(mPlatform->settings().role).operators);
}

void AdminApi::stop()
{
    mServer->stopListening();
}

awaitable<void> AdminApi::handle(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string_view path = request.path();
    const bool isPost = request.method == "POST";
    if (path == "/admin/changes" && isPost) {
        co_await submitChange(exchange);
    } else if (path.starts_with(sChangePrefix)) {
        co_await exchange.respond(fate(path.substr(sChangePrefix.size())));
    } else if (path == "/admin/explain") {
        co_await exchange.respond(explain(request));
    } else if (path == "/admin/history") {
        co_await exchange.respond(history(request));
    } else if (path == "/admin/state") {
        co_await exchange.respond(state());
    } else if (path == "/admin/upstreams") {
        co_await exchange.respond(upstreams());
    } else if (path == "/admin/entries") {
        co_await exchange.respond(entries());
    } else if (path == "/admin/burn") {
        co_await exchange.respond(jsonResponse(200, mBurn->report()));
    } else if (path == "/admin/health") {
        co_await exchange.respond(health());
    } else if (path == "/admin/drain" && isPost) {
        json::object answer;
        answer["draining"] = true;
        co_await exchange.respond(jsonResponse(202, answer));
        mRequestDrain();
    } else if (path == "/metrics") {
        co_await exchange.respond(mPlatform->metricsResponse());
    } else {
        co_await exchange.respond(errorResponse(404, "no such path"));
    }
}

awaitable<void> AdminApi::submitChange(HttpExchange &exchange)
{
    const auto change = changeFromJson(jsonObject(exchange.request().body));
    if (!change) {
        co_await exchange.respond(errorResponse(400, change.error()));
        co_return;
    }
    // What could never be accepted is not worth an append.
    if (mConfig->isReady() && !mConfig->state().fate(change->change_id())) {
        ConfigState trial = mConfig->state();
        const ChangeResult judged = trial.apply(*change, trial.lastOffset() + 1);
        if (!judged.accepted) {
            co_await exchange.respond(errorResponse(409, judged.reason));
            co_return;
        }
    }
    const ChangeOutcome outcome = co_await mTail->submit(*change, sSubmitWait);
    if (outcome.result) {
        const int status = outcome.result->accepted ? 200 : 409;
        json::object answer = resultJson(*outcome.result);
        if (!outcome.result->accepted) {
            answer["error"] = outcome.result->reason;
        }
        co_await exchange.respond(jsonResponse(status, answer));
        co_return;
    }
    logLine(LogLevel::Warning, "change-unsettled",
            {{"change", change->change_id()}, {"surelyNot", outcome.isSurelyNotAppended}});
    const std::string_view text = outcome.isSurelyNotAppended
        ? "the log is unavailable; the change was not made"
        : "the log did not answer; ask for the fate of the change id later";
    co_await exchange.respond(errorResponse(outcome.isSurelyNotAppended ? 503 : 504, text));
}

HttpResponse AdminApi::fate(std::string_view changeId) const
{
    const auto result = mConfig->state().fate(changeId);
    return result ? jsonResponse(200, resultJson(*result))
                  : errorResponse(404, "no such change id folded here");
}

HttpResponse AdminApi::explain(const HttpRequest &request) const
{
    const std::string service(request.query("service").value_or(""));
    json::array values;
    for (const SettingSpec &spec : settingSpecs()) {
        const bool wanted = request.query("key").value_or(spec.key) == spec.key;
        if (!wanted) {
            continue;
        }
        const ExplainedValue value = mConfig->state().explain(service, spec.key);
        json::object row;
        row["key"] = spec.key;
        row["value"] = parsedValue(value.json);
        row["from"] = value.scope.empty() ? "default" : value.scope;
        row["offset"] = value.offset;
        row["meaning"] = spec.description;
        values.push_back(std::move(row));
    }
    json::object answer;
    answer["service"] = service;
    answer["values"] = std::move(values);
    return jsonResponse(200, answer);
}

HttpResponse AdminApi::history(const HttpRequest &request) const
{
    const std::uint64_t most = queryNumber(request, "limit", sHistoryStandard);
    const auto &fates = mConfig->state().fates();
    json::array rows;
    for (auto it = fates.rbegin(); it != fates.rend() && rows.size() < most; ++it) {
        rows.push_back(fateJson(*it));
    }
    json::object answer;
    answer["changes"] = std::move(rows);
    return jsonResponse(200, answer);
}

HttpResponse AdminApi::state() const
{
    const ConfigState &config = mConfig->state();
    json::array services;
    for (const auto &[name, entry] : config.services()) {
        json::object row;
        row["name"] = name;
        row["kind"] = entry.kind() == wire::SERVICE_MODEL ? "model" : "plain";
        row["account"] = entry.account();
        row["region"] = entry.region();
        row["version"] = config.text(name, "model.version");
        row["spread"] = config.text(name, "model.spread");
        row["previous"] = entry.served_before().empty() ? "" : entry.served_before(0);
        services.push_back(std::move(row));
    }
    json::array accounts;
    for (const auto &[name, entry] : config.accounts()) {
        accounts.emplace_back(name);
    }
    json::array settings;
    for (const auto &[place, value] : config.settings()) {
        json::object row;
        row["scope"] = place.first;
        row["key"] = place.second;
        row["value"] = parsedValue(value.json);
        row["offset"] = value.offset;
        settings.push_back(std::move(row));
    }
    json::array versions;
    for (const auto &[place, entry] : config.versions()) {
        json::object row;
        row["service"] = place.first;
        row["version"] = place.second;
        row["manifestDigest"] = entry.version().manifest_digest();
        row["sizeBytes"] = entry.version().size_bytes();
        versions.push_back(std::move(row));
    }
    json::object answer;
    answer["ready"] = mConfig->isReady();
    answer["offset"] = mConfig->isReady() ? json::value(config.lastOffset()) : json::value(nullptr);
    answer["services"] = std::move(services);
    answer["accounts"] = std::move(accounts);
    answer["settings"] = std::move(settings);
    answer["versions"] = std::move(versions);
    return jsonResponse(200, answer);
}

HttpResponse AdminApi::upstreams() const
{
    json::array rows;
    for (const auto &[box, upstream] : mLinks->upstreams().all()) {
        json::object row;
        row["box"] = box;
        row["service"] = upstream.service;
        row["dataCentre"] = upstream.dataCentre;
        row["usable"] = upstream.isUsable(now());
        row["leaving"] = upstream.isLeaving || upstream.isListedLeaving;
        row["inFlight"] = upstream.estimatedInFlight();
        row["capacity"] = upstream.capacity;
        json::array versions;
        for (const std::string &version : upstream.versions) {
            versions.emplace_back(version);
        }
        row["versions"] = std::move(versions);
        const auto agent = mLinks->agents().find(box);
        if (agent != mLinks->agents().end()) {
            const wire::AgentStatus &status = agent->second.status;
            row["fetching"] = status.fetching_version();
            row["fetchedChunks"] = status.fetched_chunks();
            row["totalChunks"] = status.total_chunks();
            row["originBytes"] = status.origin_bytes();
            row["peerBytes"] = status.peer_bytes();
            row["badChunks"] = status.bad_chunks();
            const auto offset = agent->second.configOffset;
            row["configOffset"] = offset ? json::value(*offset) : json::value(nullptr);
        }
        rows.push_back(std::move(row));
    }
    json::object answer;
    answer["upstreams"] = std::move(rows);
    return jsonResponse(200, answer);
}

HttpResponse AdminApi::entries() const
{
    json::array rows;
    for (const ListedBox &box : mList->boxes()) {
        if (!box.isEntry) {
            continue;
        }
        json::object row;
        row["box"] = box.box;
        row["callers"] = endpointText(box.callers);
        row["leaving"] = box.isLeaving || mLinks->isDraining(box.box);
        rows.push_back(std::move(row));
    }
    json::object answer;
    answer["entries"] = std::move(rows);
    return jsonResponse(200, answer);
}

HttpResponse AdminApi::health() const
{
    json::object answer;
    answer["box"] = mPlatform->box();
    answer["ready"] = mConfig->isReady();
    answer["draining"] = mFront->isDraining();
    answer["logReachable"] = mTail->isLogReachable();
    answer["inFlight"] = mFront->inFlight();
    answer["offset"]
        = mConfig->isReady() ? json::value(mConfig->state().lastOffset()) : json::value(nullptr);
    return jsonResponse(200, answer);
}

} // namespace Loom
