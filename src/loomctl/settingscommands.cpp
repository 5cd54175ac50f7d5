/*
 * settingscommands.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomctl).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "commands.h"

#include "jsonhttp.h"
#include "settingschema.h"

#include <iomanip>
#include <iostream>

namespace Loom {

namespace {

namespace json = boost::json;

/** The value as JSON; bare words are taken as text where the setting is text. */
CommandResult<json::value> valueOf(const SettingArguments &arguments)
{
    const SettingSpec *spec = findSetting(arguments.key);
    boost::system::error_code error;
    json::value value = json::parse(arguments.value, error);
    const bool isText = spec != nullptr && spec->type == SettingType::Text;
    if (isText && (error || !value.is_string())) {
        value = json::string(arguments.value);
    } else if (error) {
        return tl::unexpected(CommandFailure{
            CommandError::BadInput, "VALUE: expected JSON, found '" + arguments.value + "'"});
    }
    // The fold refuses it too; here the operator hears at once.
    if (const auto problem = settingError(arguments.key, json::serialize(value))) {
        return tl::unexpected(CommandFailure{CommandError::BadInput, *problem});
    }
    if (const auto problem = scopeError(arguments.scope)) {
        return tl::unexpected(CommandFailure{CommandError::BadInput, *problem});
    }
    return value;
}

Done submitOne(CommandContext &context, json::object operation)
{
    json::array operations;
    operations.push_back(std::move(operation));
    const auto result = context.client.submit(std::move(operations), context.author, context.base);
    if (!result) {
        return tl::unexpected(result.error());
    }
    if (context.json) {
        std::cout << json::serialize(*result) << "\n";
    } else {
        std::cout << "accepted at offset " << jsonInteger(*result, "offset", 0) << "\n";
    }
    return {};
}

} // namespace

Done settingsGet(CommandContext &context)
{
    const auto state = context.client.get("/admin/state");
    if (!state) {
        return tl::unexpected(state.error());
    }
    if (context.json) {
        std::cout << json::serialize(*state) << "\n";
        return {};
    }
    for (const json::value &row : state->at("settings").as_array()) {
        const json::object &setting = row.as_object();
        std::cout << std::left << std::setw(28) << jsonText(setting, "scope") << std::setw(28)
                  << jsonText(setting, "key") << json::serialize(setting.at("value")) << "\n";
    }
    return {};
}

Done settingsSet(CommandContext &context, const SettingArguments &arguments)
{
    auto value = valueOf(arguments);
    if (!value) {
        return tl::unexpected(value.error());
    }
    json::object operation;
    operation["op"] = "set";
    operation["scope"] = arguments.scope;
    operation["key"] = arguments.key;
    operation["value"] = std::move(*value);
    return submitOne(context, std::move(operation));
}

Done settingsUnset(CommandContext &context, const SettingArguments &arguments)
{
    json::object operation;
    operation["op"] = "unset";
    operation["scope"] = arguments.scope;
    operation["key"] = arguments.key;
    return submitOne(context, std::move(operation));
}

Done settingsExplain(CommandContext &context, const std::string &service, const std::string &key)
{
    const auto answer = context.client.get("/admin/explain?service=" + service
                                           + (key.empty() ? "" : "&key=" + key));
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (context.json) {
        std::cout << json::serialize(*answer) << "\n";
        return {};
    }
    for (const json::value &item : answer->at("values").as_array()) {
        const json::object &row = item.as_object();
        std::cout << std::left << std::setw(28) << jsonText(row, "key") << std::setw(14)
                  << json::serialize(row.at("value")) << " from " << std::setw(24)
                  << jsonText(row, "from") << jsonText(row, "meaning") << "\n";
    }
    return {};
}

Done settingsHistory(CommandContext &context, std::uint32_t limit)
{
    const auto answer = context.client.get("/admin/history?limit=" + std::to_string(limit));
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (context.json) {
        std::cout << json::serialize(*answer) << "\n";
        return {};
    }
    for (const json::value &item : answer->at("changes").as_array()) {
        const json::object &row = item.as_object();
        const bool accepted = jsonBool(row, "accepted", false);
        std::cout << std::setw(8) << jsonInteger(row, "offset", 0)
                  << (accepted ? "  accepted  " : "  refused   ") << jsonText(row, "author") << "  "
                  << jsonText(row, "summary");
        if (!accepted) {
            std::cout << "  (" << jsonText(row, "reason") << ")";
        }
        std::cout << "\n";
    }
    return {};
}

Done createAccount(CommandContext &context, const std::string &name)
{
    json::object operation;
    operation["op"] = "createAccount";
    operation["name"] = name;
    return submitOne(context, std::move(operation));
}

Done createService(CommandContext &context, const std::string &name, const std::string &kind,
                   const std::string &account, const std::string &region)
{
    json::object operation;
    operation["op"] = "createService";
    operation["name"] = name;
    operation["kind"] = kind;
    operation["account"] = account;
    operation["region"] = region;
    return submitOne(context, std::move(operation));
}

Done changeFate(CommandContext &context, const std::string &changeId)
{
    const auto answer = context.client.get("/admin/changes/" + changeId);
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    std::cout << json::serialize(*answer) << "\n";
    return {};
}

} // namespace Loom
