/*
 * compression.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "compression.h"

#include <zstd.h>

namespace Loom {

namespace {

// The library's default level, which compresses 400 KB of JSON in about two milliseconds.
constexpr int sCompressionLevel = 3;

} // namespace

std::string compressed(std::string_view text)
{
    std::string out(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size
        = ZSTD_compress(out.data(), out.size(), text.data(), text.size(), sCompressionLevel);
    out.resize(ZSTD_isError(size) ? 0 : size);
    return out;
}

tl::expected<std::string, std::string> decompressed(std::string_view bytes, std::size_t maxSize)
{
    const unsigned long long declaredSize = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (declaredSize == ZSTD_CONTENTSIZE_UNKNOWN || declaredSize == ZSTD_CONTENTSIZE_ERROR) {
        return tl::unexpected(std::string("expected a Zstandard frame with its size"));
    }
    if (declaredSize > maxSize) {
        return tl::unexpected("expected at most " + std::to_string(maxSize) + " bytes, found "
                              + std::to_string(declaredSize));
    }
    std::string out(static_cast<std::size_t>(declaredSize), '\0');
    const std::size_t size = ZSTD_decompress(out.data(), out.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(size) || size != out.size()) {
        return tl::unexpected(std::string("the Zstandard frame is damaged"));
    }
    return out;
}

} // namespace Loom
