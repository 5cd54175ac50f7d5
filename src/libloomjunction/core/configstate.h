/*
 * configstate.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "wire.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Loom {

/** A value in the settings tree and the log offset of the change that set it. */
struct SettingValue
{
    std::string json;
    std::uint64_t offset = 0;
};

/** An effective value and the scope that defines it. */
struct ExplainedValue
{
    std::string json;
    std::string scope; ///< empty for the default of the key
    std::uint64_t offset = 0;
};

/** Whether a change was accepted when it was applied. */
struct ChangeResult
{
    bool accepted = false;
    std::string reason; ///< empty when accepted
    std::uint64_t offset = 0;
};

/**
 * The configuration, derived from the log alone. Applying the same records in
 * the same order gives the same state on every box.
 */
class ConfigState
{
public:
    /** Applies @p change, which is at @p offset in the log; offsets must increase. */
    ChangeResult apply(const wire::ConfigChange &change, std::uint64_t offset);

    /** Skips the record at @p offset, which has no change (a snapshot or an unreadable record). */
    void skip(std::uint64_t offset) { mLastOffset = offset; }

    /** Offset of the last applied record; sNoOffset before the first. */
    std::uint64_t lastOffset() const { return mLastOffset; }
    bool isEmpty() const { return mLastOffset == sNoOffset; }

    /**
     * Returns the value of @p key for @p service. The first scope with a value
     * decides: the service, its client account, its region, the root. Without
     * any, it is the default.
     */
    ExplainedValue explain(std::string_view service, std::string_view key) const;

    /** Weight of client account @p account in contended services: its own, or that of the root. */
    std::uint32_t accountWeight(std::string_view account) const;

    std::int64_t integer(std::string_view service, std::string_view key) const;
    bool isTrue(std::string_view service, std::string_view key) const;
    std::string text(std::string_view service, std::string_view key) const;

    const wire::ServiceEntry *service(std::string_view name) const;
    bool hasAccount(std::string_view name) const;
    const wire::VersionEntry *version(std::string_view service, std::string_view version) const;
    std::optional<ChangeResult> fate(std::string_view changeId) const;

    const std::map<std::string, wire::ServiceEntry, std::less<>> &services() const
    {
        return mServices;
    }
    const std::map<std::string, wire::AccountEntry, std::less<>> &accounts() const
    {
        return mAccounts;
    }
    const std::map<std::pair<std::string, std::string>, SettingValue> &settings() const
    {
        return mSettings;
    }
    const std::map<std::pair<std::string, std::string>, wire::VersionEntry> &versions() const
    {
        return mVersions;
    }
    const std::deque<wire::ChangeFate> &fates() const { return mFates; }

    wire::ConfigSnapshot snapshot() const;
    static ConfigState fromSnapshot(const wire::ConfigSnapshot &snapshot);

    static constexpr std::uint64_t sNoOffset = ~std::uint64_t{0};
    /** Limit of recorded change ids, which prevent a repeated append from being applied again. */
    static constexpr std::size_t sMaxFates = 2048;

private:
    using EntryKey = std::pair<std::string, std::string>; ///< scope and key, or service and version

    /** Previous values of the entries that a change modifies; nothing for a missing entry. */
    struct Undo
    {
        std::map<EntryKey, std::optional<SettingValue>> settings;
        std::map<EntryKey, std::optional<std::uint64_t>> removed;
        std::map<std::string, std::optional<wire::ServiceEntry>> services;
        std::map<std::string, std::optional<wire::AccountEntry>> accounts;
        std::map<EntryKey, std::optional<wire::VersionEntry>> versions;
    };

    std::string applyOperations(const wire::ConfigChange &change, std::uint64_t offset);
    void saveForUndo(Undo &undo, const wire::ConfigOperation &operation) const;
    void restore(const Undo &undo);
    std::string operationError(const wire::ConfigOperation &operation, std::uint64_t base) const;
    std::string setError(const wire::SetValue &set, std::uint64_t base) const;
    std::string versionError(const wire::PublishVersion &publish) const;
    std::string scopeTargetError(std::string_view scope) const;
    bool isChangedSince(const std::string &scope, const std::string &key, std::uint64_t base) const;
    void applyOperation(const wire::ConfigOperation &operation, std::uint64_t offset);
    void applySet(const wire::SetValue &set, std::uint64_t offset);
    void recordResult(const wire::ConfigChange &change, const ChangeResult &result);
    std::optional<ExplainedValue> valueAt(const std::string &scope, std::string_view key) const;

    std::uint64_t mLastOffset = sNoOffset;
    std::map<std::pair<std::string, std::string>, SettingValue> mSettings;
    std::map<std::pair<std::string, std::string>, std::uint64_t> mRemoved;
    std::map<std::string, wire::ServiceEntry, std::less<>> mServices;
    std::map<std::string, wire::AccountEntry, std::less<>> mAccounts;
    std::map<std::pair<std::string, std::string>, wire::VersionEntry> mVersions;
    std::map<std::string, ChangeResult, std::less<>> mFateById;
    std::deque<wire::ChangeFate> mFates;
};

} // namespace Loom
