/*
 * memberplan.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** Where a process of the system stands. */
struct MemberLocation
{
    std::string key; ///< of its record among the members
    std::string dataCentre;
    bool isGateway = false;
};

/** Among which gateways one reads the store for the others. */
enum class ReaderScope : std::uint8_t
{
    Global,
    DataCentre,
};

/**
 * What one gateway does for the others, worked out from who takes part: whose
 * state it follows, whose loss it has to notice, and who reads the store. The
 * work of one gateway stays the same however many there are.
 */
class MemberPlan
{
public:
    /** @p self: the gateway itself, which @p others do not hold. */
    MemberPlan(MemberLocation self, std::span<const MemberLocation> others);

    /** Keys of gateways whose state this one follows. */
    std::set<std::string> gatewaysToFollow() const;
    /** Keys of agents that this gateway asks even when it needs nothing of them. */
    std::set<std::string> agentsToWatch() const;
    /** Gateways in the order in which they read; the same at every one of them. */
    std::vector<std::string> readerOrder(ReaderScope scope) const;

private:
    std::vector<std::string> gatewaysIn(std::string_view dataCentre) const;

    MemberLocation mSelf;
    std::span<const MemberLocation> mOthers;
};

} // namespace Loom
