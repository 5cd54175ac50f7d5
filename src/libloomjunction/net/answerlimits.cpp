/*
 * answerlimits.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "answerlimits.h"

namespace Loom {

std::string_view endlessPartName(EndlessPart part)
{
    switch (part) {
    case EndlessPart::Nothing:
        return "nothing";
    case EndlessPart::Head:
        return "head";
    case EndlessPart::InterimHeads:
        return "interim heads";
    case EndlessPart::Framing:
        return "framing";
    case EndlessPart::SurplusBody:
        return "surplus body";
    case EndlessPart::RefusalBody:
        return "refusal body";
    case EndlessPart::Event:
        return "event";
    case EndlessPart::Body:
        return "body";
    }
    return "unknown";
}

} // namespace Loom
