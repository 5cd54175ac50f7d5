/*
 * addresschoice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** What one gateway knows of another that callers might use. */
enum class GatewayStanding : std::uint8_t
{
    Heard, ///< ready, as it says itself
    Unheard, ///< recorded; nobody here listens to it
    Out, ///< silent, leaving or not ready
};

/** A gateway as an address for callers. */
struct AddressPlace
{
    std::string callers; ///< IP:PORT
    std::string dataCentre;
    std::string region; ///< empty: not told
    GatewayStanding standing = GatewayStanding::Unheard;
};

/** Where a caller stands, as it says; empty: not told. */
struct CallerPlace
{
    std::string dataCentre;
    std::string region;
};

/** What may be lost at once while callers still have to be served. */
struct LossBounds
{
    std::uint32_t dataCentres = 0;
    std::uint32_t regions = 0;

    bool operator==(const LossBounds &) const = default;
};

/**
 * Which gateways a caller is told to use: those of its data centre, where there
 * are enough; else those of its region; else all. Where a data centre has too few for
 * good, its callers use all gateways, and so do those of the others. Links between data centres are
 * narrow and shared, and what a caller sends over one may lie there longer than
 * the caller stays.
 */
class AddressChoice
{
public:
    /** @p asked: key of the gateway that answers; others may choose others. */
    AddressChoice(std::string_view asked, std::span<const AddressPlace> gateways,
                  LossBounds losses);

    /** Addresses for one caller, at most 64. */
    std::vector<std::string> choose(const CallerPlace &caller) const;

private:
    using Filter = std::function<bool(const AddressPlace &)>;

    bool isTrusted(std::string_view dataCentre) const;
    std::vector<const AddressPlace *> living(const Filter &isWanted) const;
    std::vector<const AddressPlace *> preferred(std::vector<const AddressPlace *> living) const;
    std::vector<const AddressPlace *> ordered(std::vector<const AddressPlace *> places) const;
    std::size_t largestDataCentre() const;
    bool hasEnoughEverywhere() const;
    void appendFallbacks(const CallerPlace &caller, const Filter &isNear,
                         std::vector<const AddressPlace *> &chosen) const;

    std::string mAsked;
    std::span<const AddressPlace> mGateways;
    LossBounds mLosses;
};

} // namespace Loom
