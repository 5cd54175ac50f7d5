/*
 * requestrank.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Loom {

/** Urgency of a request by configuration; the account's priority precedes the route's. */
struct RequestRank
{
    std::uint32_t account = 5; ///< zero is the most urgent
    std::uint32_t route = 5; ///< zero is the most urgent

    auto operator<=>(const RequestRank &) const = default;

    /** As "ACCOUNT/ROUTE", for logs and metrics. */
    std::string text() const { return std::to_string(account) + "/" + std::to_string(route); }
};

/**
 * Order of a request among the others of its service; the smaller one is more urgent. A request
 * over its account's share yields to the rest of its rank only.
 */
struct RequestStanding
{
    RequestRank rank;
    bool isOverShare = false;

    auto operator<=>(const RequestStanding &) const = default;
};

} // namespace Loom
