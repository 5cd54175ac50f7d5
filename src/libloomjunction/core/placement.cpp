/*
 * placement.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "placement.h"

namespace Loom {

void Placement::setEvacuated(std::string_view dataCentre, bool isEvacuated)
{
    if (isEvacuated) {
        mEvacuated.emplace(dataCentre);
        return;
    }
    const auto it = mEvacuated.find(dataCentre);
    if (it != mEvacuated.end()) {
        mEvacuated.erase(it);
    }
}

std::string_view Placement::regionOf(std::string_view dataCentre) const
{
    const auto it = mRegions.find(dataCentre);
    return it == mRegions.end() ? std::string_view() : std::string_view(it->second);
}

} // namespace Loom
