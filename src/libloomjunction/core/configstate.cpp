/*
 * configstate.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "configstate.h"

#include "settingschema.h"

#include <vector>

#include <boost/json.hpp>

namespace Loom {

namespace {

constexpr std::string_view sRootScope = "/";
constexpr std::string_view sServedVersionKey = "model.version";
constexpr std::string_view sPrefetchVersionKey = "model.spread";
constexpr std::string_view sServicePrefix = "/service/";
constexpr std::string_view sAccountPrefix = "/account/";
// Previous versions that may serve while the promoted one is not loaded yet.
constexpr std::size_t sMaxPreviousVersions = 4;
constexpr std::uint32_t sMinChunkBytes = 1024;
constexpr std::uint32_t sMaxChunkBytes = 4 * 1024 * 1024;

std::string joinScope(std::string_view prefix, std::string_view name)
{
    return std::string(prefix) + std::string(name);
}

std::string describeOperation(const wire::ConfigOperation &operation)
{
    switch (operation.operation_case()) {
    case wire::ConfigOperation::kSetValue:
        return "set " + operation.set_value().scope() + " " + operation.set_value().key() + "="
            + operation.set_value().value();
    case wire::ConfigOperation::kUnsetValue:
        return "unset " + operation.unset_value().scope() + " " + operation.unset_value().key();
    case wire::ConfigOperation::kCreateService:
        return "create service " + operation.create_service().name();
    case wire::ConfigOperation::kCreateAccount:
        return "create account " + operation.create_account().name();
    case wire::ConfigOperation::kPublishVersion:
        return "publish " + operation.publish_version().service() + " "
            + operation.publish_version().version();
    case wire::ConfigOperation::OPERATION_NOT_SET:
        return "empty";
    }
    return "empty";
}

bool isJsonText(const std::string &json, std::string_view text)
{
    return json == boost::json::serialize(boost::json::string(text));
}

std::string parseText(const std::string &json)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(json, error);
    return !error && value.is_string() ? std::string(value.as_string()) : std::string();
}

std::int64_t parseInteger(const std::string &json)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(json, error);
    return !error && value.is_int64() ? value.as_int64() : 0;
}

/** Makes @p before the newest previous version of @p entry, which now serves @p now. */
void recordPreviousVersion(wire::ServiceEntry &entry, const std::string &before,
                           const std::string &now)
{
    std::vector<std::string> served{before};
    for (const std::string &older : entry.served_before()) {
        const bool retained
            = older != before && older != now && served.size() < sMaxPreviousVersions;
        if (retained) {
            served.push_back(older);
        }
    }
    entry.mutable_served_before()->Assign(served.begin(), served.end());
}

bool isVersionKey(std::string_view key)
{
    return key == sServedVersionKey || key == sPrefetchVersionKey;
}

} // namespace

ChangeResult ConfigState::apply(const wire::ConfigChange &change, std::uint64_t offset)
{
    mLastOffset = offset;
    if (const auto known = fate(change.change_id())) {
        return *known;
    }
    ChangeResult result;
    result.offset = offset;
    result.reason = applyOperations(change, offset);
    result.accepted = result.reason.empty();
    recordResult(change, result);
    return result;
}

std::string ConfigState::applyOperations(const wire::ConfigChange &change, std::uint64_t offset)
{
    if (change.change_id().empty()) {
        return "changeId: expected text, found none";
    }
    if (change.operations().empty()) {
        return "operations: expected at least one, found none";
    }
    // Each operation is validated against the state left by the previous ones,
    // so that one change can create a service and set its values. A change is
    // atomic: the entries that it modifies are saved for a rollback. Copying the
    // whole state instead took 1.1 ms per change with 1,000 services.
    Undo undo;
    for (const wire::ConfigOperation &operation : change.operations()) {
        std::string reason = operationError(operation, change.base());
        if (!reason.empty()) {
            restore(undo);
            return reason;
        }
        saveForUndo(undo, operation);
        applyOperation(operation, offset);
    }
    return {};
}

