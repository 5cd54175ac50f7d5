/*
 * fakelog.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "wire.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Loom {

/** A log stream in virtual time with contiguous offsets, trimmed only by trimTo(). */
class FakeLog
{
public:
    std::uint64_t append(const std::string &data, Instant now)
    {
        mRecords.push_back({data, now});
        return mRecords.size() - 1;
    }

    std::uint64_t append(const wire::ConfigChange &change, Instant now)
    {
        wire::ConfigRecord record;
        *record.mutable_change() = change;
        return append(record.SerializeAsString(), now);
    }

    /** Returns the retained records from offset @p from on. */
    std::vector<wire::StoredRecord> read(std::uint64_t from, Instant now) const
    {
        std::vector<wire::StoredRecord> out;
        for (std::uint64_t at = std::max(from, mFirst); at < mRecords.size(); ++at) {
            wire::StoredRecord &record = out.emplace_back();
            record.set_offset(at);
            record.set_data(mRecords[at].data);
            const auto age = std::chrono::duration_cast<Milliseconds>(now - mRecords[at].at);
            record.set_age_ms(static_cast<std::uint64_t>(age.count()));
        }
        return out;
    }

    void trimTo(std::uint64_t first) { mFirst = std::max(mFirst, first); }
    std::uint64_t first() const { return mFirst; }
    std::uint64_t next() const { return mRecords.size(); }

private:
    struct StoredEntry
    {
        std::string data;
        Instant at;
    };

    std::vector<StoredEntry> mRecords;
    std::uint64_t mFirst = 0;
};

/** Returns the virtual time @p milliseconds after the start of the test. */
inline Instant at(std::int64_t milliseconds)
{
    return Instant(Milliseconds(milliseconds));
}

inline wire::ConfigChange setChange(const std::string &id, std::uint64_t base,
                                    const std::string &scope, const std::string &key,
                                    const std::string &value)
{
    wire::ConfigChange change;
    change.set_change_id(id);
    change.set_base(base);
    wire::SetValue &set = *change.add_operations()->mutable_set_value();
    set.set_scope(scope);
    set.set_key(key);
    set.set_value(value);
    return change;
}

inline wire::ConfigChange createAccount(const std::string &id, const std::string &name)
{
    wire::ConfigChange change;
    change.set_change_id(id);
    change.add_operations()->mutable_create_account()->set_name(name);
    return change;
}

inline wire::ConfigChange createService(const std::string &id, const std::string &name,
                                        const std::string &account, const std::string &region)
{
    wire::ConfigChange change;
    change.set_change_id(id);
    wire::CreateService &create = *change.add_operations()->mutable_create_service();
    create.set_name(name);
    create.set_account(account);
    create.set_region(region);
    return change;
}

} // namespace Loom
