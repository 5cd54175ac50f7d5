/*
 * requestdigest.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "requestdigest.h"

#include "digest.h"

#include <algorithm>

#include <xxhash.h>

namespace Loom {

namespace {

// 128 bits of SHA-256. Nobody can construct a second request with the digest of another
// one, to which the crashes of that other request would be attributed.
constexpr std::size_t sHexLength = 32;
constexpr std::string_view sHexDigits = "0123456789abcdef";

} // namespace

// Each part is hashed separately first, so that the same bytes split differently give
// different digests.
RequestDigest RequestDigest::of(std::string_view account, std::string_view target,
                                std::string_view body)
{
    RequestDigest digest;
    digest.mText = sha256Hex(sha256Hex(account) + sha256Hex(target) + sha256Hex(body));
    digest.mText.resize(sHexLength);
    return digest;
}

// Not a digest: whoever constructs requests with a given seed only changes their own chances.
std::uint64_t RequestDigest::repeatSeed(std::string_view account, std::string_view target,
                                        std::string_view body, std::uint64_t period)
{
    std::uint64_t seed = period;
    for (const std::string_view part : {account, target, body}) {
        seed = XXH3_64bits_withSeed(part.data(), part.size(), seed);
    }
    return seed;
}

tl::expected<RequestDigest, std::string> RequestDigest::parse(std::string_view text)
{
    const bool isHex
        = text.size() == sHexLength && text.find_first_not_of(sHexDigits) == std::string_view::npos;
    if (!isHex) {
        return tl::unexpected("expected " + std::to_string(sHexLength) + " hex digits");
    }
    RequestDigest digest;
    digest.mText = text;
    return digest;
}

} // namespace Loom
