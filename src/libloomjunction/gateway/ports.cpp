/*
 * ports.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "ports.h"

namespace Loom {

std::string_view feedName(Feed feed)
{
    switch (feed) {
    case Feed::Operators:
        return "operators";
    case Feed::Replicas:
        return "replicas";
    case Feed::Members:
        return "members";
    }
    return "unknown";
}

std::string_view storeErrorName(StoreError error)
{
    switch (error) {
    case StoreError::Unreachable:
        return "unreachable";
    case StoreError::Refused:
        return "refused";
    case StoreError::Forgotten:
        return "forgotten";
    case StoreError::Restored:
        return "restored";
    case StoreError::Malformed:
        return "malformed";
    }
    return "unknown";
}

} // namespace Loom
