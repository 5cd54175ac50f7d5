/*
 * idempotencykey.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "idempotencykey.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <vector>

namespace Loom {

namespace {

constexpr std::size_t sUuidLength = 36;
constexpr std::size_t sIssuedKeyFieldCount = 5;
constexpr std::size_t sMaxKeyLength = 256;
constexpr std::string_view sIssuedKeyPrefix = "lk1";

template <class Number> bool parseNumber(std::string_view text, Number &out, int base)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, base);
    return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true) {
        const std::size_t at = text.find(separator);
        parts.push_back(text.substr(0, at));
        if (at == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(at + 1);
    }
}

} // namespace

std::string IssuedKey::text() const
{
    return std::string(sIssuedKeyPrefix) + ":" + uuid + ":" + homeBox + ":"
        + std::to_string(homeIncarnation) + ":" + std::to_string(expires.count());
}

tl::expected<IdempotencyKey, std::string> parseIdempotencyKey(std::string_view text)
{
    if (text.size() > sMaxKeyLength) {
        return tl::unexpected("Loom-Key: expected at most 256 characters, found "
                              + std::to_string(text.size()));
    }
    if (!text.starts_with(sIssuedKeyPrefix)) {
        const auto createdAt = uuid7Time(text);
        if (!createdAt) {
            return tl::unexpected("Loom-Key: expected an issued key or a UUIDv7, found '"
                                  + std::string(text) + "'");
        }
        return CallerKey{std::string(text), *createdAt};
    }
    const std::vector<std::string_view> parts = split(text, ':');
    IssuedKey key;
    std::int64_t expires = 0;
    const bool whole = parts.size() == sIssuedKeyFieldCount && uuid7Time(parts[1])
        && !parts[2].empty() && parseNumber(parts[3], key.homeIncarnation, 10)
        && parseNumber(parts[4], expires, 10);
    if (!whole) {
        return tl::unexpected("Loom-Key: expected lk1:UUIDv7:BOX:INCARNATION:EXPIRY, found '"
                              + std::string(text) + "'");
    }
    key.uuid = parts[1];
    key.homeBox = parts[2];
    key.expires = WallMilliseconds(expires);
    return key;
}

std::string makeUuid7(WallMilliseconds createdAt, std::uint64_t randomHigh, std::uint64_t randomLow)
{
    constexpr std::uint64_t sVersion = 0x7000;
    constexpr std::uint64_t sVariant = 0x8000'0000'0000'0000ULL;
    constexpr std::uint64_t sVariantMask = 0x3FFF'FFFF'FFFF'FFFFULL;
    const auto time = static_cast<std::uint64_t>(createdAt.count()) & 0xFFFF'FFFF'FFFFULL;
    const std::uint64_t low = (randomLow & sVariantMask) | sVariant;
    std::array<char, sUuidLength + 1> text{};
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-%04llx-%04llx-%012llx",
                  static_cast<unsigned long long>(time >> 16U),
                  static_cast<unsigned long long>(time & 0xFFFFU),
                  static_cast<unsigned long long>(sVersion | (randomHigh & 0xFFFU)),
                  static_cast<unsigned long long>(low >> 48U),
                  static_cast<unsigned long long>(low & 0xFFFF'FFFF'FFFFULL));
    return text.data();
}

std::optional<WallMilliseconds> uuid7Time(std::string_view text)
{
    if (text.size() != sUuidLength) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
        const bool hex = (text[i] >= '0' && text[i] <= '9') || (text[i] >= 'a' && text[i] <= 'f')
            || (text[i] >= 'A' && text[i] <= 'F');
        if (dash ? text[i] != '-' : !hex) {
            return std::nullopt;
        }
    }
    if (text[14] != '7') {
        return std::nullopt;
    }
    std::int64_t high = 0;
    std::int64_t low = 0;
    parseNumber(text.substr(0, 8), high, 16);
    parseNumber(text.substr(9, 4), low, 16);
    return WallMilliseconds(high * 65'536 + low);
}

} // namespace Loom
