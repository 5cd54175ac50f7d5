/*
 * changejson.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "changejson.h"

#include "configstate.h"

namespace Loom {

namespace {

namespace json = boost::json;

constexpr std::size_t sLongestField = 4096;

using Problem = std::string;

Problem complaint(std::string_view field, std::string_view expected, const json::value *found)
{
    const std::string what = found == nullptr ? "nothing" : json::serialize(*found).substr(0, 80);
    return "field '" + std::string(field) + "': expected " + std::string(expected) + ", found "
        + what;
}

/** Reads text fields of one operation and remembers the first problem. */
class FieldReader
{
public:
    FieldReader(const json::object &object, std::string prefix)
        : mObject(object)
        , mPrefix(std::move(prefix))
    {
    }

    std::string text(std::string_view name, bool required = true)
    {
        const json::value *value = mObject.if_contains(name);
        if (value == nullptr && !required) {
            return {};
        }
        const bool fits = value != nullptr && value->is_string()
            && value->as_string().size() <= sLongestField
            && (!required || !value->as_string().empty());
        if (!fits) {
            note(complaint(mPrefix + std::string(name), "text", value));
            return {};
        }
        return std::string(value->as_string());
    }

    std::uint64_t number(std::string_view name)
    {
        const json::value *value = mObject.if_contains(name);
        const bool fits = value != nullptr && value->is_int64() && value->as_int64() >= 0;
        if (!fits) {
            note(complaint(mPrefix + std::string(name), "a whole number", value));
            return 0;
        }
        return static_cast<std::uint64_t>(value->as_int64());
    }

    std::string anyJson(std::string_view name)
    {
        const json::value *value = mObject.if_contains(name);
        if (value == nullptr) {
            note(complaint(mPrefix + std::string(name), "a JSON value", value));
            return {};
        }
        return json::serialize(*value);
    }

    void note(Problem problem)
    {
        if (mProblem.empty()) {
            mProblem = std::move(problem);
        }
    }

    const Problem &problem() const { return mProblem; }

private:
    const json::object &mObject;
    std::string mPrefix;
    Problem mProblem;
};

Problem readOperation(const json::object &object, const std::string &prefix,
                      wire::ConfigOperation &operation)
{
    FieldReader reader(object, prefix);
    const std::string kind = reader.text("op");
    if (kind == "set") {
        wire::SetValue &set = *operation.mutable_set_value();
        set.set_scope(reader.text("scope"));
        set.set_key(reader.text("key"));
        set.set_value(reader.anyJson("value"));
    } else if (kind == "unset") {
        wire::UnsetValue &unset = *operation.mutable_unset_value();
        unset.set_scope(reader.text("scope"));
        unset.set_key(reader.text("key"));
    } else if (kind == "createService") {
        wire::CreateService &create = *operation.mutable_create_service();
        create.set_name(reader.text("name"));
        create.set_account(reader.text("account", false));
        create.set_region(reader.text("region", false));
        const std::string serviceKind = reader.text("kind");
        const bool known = serviceKind == "model" || serviceKind == "plain";
        if (!known) {
            reader.note(
                complaint(prefix + "kind", "'model' or 'plain'", object.if_contains("kind")));
        }
        create.set_kind(serviceKind == "model" ? wire::SERVICE_MODEL : wire::SERVICE_PLAIN);
    } else if (kind == "createAccount") {
        operation.mutable_create_account()->set_name(reader.text("name"));
    } else if (kind == "publishVersion") {
        wire::PublishVersion &publish = *operation.mutable_publish_version();
        publish.set_service(reader.text("service"));
        publish.set_version(reader.text("version"));
        publish.set_manifest_digest(reader.text("manifestDigest"));
        publish.set_size_bytes(reader.number("sizeBytes"));
        publish.set_chunk_bytes(static_cast<std::uint32_t>(reader.number("chunkBytes")));
    } else {
        reader.note(complaint(prefix + "op",
                              "'set', 'unset', 'createService', 'createAccount' or "
                              "'publishVersion'",
                              object.if_contains("op")));
    }
    return reader.problem();
}

} // namespace

tl::expected<wire::ConfigChange, std::string> changeFromJson(const json::object &object)
{
    wire::ConfigChange change;
    FieldReader reader(object, "");
    change.set_change_id(reader.text("changeId"));
    change.set_author(reader.text("author", false));
    // Without a base the author has seen nothing, and loses every race.
    change.set_base(object.contains("base") ? reader.number("base") : ConfigState::sNoOffset);
    if (!reader.problem().empty()) {
        return tl::unexpected(reader.problem());
    }
    const json::value *operations = object.if_contains("operations");
    if (operations == nullptr || !operations->is_array() || operations->as_array().empty()) {
        return tl::unexpected(complaint("operations", "at least one operation", operations));
    }
    std::size_t index = 0;
    for (const json::value &item : operations->as_array()) {
        const std::string prefix = "operations[" + std::to_string(index++) + "].";
        const json::object *operation = item.if_object();
        if (operation == nullptr) {
            return tl::unexpected(complaint(prefix, "an object", &item));
        }
        const Problem problem = readOperation(*operation, prefix, *change.add_operations());
        if (!problem.empty()) {
            return tl::unexpected(problem);
        }
    }
    return change;
}

} // namespace Loom
