/*
 * manifest.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace Loom {

/** Describes the chunks of the weights of one version. Manifest digests are unique per version. */
struct Manifest
{
    std::string service;
    std::string version;
    std::uint64_t sizeBytes = 0;
    std::uint32_t chunkBytes = 0;
    std::vector<std::string> chunkDigests; ///< hex SHA-256 each
    std::string wholeDigest; ///< hex SHA-256 of all chunk digests in order

    std::uint32_t chunkCount() const { return static_cast<std::uint32_t>(chunkDigests.size()); }
    /** Size of chunk @p index in bytes; the last chunk may be shorter. */
    std::uint32_t chunkSize(std::uint32_t index) const;

    /** Returns the JSON text whose SHA-256 is the manifest digest. */
    std::string text() const;
    static tl::expected<Manifest, std::string> parse(std::string_view text);

    /** Computes the manifest of @p weights. */
    static Manifest fromWeights(std::string_view service, std::string_view version,
                                std::span<const std::byte> weights, std::uint32_t chunkBytes);
};

} // namespace Loom
