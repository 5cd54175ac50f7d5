/*
 * accountshares.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Loom {

/**
 * Work that client accounts asked for recently within one rank of a service, and their max-min
 * fair shares of the work that was admitted. Work has any unit that is proportional to it.
 */
class AccountShares
{
public:
    /** Counts a call of @p account that asks for @p work. */
    void noteAsked(std::string_view account, double work, Instant now);
    /** Counts @p work of a call of @p account that a replica was found for. */
    void noteAdmitted(std::string_view account, double work, Instant now);
    /**
     * Fraction of the account's next calls that are over its share, from 0 to 1. Zero while at
     * most one account asks for work, or while all work is admitted.
     */
    double overShareFraction(std::string_view account) const;
    /** Whether the call of @p account with the seed @p random is over the account's share. */
    bool isOverShare(std::string_view account, std::uint64_t random) const;

private:
    /** Decayed work of one account. */
    struct Work
    {
        double asked = 0;
        double admitted = 0;
    };

    void decay(Instant now);
    double maxMinLevel() const;

    std::map<std::string, Work, std::less<>> mWork; ///< by account
    double mLevel = 0; ///< admitted work up to which an account is within its share
    double mCalls = 0; ///< decayed count
    Instant mAt; ///< time of the last decay
};

} // namespace Loom
