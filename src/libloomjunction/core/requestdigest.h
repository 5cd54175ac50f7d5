/*
 * requestdigest.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace Loom {

/**
 * Identifies equal requests: two attempts have the same digest if they have the same client
 * account, path with query, and body. Request ids and deadlines are not included.
 */
class RequestDigest
{
public:
    RequestDigest() = default;

    static RequestDigest of(std::string_view account, std::string_view target,
                            std::string_view body);
    /** Parses the result of text(); the error describes the expected format. */
    static tl::expected<RequestDigest, std::string> parse(std::string_view text);

    /**
     * Seed of random decisions that equal requests within one period of some seconds share at all
     * gateways. @p period: number of that period.
     */
    static std::uint64_t repeatSeed(std::string_view account, std::string_view target,
                                    std::string_view body, std::uint64_t period);

    /** 32 hexadecimal digits, or empty if there is no digest. */
    const std::string &text() const { return mText; }
    bool isEmpty() const { return mText.empty(); }

    auto operator<=>(const RequestDigest &) const = default;

private:
    std::string mText;
};

} // namespace Loom
