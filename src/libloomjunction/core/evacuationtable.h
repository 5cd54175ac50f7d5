/*
 * evacuationtable.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** Start or end of the evacuation of a data centre. */
struct EvacuationChange
{
    std::string dataCentre;
    bool isInForce = false;
    std::optional<Microseconds> age; ///< of the operators' record at most; empty: unknown
    bool isLost = false; ///< the store lost the record, and nobody wrote it again in time
};

/**
 * The evacuations of data centres that operators have ordered. A record that the store lost when
 * it returned from a copy stays in force for a while, so that operators can write it again.
 */
class EvacuationTable
{
public:
    /**
     * Applies the record @p key that evacuates @p dataCentre and was written at most @p maxAge ago.
     * Returns nothing if the evacuation was in force already.
     */
    std::optional<EvacuationChange> put(std::string_view key, std::string_view dataCentre,
                                        std::optional<Microseconds> maxAge, Instant now);
    /** Applies the removal of the record @p key; returns nothing if no evacuation ends. */
    std::optional<EvacuationChange> remove(std::string_view key, Instant now);
    /**
     * Notes whether the store has lost a record, by @p isLost, and returns the evacuations that
     * end or are in force again. Must be called regularly.
     */
    std::vector<EvacuationChange> update(const std::function<bool(const std::string &key)> &isLost,
                                         Instant now);

    bool isEmpty() const { return mEntries.empty(); }

private:
    struct Entry
    {
        std::string dataCentre;
        std::optional<Instant> writtenAfter; ///< empty: unknown
        bool isInForce = true;
        std::optional<Instant> lostAt; ///< when the loss of the record was noticed
    };

    static EvacuationChange changeOf(const Entry &entry, Instant now);

    std::map<std::string, Entry, std::less<>> mEntries; ///< by key
};

} // namespace Loom
