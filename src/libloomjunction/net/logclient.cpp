/*
 * logclient.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "logclient.h"

#include <boost/json.hpp>

#include <openssl/evp.h>

namespace Loom {

namespace {

constexpr std::size_t sMostRecordsPerRead = 1'000;
constexpr std::chrono::milliseconds sReadGrace{2'000};
constexpr int sOk = 200;

std::uint64_t numberOf(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_int64() ? static_cast<std::uint64_t>(value->as_int64())
                                                 : 0;
}

} // namespace

std::string toBase64(std::string_view data)
{
    std::string text((data.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                     reinterpret_cast<const unsigned char *>(data.data()),
                                     static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string fromBase64(std::string_view text)
{
    std::string data(text.size() / 4 * 3 + 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(data.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    if (size < 0) {
        return {};
    }
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    data.resize(static_cast<std::size_t>(size) - padding);
    return data;
}

awaitable<tl::expected<std::uint64_t, LogError>>
LogClient::append(std::string_view stream, std::string data, std::chrono::milliseconds timeout)
{
    HttpCall call{mEndpoint, "POST",          "/streams/" + std::string(stream) + "/records",
                  {},        std::move(data), timeout};
    const auto response = co_await mHttp.send(std::move(call));
    if (!response) {
        const bool untouched = response.error().failure == HttpFailure::NotConnected;
        co_return tl::unexpected(untouched ? LogError::NotDone : LogError::Uncertain);
    }
    boost::system::error_code error;
    const auto value = boost::json::parse(response->body, error);
    const bool refused = response->status >= 400 && response->status < 500;
    if (response->status != sOk || error || !value.is_object()) {
        co_return tl::unexpected(refused ? LogError::NotDone : LogError::Uncertain);
    }
    co_return numberOf(value.as_object(), "offset");
}

awaitable<tl::expected<LogBatch, LogError>>
LogClient::read(std::string_view stream, std::uint64_t from, std::chrono::milliseconds wait)
{
    HttpCall call;
    call.endpoint = mEndpoint;
    call.method = "GET";
    call.target = "/streams/" + std::string(stream) + "/records?from=" + std::to_string(from)
        + "&max=" + std::to_string(sMostRecordsPerRead) + "&waitMs=" + std::to_string(wait.count());
    call.timeout = wait + sReadGrace;
    const auto response = co_await mHttp.send(std::move(call));
    if (!response || response->status != sOk) {
        co_return tl::unexpected(LogError::NotDone);
    }
    boost::system::error_code error;
    const auto value = boost::json::parse(response->body, error);
    if (error || !value.is_object()) {
        co_return tl::unexpected(LogError::NotDone);
    }
    const boost::json::object &object = value.as_object();
    LogBatch batch{
        numberOf(object, "first"), numberOf(object, "next"), numberOf(object, "retentionMs"), {}};
    const boost::json::value *records = object.if_contains("records");
    if (records == nullptr || !records->is_array()) {
        co_return tl::unexpected(LogError::NotDone);
    }
    for (const boost::json::value &item : records->as_array()) {
        const boost::json::object *entry = item.if_object();
        const boost::json::value *data = entry == nullptr ? nullptr : entry->if_contains("data");
        if (data == nullptr || !data->is_string()) {
            co_return tl::unexpected(LogError::NotDone);
        }
        wire::StoredRecord &record = batch.records.emplace_back();
        record.set_offset(numberOf(*entry, "offset"));
        record.set_age_ms(numberOf(*entry, "ageMs"));
        record.set_data(fromBase64(data->as_string()));
    }
    co_return batch;
}

} // namespace Loom
