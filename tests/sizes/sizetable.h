/*
 * sizetable.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "overloadlab.h"

#include <array>
#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace Loom {

/** How often requests of one kind are served, by their size. */
struct SizeTable
{
    /** The order of sizes. */
    enum class Order
    {
        Prompt, ///< by the tokens of the prompt
        Work, ///< by the tokens of the prompt and ten times those of the answer
    };

    static constexpr std::size_t sTenths = 10;

    /** Tabulates the outcomes of the kind @p requestClass. */
    SizeTable(std::span<const OverloadLab::SizedOutcome> outcomes, std::size_t requestClass,
              Order order);

    /** Fractions served, from the tenth with the smallest requests to that with the largest. */
    std::array<double, sTenths> servedByTenth{};
    double served = 0; ///< fraction of all
    double largest = 0; ///< fraction served of the largest tenth, relative to all
    double fifthBelow = 0; ///< the same of the fifth below the largest tenth

    /** Ratio of the worse of the two to all requests. */
    double worst() const;
    std::string text() const;
};

} // namespace Loom
