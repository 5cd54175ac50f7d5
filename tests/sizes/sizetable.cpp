/*
 * sizetable.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "sizetable.h"

#include <algorithm>
#include <iomanip>
#include <iterator>
#include <sstream>

namespace Loom {

SizeTable::SizeTable(std::span<const OverloadLab::SizedOutcome> outcomes, std::size_t requestClass,
                     Order order)
{
    std::vector<OverloadLab::SizedOutcome> sized;
    std::ranges::copy_if(outcomes, std::back_inserter(sized),
                         [&](const auto &outcome) { return outcome.requestClass == requestClass; });
    std::ranges::sort(sized, {}, [&](const OverloadLab::SizedOutcome &outcome) {
        return order == Order::Prompt ? outcome.prompt : outcome.work;
    });
    const auto servedBetween = [&](std::size_t from, std::size_t to) {
        const auto begin
            = sized.begin() + static_cast<std::ptrdiff_t>(sized.size() * from / sTenths);
        const auto end = sized.begin() + static_cast<std::ptrdiff_t>(sized.size() * to / sTenths);
        const auto count = std::count_if(begin, end, [](const auto &one) { return one.isServed; });
        return begin == end ? 0 : static_cast<double>(count) / static_cast<double>(end - begin);
    };
    for (std::size_t tenth = 0; tenth < sTenths; ++tenth) {
        servedByTenth[tenth] = servedBetween(tenth, tenth + 1);
    }
    served = servedBetween(0, sTenths);
    if (served > 0) {
        largest = servedBetween(sTenths - 1, sTenths) / served;
        fifthBelow = servedBetween(sTenths - 3, sTenths - 1) / served;
    }
}

double SizeTable::worst() const
{
    return std::min(largest, fifthBelow);
}

std::string SizeTable::text() const
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << "served " << served << ", largest tenth "
         << largest << ", fifth below " << fifthBelow << ", by tenths";
    for (const double tenth : servedByTenth) {
        text << ' ' << std::setprecision(2) << tenth;
    }
    return text.str();
}

} // namespace Loom
