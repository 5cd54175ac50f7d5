/*
 * feedtable.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "feedtable.h"

#include <algorithm>
#include <set>

namespace Loom {

bool FeedTable::apply(const FeedRecord &record)
{
    const auto it = mRecords.find(record.key);
    if (it != mRecords.end()) {
        const FeedRecord &known = it->second;
        // A full read detects a removal without learning its offset, so a removal also
        // replaces a record of the same offset.
        const bool isRemoval = known.value && !record.value;
        if (known.offset > record.offset || (known.offset == record.offset && !isRemoval)) {
            return false;
        }
    }
    mRecords.insert_or_assign(record.key, record);
    return true;
}

std::vector<std::string> FeedTable::applySnapshot(std::span<const FeedRecord> records,
                                                  std::uint64_t end)
{
    std::vector<std::string> changed;
    std::set<std::string_view> present;
    for (const FeedRecord &record : records) {
        present.insert(record.key);
        if (apply(record)) {
            changed.push_back(record.key);
        }
    }
    for (auto &[key, record] : mRecords) {
        if (record.value && record.offset < end && !present.contains(key)) {
            record.value.reset();
            record.offset = end - 1;
            changed.push_back(key);
        }
    }
    setNextOffset(end);
    return changed;
}

void FeedTable::setNextOffset(std::uint64_t offset)
{
    mNextOffset = std::max(mNextOffset, offset);
}

const FeedRecord *FeedTable::find(std::string_view key) const
{
    const auto it = mRecords.find(key);
    return it == mRecords.end() || !it->second.value ? nullptr : &it->second;
}

} // namespace Loom