void ConfigState::saveForUndo(Undo &undo, const wire::ConfigOperation &operation) const
{
    const auto save = [](auto &saved, const auto &map, const auto &key) {
        const auto it = map.find(key);
        // Only the first value is saved: later ones were written by this change itself.
        saved.try_emplace(key, it == map.end() ? std::nullopt : std::optional(it->second));
    };
    switch (operation.operation_case()) {
    case wire::ConfigOperation::kSetValue: {
        const wire::SetValue &set = operation.set_value();
        const EntryKey place{set.scope(), set.key()};
        save(undo.settings, mSettings, place);
        save(undo.removed, mRemoved, place);
        if (set.scope().starts_with(sServicePrefix)) {
            save(undo.services, mServices, set.scope().substr(sServicePrefix.size()));
        }
        return;
    }
    case wire::ConfigOperation::kUnsetValue: {
        const EntryKey place{operation.unset_value().scope(), operation.unset_value().key()};
        save(undo.settings, mSettings, place);
        save(undo.removed, mRemoved, place);
        return;
    }
    case wire::ConfigOperation::kCreateService:
        save(undo.services, mServices, operation.create_service().name());
        return;
    case wire::ConfigOperation::kCreateAccount:
        save(undo.accounts, mAccounts, operation.create_account().name());
        return;
    case wire::ConfigOperation::kPublishVersion: {
        const wire::PublishVersion &publish = operation.publish_version();
        save(undo.versions, mVersions, EntryKey{publish.service(), publish.version()});
        return;
    }
    case wire::ConfigOperation::OPERATION_NOT_SET:
        return;
    }
}

void ConfigState::restore(const Undo &undo)
{
    const auto restoreEntries = [](auto &map, const auto &saved) {
        for (const auto &[key, before] : saved) {
            if (before) {
                map[key] = *before;
            } else if (const auto it = map.find(key); it != map.end()) {
                map.erase(it);
            }
        }
    };
    restoreEntries(mSettings, undo.settings);
    restoreEntries(mRemoved, undo.removed);
    restoreEntries(mServices, undo.services);
    restoreEntries(mAccounts, undo.accounts);
    restoreEntries(mVersions, undo.versions);
}

std::string ConfigState::operationError(const wire::ConfigOperation &operation,
                                        std::uint64_t base) const
{
    switch (operation.operation_case()) {
    case wire::ConfigOperation::kSetValue:
        return setError(operation.set_value(), base);
    case wire::ConfigOperation::kUnsetValue: {
        const wire::UnsetValue &unset = operation.unset_value();
        if (!mSettings.contains({unset.scope(), unset.key()})) {
            return "unset: no value of '" + unset.key() + "' at " + unset.scope();
        }
        if (isChangedSince(unset.scope(), unset.key(), base)) {
            return "race: '" + unset.key() + "' at " + unset.scope() + " changed since the base";
        }
        return {};
    }
    case wire::ConfigOperation::kCreateService: {
        const wire::CreateService &create = operation.create_service();
        if (const auto error = scopeError(joinScope(sServicePrefix, create.name()))) {
            return *error;
        }
        if (mServices.contains(create.name())) {
            return "service '" + create.name() + "' exists";
        }
        if (!create.account().empty() && !hasAccount(create.account())) {
            return "account '" + create.account() + "' is not known";
        }
        return {};
    }
    case wire::ConfigOperation::kCreateAccount: {
        const std::string &name = operation.create_account().name();
        if (const auto error = scopeError(joinScope(sAccountPrefix, name))) {
            return *error;
        }
        return hasAccount(name) ? "account '" + name + "' exists" : std::string();
    }
    case wire::ConfigOperation::kPublishVersion:
        return versionError(operation.publish_version());
    case wire::ConfigOperation::OPERATION_NOT_SET:
        return "operation: expected one of the known kinds, found none";
    }
    return "operation: unreadable";
}

std::string ConfigState::scopeTargetError(std::string_view scope) const
{
    if (const auto error = scopeError(scope)) {
        return *error;
    }
    if (scope.starts_with(sServicePrefix)
        && service(scope.substr(sServicePrefix.size())) == nullptr) {
        return "scope '" + std::string(scope) + "': no such service";
    }
    if (scope.starts_with(sAccountPrefix) && !hasAccount(scope.substr(sAccountPrefix.size()))) {
        return "scope '" + std::string(scope) + "': no such client account";
    }
    return {};
}

std::string ConfigState::setError(const wire::SetValue &set, std::uint64_t base) const
{
    if (std::string error = scopeTargetError(set.scope()); !error.empty()) {
        return error;
    }
    if (const auto error = settingError(set.key(), set.value())) {
        return *error;
    }
    if (isChangedSince(set.scope(), set.key(), base)) {
        return "race: '" + set.key() + "' at " + set.scope() + " changed since the base";
    }
    if (!isVersionKey(set.key()) || isJsonText(set.value(), "")) {
        return {};
    }
    if (!set.scope().starts_with(sServicePrefix)) {
        return "setting '" + set.key() + "': expected at a service, found at " + set.scope();
    }
    const std::string name = set.scope().substr(sServicePrefix.size());
    const std::string wanted = parseText(set.value());
    if (version(name, wanted) == nullptr) {
        return "setting '" + set.key() + "': service '" + name + "' has no version '" + wanted
            + "'";
    }
    return {};
}

