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

/** Location and role of a process of the system. */
struct MemberLocation
{
    std::string key; ///< of its membership record
    std::string dataCentre;
    bool isGateway = false;
};

/** Scope within which one gateway reads the store for the others. */
enum class ReaderScope : std::uint8_t
{
    Global,
    DataCentre,
};

/**
 * Assigns work to one gateway on the basis of the current members: which gateways' state
 * it follows, which agents it monitors and in which order gateways read the store. Each
 * gateway computes its part independently, and its work does not grow with their number.
 */
class MemberPlan
{
public:
    /** @p self is the gateway itself; @p others must not contain it. */
    MemberPlan(MemberLocation self, std::span<const MemberLocation> others);

    /** Keys of the gateways whose state this one follows. */
    std::set<std::string> gatewaysToFollow() const;
    /** Keys of the agents that this gateway polls to notice their failure. */
    std::set<std::string> agentsToWatch() const;
    /** Keys of the gateways of @p scope, in the order in which they take over reading the store. */
    std::vector<std::string> readerOrder(ReaderScope scope) const;

private:
    std::vector<std::string> gatewaysIn(std::string_view dataCentre) const;

    MemberLocation mSelf;
    std::span<const MemberLocation> mOthers;
};

} // namespace Loom
