/*
 * manifest.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "manifest.h"

#include "digest.h"

#include <algorithm>

#include <boost/json.hpp>

namespace Loom {

namespace {

namespace json = boost::json;

constexpr std::uint32_t sMaxChunks = 4'000'000;
constexpr std::size_t sDigestLength = 64;

std::string fieldError(std::string_view field, std::string_view expected)
{
    return "manifest field '" + std::string(field) + "': expected " + std::string(expected);
}

tl::expected<std::string, std::string> textField(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_string()) {
        return tl::unexpected(fieldError(name, "text"));
    }
    return std::string(value->as_string());
}

tl::expected<std::uint64_t, std::string> numberField(const json::object &object,
                                                     std::string_view name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_int64() || value->as_int64() <= 0) {
        return tl::unexpected(fieldError(name, "a whole number above 0"));
    }
    return static_cast<std::uint64_t>(value->as_int64());
}

} // namespace

std::uint32_t Manifest::chunkSize(std::uint32_t index) const
{
    const std::uint64_t begin = std::uint64_t{index} * chunkBytes;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(chunkBytes, sizeBytes - begin));
}

std::string Manifest::text() const
{
    json::object object;
    object["service"] = service;
    object["version"] = version;
    object["sizeBytes"] = sizeBytes;
    object["chunkBytes"] = chunkBytes;
    object["wholeDigest"] = wholeDigest;
    json::array digests;
    for (const std::string &digest : chunkDigests) {
        digests.emplace_back(digest);
    }
    object["chunks"] = std::move(digests);
    return json::serialize(object);
}

tl::expected<Manifest, std::string> Manifest::parse(std::string_view text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return tl::unexpected(std::string("manifest: expected a JSON object"));
    }
    const json::object &object = value.as_object();
    const auto service = textField(object, "service");
    const auto version = textField(object, "version");
    const auto whole = textField(object, "wholeDigest");
    const auto size = numberField(object, "sizeBytes");
    const auto chunk = numberField(object, "chunkBytes");
    for (const auto *field : {&service, &version, &whole}) {
        if (!*field) {
            return tl::unexpected(field->error());
        }
    }
    for (const auto *field : {&size, &chunk}) {
        if (!*field) {
            return tl::unexpected(field->error());
        }
    }
    const std::uint64_t count = (*size + *chunk - 1) / *chunk;
    const json::value *chunks = object.if_contains("chunks");
    const bool fits = chunks != nullptr && chunks->is_array() && count <= sMaxChunks
        && chunks->as_array().size() == count;
    if (!fits) {
        return tl::unexpected(fieldError("chunks", std::to_string(count) + " digests"));
    }
    Manifest manifest{*service, *version, *size, static_cast<std::uint32_t>(*chunk), {}, *whole};
    for (const json::value &digest : chunks->as_array()) {
        if (!digest.is_string() || digest.as_string().size() != sDigestLength) {
            return tl::unexpected(fieldError("chunks", "64 hex characters each"));
        }
        manifest.chunkDigests.emplace_back(digest.as_string());
    }
    return manifest;
}

Manifest Manifest::fromWeights(std::string_view service, std::string_view version,
                               std::span<const std::byte> weights, std::uint32_t chunkBytes)
{
    Manifest manifest;
    manifest.service = service;
    manifest.version = version;
    manifest.sizeBytes = weights.size();
    manifest.chunkBytes = chunkBytes;
    for (std::size_t begin = 0; begin < weights.size(); begin += chunkBytes) {
        const std::size_t size = std::min<std::size_t>(chunkBytes, weights.size() - begin);
        manifest.chunkDigests.push_back(sha256Hex(weights.subspan(begin, size)));
    }
    std::string all;
    for (const std::string &digest : manifest.chunkDigests) {
        all += digest;
    }
    manifest.wholeDigest = sha256Hex(all);
    return manifest;
}

} // namespace Loom