std::string ConfigState::versionError(const wire::PublishVersion &publish) const
{
    constexpr std::size_t sDigestLength = 64;
    const wire::ServiceEntry *owner = service(publish.service());
    if (owner == nullptr) {
        return "service '" + publish.service() + "' is not known";
    }
    if (owner->kind() != wire::SERVICE_MODEL) {
        return "service '" + publish.service() + "' serves no model";
    }
    if (publish.version().empty()) {
        return "version: expected a name, found none";
    }
    if (publish.manifest_digest().size() != sDigestLength) {
        return "manifestDigest: expected 64 hex characters, found '" + publish.manifest_digest()
            + "'";
    }
    if (publish.size_bytes() == 0) {
        return "sizeBytes: expected more than 0";
    }
    if (publish.chunk_bytes() < sMinChunkBytes || publish.chunk_bytes() > sMaxChunkBytes) {
        return "chunkBytes: expected " + std::to_string(sMinChunkBytes) + " to "
            + std::to_string(sMaxChunkBytes) + ", found " + std::to_string(publish.chunk_bytes());
    }
    // A version name identifies one set of weights. Otherwise answers could not be verified.
    if (version(publish.service(), publish.version()) != nullptr) {
        return "version '" + publish.version() + "' of '" + publish.service() + "' exists";
    }
    return {};
}

bool ConfigState::isChangedSince(const std::string &scope, const std::string &key,
                                 std::uint64_t base) const
{
    const bool hasNoBase = base == sNoOffset;
    // A value written by the change that is being applied is no conflict.
    const auto newer = [&](std::uint64_t offset) {
        return offset != mLastOffset && (hasNoBase || offset > base);
    };
    if (const auto it = mSettings.find({scope, key}); it != mSettings.end()) {
        return newer(it->second.offset);
    }
    const auto removed = mRemoved.find({scope, key});
    return removed != mRemoved.end() && newer(removed->second);
}

void ConfigState::applyOperation(const wire::ConfigOperation &operation, std::uint64_t offset)
{
    switch (operation.operation_case()) {
    case wire::ConfigOperation::kSetValue:
        applySet(operation.set_value(), offset);
        return;
    case wire::ConfigOperation::kUnsetValue: {
        const wire::UnsetValue &unset = operation.unset_value();
        mSettings.erase({unset.scope(), unset.key()});
        mRemoved[{unset.scope(), unset.key()}] = offset;
        return;
    }
    case wire::ConfigOperation::kCreateService: {
        const wire::CreateService &create = operation.create_service();
        wire::ServiceEntry &entry = mServices[create.name()];
        entry.set_name(create.name());
        entry.set_kind(create.kind());
        entry.set_account(create.account());
        entry.set_region(create.region());
        entry.set_offset(offset);
        return;
    }
    case wire::ConfigOperation::kCreateAccount: {
        wire::AccountEntry &entry = mAccounts[operation.create_account().name()];
        entry.set_name(operation.create_account().name());
        entry.set_offset(offset);
        return;
    }
    case wire::ConfigOperation::kPublishVersion: {
        const wire::PublishVersion &publish = operation.publish_version();
        wire::VersionEntry &entry = mVersions[{publish.service(), publish.version()}];
        *entry.mutable_version() = publish;
        entry.set_offset(offset);
        return;
    }
    case wire::ConfigOperation::OPERATION_NOT_SET:
        return;
    }
}

void ConfigState::applySet(const wire::SetValue &set, std::uint64_t offset)
{
    SettingValue &value = mSettings[{set.scope(), set.key()}];
    if (set.key() == sServedVersionKey && set.scope().starts_with(sServicePrefix)) {
        const auto it = mServices.find(set.scope().substr(sServicePrefix.size()));
        const std::string before = parseText(value.json);
        if (it != mServices.end() && !before.empty() && !isJsonText(set.value(), before)) {
            recordPreviousVersion(it->second, before, parseText(set.value()));
        }
    }
    value.json = set.value();
    value.offset = offset;
    mRemoved.erase({set.scope(), set.key()});
}

void ConfigState::recordResult(const wire::ConfigChange &change, const ChangeResult &result)
{
    wire::ChangeFate &entry = mFates.emplace_back();
    entry.set_change_id(change.change_id());
    entry.set_offset(result.offset);
    entry.set_accepted(result.accepted);
    entry.set_reason(result.reason);
    entry.set_author(change.author());
    std::string summary;
    for (const wire::ConfigOperation &operation : change.operations()) {
        summary += (summary.empty() ? "" : "; ") + describeOperation(operation);
    }
    entry.set_summary(summary);
    mFateById[change.change_id()] = result;
    if (mFates.size() > sMaxFates) {
        mFateById.erase(mFates.front().change_id());
        mFates.pop_front();
    }
}

std::optional<ExplainedValue> ConfigState::valueAt(const std::string &scope,
                                                   std::string_view key) const
{
    const auto it = mSettings.find({scope, std::string(key)});
    if (it == mSettings.end()) {
        return std::nullopt;
    }
    return ExplainedValue{it->second.json, scope, it->second.offset};
}

