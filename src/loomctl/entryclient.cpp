/*
 * entryclient.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomctl).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "entryclient.h"

#include "clock.h"
#include "idempotencykey.h"
#include "jsonhttp.h"

#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::chrono::milliseconds sGetTimeout{3'000};
constexpr std::chrono::milliseconds sSubmitTimeout{15'000};
constexpr std::chrono::milliseconds sPutTimeout{60'000};

std::string newChangeId()
{
    std::random_device device;
    std::mt19937_64 random((std::uint64_t{device()} << 32U) | device());
    return makeUuid7(wallNow(), random(), random());
}

std::string errorText(const HttpResponse &response)
{
    const std::string text = jsonText(jsonObject(response.body), "error");
    return text.empty() ? "status " + std::to_string(response.status) : text;
}

} // namespace

EntryClient::EntryClient(std::vector<Tcp::endpoint> entries)
    : mEntries(std::move(entries))
    , mHttp(mContext.get_executor())
{
}

tl::expected<HttpResponse, HttpError> EntryClient::send(HttpCall call)
{
    tl::expected<HttpResponse, HttpError> result = tl::unexpected(HttpError{});
    asio::co_spawn(
        mContext, [&]() -> awaitable<void> { result = co_await mHttp.send(std::move(call)); },
        asio::detached);
    mContext.restart();
    mContext.run();
    return result;
}

CommandResult<boost::json::object> EntryClient::get(std::string_view target)
{
    std::string problem = "no entry given";
    for (const Tcp::endpoint &entry : mEntries) {
        const auto response = send({entry, "GET", std::string(target), {}, {}, sGetTimeout});
        if (!response) {
            problem = endpointText(entry) + ": " + response.error().text;
            continue;
        }
        if (response->status == 200) {
            return jsonObject(response->body);
        }
        return tl::unexpected(CommandFailure{CommandError::Refused, errorText(*response)});
    }
    return tl::unexpected(CommandFailure{CommandError::Unreachable, problem});
}

std::vector<boost::json::object> EntryClient::getAll(std::string_view target)
{
    std::vector<boost::json::object> answers;
    for (const Tcp::endpoint &entry : mEntries) {
        const auto response = send({entry, "GET", std::string(target), {}, {}, sGetTimeout});
        const bool good = response && response->status == 200;
        answers.push_back(good ? jsonObject(response->body) : boost::json::object());
    }
    return answers;
}

CommandResult<boost::json::object> EntryClient::submit(boost::json::array operations,
                                                       std::string_view author,
                                                       std::optional<std::uint64_t> base)
{
    boost::json::object change;
    change["changeId"] = newChangeId();
    change["author"] = author;
    change["operations"] = std::move(operations);
    if (!base) {
        const auto state = get("/admin/state");
        if (!state) {
            return tl::unexpected(state.error());
        }
        const boost::json::value *offset = state->if_contains("offset");
        const bool known = offset != nullptr && offset->is_int64();
        base = known ? std::optional(static_cast<std::uint64_t>(offset->as_int64())) : std::nullopt;
    }
    if (base) {
        change["base"] = *base;
    }
    const std::string body = boost::json::serialize(change);
    bool mayBeMade = false;
    std::string problem = "no entry given";
    // The change id makes it safe to hand the same change to another entry.
    for (const Tcp::endpoint &entry : mEntries) {
        const auto response = send({entry, "POST", "/admin/changes", {}, body, sSubmitTimeout});
        if (!response) {
            mayBeMade = mayBeMade || response.error().failure != HttpFailure::NotConnected;
            problem = endpointText(entry) + ": " + response.error().text;
            continue;
        }
        if (response->status == 200) {
            return jsonObject(response->body);
        }
        const bool isFinal = response->status == 409 || response->status == 400;
        if (isFinal) {
            return tl::unexpected(CommandFailure{CommandError::Refused, errorText(*response)});
        }
        mayBeMade = mayBeMade || response->status != 503;
        problem = errorText(*response);
    }
    const std::string id = jsonText(change, "changeId");
    return tl::unexpected(
        CommandFailure{mayBeMade ? CommandError::Unsettled : CommandError::Unreachable,
                       problem + (mayBeMade ? " (change id " + id + ")" : "")});
}

CommandResult<boost::json::object> EntryClient::post(std::string_view target)
{
    const auto response
        = send({mEntries.front(), "POST", std::string(target), {}, "{}", sGetTimeout});
    if (!response) {
        return tl::unexpected(CommandFailure{CommandError::Unreachable, response.error().text});
    }
    if (response->status >= 300) {
        return tl::unexpected(CommandFailure{CommandError::Refused, errorText(*response)});
    }
    return jsonObject(response->body);
}

CommandResult<void> EntryClient::put(const Tcp::endpoint &store, std::string target,
                                     std::string body)
{
    const auto response = send({store, "PUT", std::move(target), {}, std::move(body), sPutTimeout});
    if (!response) {
        return tl::unexpected(
            CommandFailure{CommandError::Unreachable, "weight store: " + response.error().text});
    }
    if (response->status != 200) {
        return tl::unexpected(
            CommandFailure{CommandError::Refused, "weight store: " + errorText(*response)});
    }
    return {};
}

} // namespace Loom
