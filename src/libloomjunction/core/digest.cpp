/*
 * digest.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "digest.h"

#include <array>

#include <openssl/evp.h>

namespace Loom {

std::string sha256Hex(std::span<const std::byte> data)
{
    static constexpr std::string_view sDigits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> raw{};
    unsigned int length = 0;
    EVP_Digest(data.data(), data.size(), raw.data(), &length, EVP_sha256(), nullptr);

    std::string hex;
    hex.reserve(std::size_t{length} * 2);
    for (unsigned int i = 0; i < length; ++i) {
        hex.push_back(sDigits[raw[i] >> 4U]);
        hex.push_back(sDigits[raw[i] & 0xFU]);
    }
    return hex;
}

std::string sha256Hex(std::string_view data)
{
    return sha256Hex(std::as_bytes(std::span(data.data(), data.size())));
}

} // namespace Loom