ExplainedValue ConfigState::explain(std::string_view serviceName, std::string_view key) const
{
    if (const auto own = valueAt(joinScope(sServicePrefix, serviceName), key)) {
        return *own;
    }
    const wire::ServiceEntry *entry = service(serviceName);
    if (entry != nullptr && !entry->account().empty()) {
        if (const auto value = valueAt(joinScope(sAccountPrefix, entry->account()), key)) {
            return *value;
        }
    }
    if (entry != nullptr && !entry->region().empty()) {
        if (const auto value = valueAt("/region/" + entry->region(), key)) {
            return *value;
        }
    }
    if (const auto value = valueAt(std::string(sRootScope), key)) {
        return *value;
    }
    const SettingSpec *spec = findSetting(key);
    return ExplainedValue{spec == nullptr ? "null" : std::string(spec->defaultJson), "", 0};
}

std::uint32_t ConfigState::accountWeight(std::string_view account) const
{
    constexpr std::string_view sKey = "admission.weight";
    const auto own = valueAt(joinScope(sAccountPrefix, account), sKey);
    const std::string json = own ? own->json : explain("", sKey).json;
    return static_cast<std::uint32_t>(parseInteger(json));
}

std::int64_t ConfigState::integer(std::string_view serviceName, std::string_view key) const
{
    return parseInteger(explain(serviceName, key).json);
}

bool ConfigState::isTrue(std::string_view serviceName, std::string_view key) const
{
    return explain(serviceName, key).json == "true";
}

std::string ConfigState::text(std::string_view serviceName, std::string_view key) const
{
    return parseText(explain(serviceName, key).json);
}

const wire::ServiceEntry *ConfigState::service(std::string_view name) const
{
    const auto it = mServices.find(name);
    return it == mServices.end() ? nullptr : &it->second;
}

bool ConfigState::hasAccount(std::string_view name) const
{
    return mAccounts.contains(name);
}

const wire::VersionEntry *ConfigState::version(std::string_view serviceName,
                                               std::string_view versionName) const
{
    const auto it = mVersions.find({std::string(serviceName), std::string(versionName)});
    return it == mVersions.end() ? nullptr : &it->second;
}

std::optional<ChangeResult> ConfigState::fate(std::string_view changeId) const
{
    const auto it = mFateById.find(changeId);
    return it == mFateById.end() ? std::nullopt : std::optional(it->second);
}

wire::ConfigSnapshot ConfigState::snapshot() const
{
    wire::ConfigSnapshot out;
    out.set_as_of(mLastOffset);
    const auto write = [](wire::SettingEntry &entry, const auto &place) {
        entry.set_scope(place.first);
        entry.set_key(place.second);
    };
    for (const auto &[place, value] : mSettings) {
        wire::SettingEntry &entry = *out.add_settings();
        write(entry, place);
        entry.set_value(value.json);
        entry.set_offset(value.offset);
    }
    for (const auto &[place, offset] : mRemoved) {
        wire::SettingEntry &entry = *out.add_removed();
        write(entry, place);
        entry.set_offset(offset);
    }
    for (const auto &[name, entry] : mServices) {
        *out.add_services() = entry;
    }
    for (const auto &[name, entry] : mAccounts) {
        *out.add_accounts() = entry;
    }
    for (const auto &[name, entry] : mVersions) {
        *out.add_versions() = entry;
    }
    for (const wire::ChangeFate &fateEntry : mFates) {
        *out.add_fates() = fateEntry;
    }
    return out;
}

ConfigState ConfigState::fromSnapshot(const wire::ConfigSnapshot &snapshot)
{
    ConfigState state;
    state.mLastOffset = snapshot.as_of();
    for (const wire::SettingEntry &entry : snapshot.settings()) {
        state.mSettings[{entry.scope(), entry.key()}] = {entry.value(), entry.offset()};
    }
    for (const wire::SettingEntry &entry : snapshot.removed()) {
        state.mRemoved[{entry.scope(), entry.key()}] = entry.offset();
    }
    for (const wire::ServiceEntry &entry : snapshot.services()) {
        state.mServices[entry.name()] = entry;
    }
    for (const wire::AccountEntry &entry : snapshot.accounts()) {
        state.mAccounts[entry.name()] = entry;
    }
    for (const wire::VersionEntry &entry : snapshot.versions()) {
        state.mVersions[{entry.version().service(), entry.version().version()}] = entry;
    }
    for (const wire::ChangeFate &entry : snapshot.fates()) {
        state.mFates.push_back(entry);
        state.mFateById[entry.change_id()] = {entry.accepted(), entry.reason(), entry.offset()};
    }
    return state;
}

} // namespace Loom
